#include "preemption.h"

#include "latencyreactions.h"
#include "steward.h"
#include "taskchart.h"
#include "taskfailures.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace galenaturn::schedule {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** Maximum number of urgent tasks that preempt batch tasks in one pass. */
constexpr std::size_t max_preempting_tasks_per_pass = 16;
/**
 * How long a worker is reserved for the urgent task while the evicted tasks stop; after that
 * another worker may be tried.
 */
constexpr seconds preemption_timeout{2};
/** How long a task that would fit on an empty worker waits before a worker is reserved for it. */
constexpr seconds large_task_wait{30};
constexpr minutes max_worker_reservation_time{10};
/**
 * A worker is reserved for a large task only while a smaller share of the workers is reserved, or
 * none.
 */
constexpr std::size_t max_reserved_workers_percent = 5;
constexpr seconds oversized_task_wait{10};
constexpr std::chrono::milliseconds pass_interval{200};

struct preemption_plan {
    worker_entry* worker{nullptr};
    std::vector<task_id> victims;
    double cost{0};
};

bool accepts_tasks(const worker_entry& worker)
{
    return !worker.silent && !worker.leaving && !worker.health.quarantined &&
           worker.reserved_for_task.empty();
}

/**
 * Returns the batch tasks to evict from the worker, cheapest first, so that `demand` fits; nothing
 * if evictions cannot make it fit.
 */
std::optional<preemption_plan> plan_preemption(steward_state& steward, worker_entry& worker,
                                               const resources& demand, time_point now)
{
    if (!accepts_tasks(worker) || !fits(demand, worker.capacity))
        return {};
    std::vector<std::pair<double, task_id>> candidates;
    for (const auto& id : worker.tasks) {
        const auto& task = steward.tasks.at(id);
        const bool evictable =
            task.state == "running" || task.state == "throttled" || task.state == "starting";
        if (task.record.task_class == work_class::batch && !task.record.urgent && evictable)
            candidates.emplace_back(eviction_cost(task, now), id);
    }
    std::sort(candidates.begin(), candidates.end());
    preemption_plan plan;
    plan.worker = &worker;
    auto free = worker.capacity - worker.reserved;
    for (const auto& [cost, id] : candidates) {
        if (fits(demand, free))
            break;
        free += steward.tasks.at(id).reserved;
        plan.victims.push_back(id);
        plan.cost += 1 + cost;
    }
    if (!fits(demand, free))
        return {};
    return plan;
}

void reserve_worker(steward_state& steward, worker_entry& worker, const task_entry& task,
                    time_point until)
{
    worker.reserved_for_task = task.record.id;
    worker.reserved_until = until;
    ++steward.counters.workers_reserved;
    update_capacity_index(steward, worker);
}

bool has_reserved_worker(const steward_state& steward, const task_id& task)
{
    return std::any_of(steward.workers.begin(), steward.workers.end(),
                       [&](const auto& entry) { return entry.second.reserved_for_task == task; });
}

void preempt_for(steward_state& steward, const task_entry& urgent, time_point now)
{
    std::optional<preemption_plan> best;
    for (auto& [id, worker] : steward.workers) {
        auto plan = plan_preemption(steward, worker, urgent.reserved, now);
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    if (!best)
        return;
    for (const auto& id : best->victims)
        evict_task(steward, steward.tasks.at(id), eviction_reason::urgent_work, now);
    reserve_worker(steward, *best->worker, urgent, now + preemption_timeout);
    steward.placement_due = true;
}

/** Reserves for a large task the worker on which the fewest processors are missing. */
void reserve_worker_for_large_task(steward_state& steward, const task_entry& task, time_point now)
{
    const auto reserved_count = static_cast<std::size_t>(
        std::count_if(steward.workers.begin(), steward.workers.end(),
                      [](const auto& entry) { return !entry.second.reserved_for_task.empty(); }));
    if (reserved_count >=
        std::max<std::size_t>(1, steward.workers.size() * max_reserved_workers_percent / 100))
        return;
    worker_entry* best = nullptr;
    std::int64_t fewest_missing = std::numeric_limits<std::int64_t>::max();
    for (auto& [id, worker] : steward.workers) {
        if (!accepts_tasks(worker) || !fits(task.reserved, worker.capacity))
            continue;
        const auto missing =
            (task.reserved.processors - (worker.capacity - worker.reserved).processors).value();
        if (missing < fewest_missing) {
            fewest_missing = missing;
            best = &worker;
        }
    }
    if (best != nullptr)
        reserve_worker(steward, *best, task, now + max_worker_reservation_time);
}

bool fits_some_worker(const steward_state& steward, const task_entry& task)
{
    return std::any_of(steward.workers.begin(), steward.workers.end(), [&](const auto& entry) {
        return fits(task.reserved, entry.second.capacity);
    });
}

/** Returns to the ledger, or parks, a task that is larger than every worker of this domain. */
void return_or_park_oversized_task(steward_state& steward, task_entry& task, time_point now)
{
    task.blocking_reason = wait_reason::fits_no_worker;
    if (task.oversized_since == time_point{})
        task.oversized_since = now;
    if (now < task.oversized_since + oversized_task_wait)
        return;
    const bool killed = task.reserved.memory > task.record.demand.memory;
    if (task.record.attempts >= steward.domain_count) {
        park_task(steward, task, killed ? park_reason::out_of_memory : park_reason::fits_no_worker,
                  killed ? "killed for lack of memory; no worker has more"
                         : "larger than every worker of every failure domain that was tried",
                  now);
        return;
    }
    task.outcome_reason = "larger than every worker of " + steward.domain.value();
    apply_task_event(steward, task, "release", now);
}

} // namespace

void handle_unplaced_tasks(steward_state& steward, time_point now)
{
    if (now < steward.next_unplaced_pass || steward.workers.empty())
        return;
    steward.next_unplaced_pass = now + pass_interval;
    std::size_t preempting = 0;
    for (auto position = steward.queue.begin(); position != steward.queue.end();) {
        auto& task = steward.tasks.at(position->id);
        ++position;
        if (task.blocking_reason != wait_reason::no_capacity &&
            task.blocking_reason != wait_reason::fits_no_worker)
            continue;
        const bool urgent = task.record.urgent && preempting < max_preempting_tasks_per_pass;
        const bool long_wait = now >= task.waiting_since + large_task_wait;
        if (!urgent && !long_wait && task.oversized_since == time_point{} &&
            fits(task.reserved, steward.largest_capacity))
            continue;
        if (!fits_some_worker(steward, task)) {
            return_or_park_oversized_task(steward, task, now);
            continue;
        }
        task.oversized_since = time_point{};
        if (has_reserved_worker(steward, task.record.id))
            continue;
        if (urgent) {
            ++preempting;
            preempt_for(steward, task, now);
        }
        else if (long_wait && !task.record.urgent) {
            reserve_worker_for_large_task(steward, task, now);
        }
    }
}

} // namespace galenaturn::schedule
