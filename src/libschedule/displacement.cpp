#include "displacement.h"

#include "failures.h"
#include "reactions.h"
#include "steward.h"
#include "taskchart.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace galenaturn::schedule {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** Maximum number of urgent tasks that preempt batch tasks in one pass. */
constexpr std::size_t displacements_a_pass = 16;
/**
 * How long a worker is reserved for the urgent task while the evicted tasks stop; after that
 * another worker may be tried.
 */
constexpr seconds displacement_limit{2};
/** How long a task that would fit on an empty worker waits before a worker is reserved for it. */
constexpr seconds large_task_patience{30};
constexpr minutes longest_worker_hold{10};
/** Maximum share of the workers that is reserved at a time; one worker is always allowed. */
constexpr std::size_t held_percent = 5;
constexpr seconds unfit_patience{10};
constexpr std::chrono::milliseconds pass_interval{200};

struct displacement {
    worker_entry* worker{nullptr};
    std::vector<task_id> victims;
    double cost{0};
};

bool is_open(const worker_entry& worker)
{
    return !worker.silent && !worker.leaving && !worker.health.quarantined &&
           worker.held_for.empty();
}

/**
 * Returns the batch tasks to evict from the worker, cheapest first, so that `demand` fits; nothing
 * if evictions cannot make it fit.
 */
std::optional<displacement> plan_displacement(steward_state& steward, worker_entry& worker,
                                              const resources& demand, time_point now)
{
    if (!is_open(worker) || !fits(demand, worker.capacity))
        return {};
    std::vector<std::pair<double, task_id>> candidates;
    for (const auto& id : worker.tasks) {
        const auto& task = steward.tasks.at(id);
        const bool may_go =
            task.state == "running" || task.state == "throttled" || task.state == "starting";
        if (task.record.task_class == work_class::batch && !task.record.urgent && may_go)
            candidates.emplace_back(eviction_cost(task, now), id);
    }
    std::sort(candidates.begin(), candidates.end());
    displacement plan;
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

void hold_worker(steward_state& steward, worker_entry& worker, const task_entry& task,
                 time_point until)
{
    worker.held_for = task.record.id;
    worker.held_until = until;
    ++steward.counters.workers_held;
    update_index(steward, worker);
}

bool is_held_a_worker(const steward_state& steward, const task_id& task)
{
    return std::any_of(steward.workers.begin(), steward.workers.end(),
                       [&](const auto& entry) { return entry.second.held_for == task; });
}

void displace_for(steward_state& steward, const task_entry& urgent, time_point now)
{
    std::optional<displacement> best;
    for (auto& [id, worker] : steward.workers) {
        auto plan = plan_displacement(steward, worker, urgent.reserved, now);
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    if (!best)
        return;
    for (const auto& id : best->victims)
        evict_task(steward, steward.tasks.at(id), eviction_reason::urgent_work, now);
    hold_worker(steward, *best->worker, urgent, now + displacement_limit);
    steward.queue_changed = true;
}

/** Reserves for a large task the worker on which the fewest processors are missing. */
void hold_for_large(steward_state& steward, const task_entry& task, time_point now)
{
    const auto held = static_cast<std::size_t>(
        std::count_if(steward.workers.begin(), steward.workers.end(),
                      [](const auto& entry) { return !entry.second.held_for.empty(); }));
    if (held >= std::max<std::size_t>(1, steward.workers.size() * held_percent / 100))
        return;
    worker_entry* best = nullptr;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (auto& [id, worker] : steward.workers) {
        if (!is_open(worker) || !fits(task.reserved, worker.capacity))
            continue;
        const auto missing =
            (task.reserved.processors - (worker.capacity - worker.reserved).processors).value();
        if (missing < least) {
            least = missing;
            best = &worker;
        }
    }
    if (best != nullptr)
        hold_worker(steward, *best, task, now + longest_worker_hold);
}

bool fits_some_worker(const steward_state& steward, const task_entry& task)
{
    return std::any_of(steward.workers.begin(), steward.workers.end(), [&](const auto& entry) {
        return fits(task.reserved, entry.second.capacity);
    });
}

/** Returns to the ledger, or parks, a task that is larger than every worker of this domain. */
void settle_unfit(steward_state& steward, task_entry& task, time_point now)
{
    task.waits_for = wait_reason::fits_no_worker;
    if (task.unfit_since == time_point{})
        task.unfit_since = now;
    if (now < task.unfit_since + unfit_patience)
        return;
    const bool killed = task.reserved.memory > task.record.demand.memory;
    if (task.record.attempts >= steward.domain_count) {
        park_task(steward, task, killed ? park_reason::out_of_memory : park_reason::fits_no_worker,
                  killed ? "killed for lack of memory; no worker has more"
                         : "larger than every worker of each failure domain that was tried",
                  now);
        return;
    }
    task.outcome_reason = "larger than every worker of " + steward.domain.value();
    apply_task_event(steward, task, "release", now);
}

} // namespace

void settle_unplaceable(steward_state& steward, time_point now)
{
    if (now < steward.next_settling || steward.workers.empty())
        return;
    steward.next_settling = now + pass_interval;
    std::size_t displaced = 0;
    for (auto place = steward.queue.begin(); place != steward.queue.end();) {
        auto& task = steward.tasks.at(place->id);
        ++place;
        if (task.waits_for != wait_reason::no_capacity &&
            task.waits_for != wait_reason::fits_no_worker)
            continue;
        const bool urgent = task.record.urgent && displaced < displacements_a_pass;
        const bool long_wait = now >= task.waiting_since + large_task_patience;
        if (!urgent && !long_wait && task.unfit_since == time_point{} &&
            fits(task.reserved, steward.largest_capacity))
            continue;
        if (!fits_some_worker(steward, task)) {
            settle_unfit(steward, task, now);
            continue;
        }
        task.unfit_since = time_point{};
        if (is_held_a_worker(steward, task.record.id))
            continue;
        if (urgent) {
            ++displaced;
            displace_for(steward, task, now);
        }
        else if (long_wait && !task.record.urgent) {
            hold_for_large(steward, task, now);
        }
    }
}

} // namespace galenaturn::schedule
