#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** Returns the longest chain of estimated work from the start of the first step to the last end. */
duration longest_chain(const wire::job_spec& spec);
/** Returns whether every earlier step of `step` has succeeded in this occurrence. */
bool is_ready(const open_job& job, std::uint32_t occurrence, std::uint32_t step);
/** Returns when an occurrence may start. */
wall_time due_at(const wire::job_spec& spec, std::uint32_t occurrence);
/** Returns the open jobs in the order in which their tasks get room. */
std::vector<open_job*> order_jobs(job_scheduler& state, time_point now);

} // namespace galenaturn::schedule
