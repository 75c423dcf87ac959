#include "failures.h"

#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

constexpr std::chrono::milliseconds first_retry_pause{500};
constexpr std::chrono::seconds longest_retry_pause{60};

std::int64_t max_attempts(const steward_state& steward, const task_entry& task)
{
    const auto job = steward.jobs.find(task.record.job);
    return job == steward.jobs.end() ? job_entry{}.max_attempts : job->second.max_attempts;
}

/** Doubles with each failure of the task. */
duration retry_pause(std::uint32_t failures)
{
    constexpr std::uint32_t most_doublings = 10;
    const duration pause = first_retry_pause * (1U << std::min(failures, most_doublings));
    return std::min<duration>(pause, longest_retry_pause);
}

} // namespace

void on_task_failure(steward_state& steward, task_entry& task, worker_entry& worker,
                     const std::string& reason, time_point now)
{
    ++steward.counters.task_failures;
    ++task.failures;
    task.failed_on.insert(worker.id);
    if (task.failures >= max_attempts(steward, task)) {
        task.outcome_reason = reason.empty() ? "failed on its worker" : reason;
        apply_task_event(steward, task, "fail", now);
        return;
    }
    task.not_before = now + retry_pause(task.failures);
}

void on_out_of_memory(steward_state& steward, task_entry& task, time_point now)
{
    ++steward.counters.out_of_memory;
    ++task.failures;
    task.not_before = now + retry_pause(task.failures);
}

void on_task_success(steward_state& /*steward*/, const task_entry& /*task*/, worker_entry& worker,
                     time_point /*now*/)
{
    worker.health.failures.clear();
}

} // namespace galenaturn::schedule
