#include "failures.h"

#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::chrono::milliseconds first_retry_pause{500};
constexpr seconds longest_retry_pause{60};
/** Failures on a worker without a success in between after which it is quarantined. */
constexpr std::uint32_t failures_before_quarantine = 3;
/** A job that failed on this many workers without a success is considered faulty itself. */
constexpr std::size_t workers_against_job = 3;
/** Maximum share of a domain's workers in quarantine at a time; one worker is always allowed. */
constexpr std::size_t quarantine_cap_percent = 10;
constexpr seconds first_probe_pause{60};
constexpr minutes longest_probe_pause{30};

std::int64_t max_attempts(const steward_state& steward, const task_entry& task)
{
    const auto job = steward.jobs.find(task.record.job);
    return job == steward.jobs.end() ? job_entry{}.max_attempts : job->second.max_attempts;
}

/** Returns the backoff after a failure, which doubles with each failure of the task. */
duration retry_pause(std::uint32_t failures)
{
    constexpr std::uint32_t most_doublings = 10;
    const duration pause = first_retry_pause * (1U << std::min(failures, most_doublings));
    return std::min<duration>(pause, longest_retry_pause);
}

bool may_quarantine(const steward_state& steward)
{
    const auto quarantined = static_cast<std::size_t>(
        std::count_if(steward.workers.begin(), steward.workers.end(),
                      [](const auto& entry) { return entry.second.health.quarantined; }));
    const auto cap =
        std::max<std::size_t>(1, steward.workers.size() * quarantine_cap_percent / 100);
    return quarantined < cap;
}

/** Removes the failures on a quarantined worker from the counts of the affected tasks and jobs. */
void pardon_tasks(steward_state& steward, const worker_id& worker)
{
    for (auto& [id, task] : steward.tasks) {
        if (task.failed_on.contains(worker) && task.failures > 0)
            --task.failures;
    }
    for (auto& [job, evidence] : steward.evidence)
        evidence.failed_on.erase(worker);
}

void set_aside(steward_state& steward, worker_entry& worker, time_point now)
{
    auto& health = worker.health;
    health.probe_pause = health.probe_pause == duration{}
                             ? duration{first_probe_pause}
                             : std::min<duration>(2 * health.probe_pause, longest_probe_pause);
    health.probe_at = now + health.probe_pause;
    health.probe = task_id{};
    if (health.quarantined)
        return;
    health.quarantined = true;
    ++steward.counters.quarantines;
    pardon_tasks(steward, worker.id);
    update_index(steward, worker);
}

/**
 * Attributes the failure to the worker or to the job. Returns whether it counts as a failed attempt
 * of the task.
 */
bool attribute_failure(steward_state& steward, const task_entry& task, worker_entry& worker,
                       time_point now)
{
    if (worker.health.quarantined) {
        if (worker.health.probe == task.record.id)
            set_aside(steward, worker, now);
        return false;
    }
    auto& evidence = steward.evidence[task.record.job];
    evidence.failed_on.insert(worker.id);
    if (!evidence.succeeded && evidence.failed_on.size() >= workers_against_job)
        return true;
    if (++worker.health.failures < failures_before_quarantine)
        return true;
    if (!may_quarantine(steward)) {
        ++steward.counters.quarantines_capped;
        return true;
    }
    set_aside(steward, worker, now);
    return true;
}

void end_as_failed(steward_state& steward, task_entry& task, const std::string& reason,
                   time_point now)
{
    task.outcome_reason = "failed " + std::to_string(task.failures) +
                          " times: " + (reason.empty() ? "the worker gave no reason" : reason);
    apply_task_event(steward, task, "fail", now);
}

} // namespace

void park_task(steward_state& steward, task_entry& task, park_reason why, const std::string& reason,
               time_point now)
{
    task.outcome_reason = reason;
    if (apply_task_event(steward, task, "park", now))
        ++steward.counters.parked[static_cast<std::size_t>(why)];
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
        end_as_failed(steward, task, reason, now);
        return;
    }
    task.not_before = now + retry_pause(task.failures);
}

void on_out_of_memory(steward_state& steward, task_entry& task, time_point now)
{
    ++steward.counters.out_of_memory;
    raise_memory(steward.sizes, task.record.job, task.reserved.memory);
    task.reserved = needed_reservation(steward.sizes, task.record.job, task.record.demand);
    const auto quota = steward.quotas.find(task.record.owner);
    if (quota != steward.quotas.end() && task.reserved.memory > quota->second.memory) {
        park_task(steward, task, park_reason::out_of_memory,
                  "killed for lack of memory; a larger reservation would exceed its owner's quota",
                  now);
        return;
    }
    task.not_before = now + first_retry_pause;
}

void on_task_success(steward_state& steward, const task_entry& task, worker_entry& worker,
                     time_point /*now*/)
{
    auto& evidence = steward.evidence[task.record.job];
    evidence.succeeded = true;
    evidence.failed_on.clear();
    worker.health.failures = 0;
    if (!worker.health.quarantined || worker.health.probe != task.record.id)
        return;
    worker.health = worker_health{};
    update_index(steward, worker);
}

} // namespace galenaturn::schedule
