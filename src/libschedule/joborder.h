#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** Returns whether every earlier step of `step` has succeeded in this occurrence. */
bool is_ready(const open_job& job, std::uint32_t occurrence, std::uint32_t step);
/** Returns whether tasks of the job run until it is cancelled. */
bool is_endless(const open_job& job);
/** Returns when an occurrence may start. */
wall_time due_at(const wire::job_spec& spec, std::uint32_t occurrence);
/** What a job can still become, by the estimates of its work. */
enum class prospect : std::uint8_t { in_time, late, too_late };

prospect prospect_of(const open_job& job, time_point now);
/** Returns the estimated work of all tasks that have not succeeded, in seconds of a processor. */
double work_left(const open_job& job);
/** Returns the longest chain of estimated work that is left. */
duration chain_left(const open_job& job);
/**
 * Returns what the job is worth to its caller for the work that is left, in relation to a job of
 * usual work that has not begun.
 */
double yield_of(const open_job& job, double usual_work);
/** Returns the open jobs in the order in which their tasks get room. */
std::vector<open_job*> order_jobs(job_scheduler& state, time_point now);

} // namespace galenaturn::schedule
