#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** Returns whether all steps on which `step` depends have succeeded in this occurrence. */
bool is_ready(const open_job& job, std::uint32_t occurrence, std::uint32_t step);
/** Returns whether the job has tasks that run until it is cancelled. */
bool is_long_running(const open_job& job);
/** Returns the earliest start time of an occurrence. */
wall_time due_at(const wire::job_spec& spec, std::uint32_t occurrence);
/** Whether a job can still meet its objective, by the estimates of its work. */
enum class deadline_outlook : std::uint8_t { in_time, late, too_late };

deadline_outlook deadline_outlook_of(const open_job& job, time_point now);
/** Returns the estimated work of all tasks that have not succeeded, in processor seconds. */
double remaining_work(const open_job& job);
/** Returns the estimated time along the critical path of the tasks that have not succeeded. */
duration remaining_critical_path(const open_job& job);
/**
 * Returns the job's value per unit of remaining work, relative to a job of average work of which
 * nothing is done.
 */
double value_density(const open_job& job, double average_work);
/** Counts in its queue whether the job completes while it is useful. */
void count_outcome_once(job_scheduler& state, open_job& job, bool useful);
/** Returns the open jobs in the order in which their tasks are placed. */
std::vector<open_job*> order_jobs(job_scheduler& state, time_point now);

} // namespace galenaturn::schedule
