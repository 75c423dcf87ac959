#pragma once

#include "jobscheduler.h"

namespace galenaturn::schedule {

/**
 * Updates the tail model and the baselines from a worker report. Reduces the pace of, or stops,
 * best-effort runs that interfere with a tail over its target, and raises paces again where tails
 * are well below their targets.
 */
void control_tail_latency(job_scheduler& state, job_worker& worker, const worker_report& report,
                          time_point now);

} // namespace galenaturn::schedule
