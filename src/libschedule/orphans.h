#pragma once

#include "jobruns.h"

namespace galenaturn::schedule {

/** Records that the worker lists a run which is not wanted there. It is stopped until it has ended.
 */
void mark_orphan(job_scheduler& state, job_worker& worker, const wire::task_ref& ref,
                 std::uint32_t run, time_point now);
/** Forgets the orphans of the worker that were not listed since `listed_since`. */
void forget_orphans(job_scheduler& state, const worker_id& worker, time_point listed_since);
/** Returns whether the worker has orphans that are not known to have ended. */
bool has_known_orphans(const job_scheduler& state, const worker_id& worker);

} // namespace galenaturn::schedule
