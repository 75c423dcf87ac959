#pragma once

#include "jobscheduler.h"

namespace galenaturn::schedule {

/**
 * Learns from the tails that the worker told. Slows or stops what presses on a tail over its
 * target, and hastens what was slowed where tails have come back well below theirs.
 */
void watch_tails(job_scheduler& state, job_worker& worker, const worker_list& list, time_point now);

} // namespace galenaturn::schedule
