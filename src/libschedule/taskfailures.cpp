#include "taskfailures.h"

#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::chrono::milliseconds first_retry_delay{500};
constexpr seconds max_retry_delay{60};
/** Failures on a worker without a success in between after which it is quarantined. */
constexpr std::uint32_t failures_before_quarantine = 3;
/** A job that failed on this many workers without a success is considered faulty itself. */
constexpr std::size_t workers_before_job_is_faulty = 3;
/** Maximum share of a domain's workers in quarantine at a time; one worker is always allowed. */
constexpr std::size_t max_quarantined_percent = 10;
constexpr seconds first_probe_delay{60};
constexpr minutes max_probe_delay{30};

std::int64_t max_attempts(const steward_state& steward, const task_entry& task)
{
    const auto job = steward.jobs.find(task.record.job);
    return job == steward.jobs.end() ? job_entry{}.max_attempts : job->second.max_attempts;
}

/** Returns the backoff after a failure, which doubles with each failure of the task. */
duration retry_delay(std::uint32_t failures)
{
    constexpr std::uint32_t max_doublings = 10;
    const duration delay = first_retry_delay * (1U << std::min(failures, max_doublings));
    return std::min<duration>(delay, max_retry_delay);
}

bool may_quarantine(const steward_state& steward)
{
    const auto quarantined = static_cast<std::size_t>(
        std::count_if(steward.workers.begin(), steward.workers.end(),
                      [](const auto& entry) { return entry.second.health.quarantined; }));
    const auto cap =
        std::max<std::size_t>(1, steward.workers.size() * max_quarantined_percent / 100);
    return quarantined < cap;
}

/** Removes the failures on a quarantined worker from the counts of the affected tasks and jobs. */
void discount_failures_on(steward_state& steward, const worker_id& worker)
{
    for (auto& [id, task] : steward.tasks) {
        if (task.failed_on.contains(worker) && task.failures > 0)
            --task.failures;
    }
    for (auto& [job, history] : steward.job_failures)
        history.failed_on.erase(worker);
}

void quarantine_worker(steward_state& steward, worker_entry& worker, time_point now)
{
    auto& health = worker.health;
    health.probe_delay = health.probe_delay == duration{}
                             ? duration{first_probe_delay}
                             : std::min<duration>(2 * health.probe_delay, max_probe_delay);
    health.probe_at = now + health.probe_delay;
    health.probe_task = task_id{};
    if (health.quarantined)
        return;
    health.quarantined = true;
    ++steward.counters.quarantines;
    discount_failures_on(steward, worker.id);
    update_capacity_index(steward, worker);
}

/**
 * Attributes the failure to the worker or to the job. Returns whether it counts as a failed attempt
 * of the task.
 */
bool attribute_failure(steward_state& steward, const task_entry& task, worker_entry& worker,
                       time_point now)
{
    if (worker.health.quarantined) {
        if (worker.health.probe_task == task.record.id)
            quarantine_worker(steward, worker, now);
        return false;
    }
    auto& history = steward.job_failures[task.record.job];
    history.failed_on.insert(worker.id);
    if (!history.succeeded && history.failed_on.size() >= workers_before_job_is_faulty)
        return true;
    if (++worker.health.failures < failures_before_quarantine)
        return true;
    if (!may_quarantine(steward)) {
        ++steward.counters.quarantines_over_cap;
        return true;
    }
    quarantine_worker(steward, worker, now);
    return true;
}

void fail_task(steward_state& steward, task_entry& task, const std::string& reason, time_point now)
{
    task.outcome_reason = "failed " + std::to_string(task.failures) +
                          " times: " + (reason.empty() ? "the worker gave no reason" : reason);
    apply_task_event(steward, task, "fail", now);
}

} // namespace

void park_task(steward_state& steward, task_entry& task, park_reason reason_code,
               const std::string& reason, time_point now)
{
    task.outcome_reason = reason;
    if (apply_task_event(steward, task, "park", now))
        ++steward.counters.parked[static_cast<std::size_t>(reason_code)];
}

void on_task_failure(steward_state& steward, task_entry& task, worker_entry& worker,
                     const std::string& reason, time_point now)
{
    ++steward.counters.task_failures;
    task.failed_on.insert(worker.id);
    ++task.failures;
    const bool counts = attribute_failure(steward, task, worker, now);
    if (!counts && task.failures > 0)
        --task.failures;
    if (task.failures >= max_attempts(steward, task)) {
        fail_task(steward, task, reason, now);
        return;
    }
    task.not_before = now + retry_delay(task.failures);
}

void on_out_of_memory(steward_state& steward, task_entry& task, time_point now)
{
    ++steward.counters.out_of_memory;
    raise_memory(steward.sizes, task.record.job, task.reserved.memory);
    task.reserved = needed_reservation(steward.sizes, task.record.job, task.record.demand);
    const auto quota = steward.quotas.find(task.record.owner);
    if (quota != steward.quotas.end() && task.reserved.memory > quota->second.memory) {
        park_task(steward, task, park_reason::out_of_memory,
                  "killed for lack of memory; more would pass its owner's quota", now);
        return;
    }
    task.not_before = now + first_retry_delay;
}

void on_task_success(steward_state& steward, const task_entry& task, worker_entry& worker,
                     time_point /*now*/)
{
    auto& history = steward.job_failures[task.record.job];
    history.succeeded = true;
    history.failed_on.clear();
    worker.health.failures = 0;
    if (!worker.health.quarantined || worker.health.probe_task != task.record.id)
        return;
    worker.health = worker_health{};
    update_capacity_index(steward, worker);
}

} // namespace galenaturn::schedule
