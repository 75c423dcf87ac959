#pragma once

#include "jobscheduler.h"

#include <vector>

namespace galenaturn::schedule {

/** A row of a worker report with its task, whose current run has the number of the row. */
struct listed_run {
    const worker_report::running_task* row{nullptr};
    open_job* job{nullptr};
    open_task* task{nullptr};
};

/**
 * Updates the tail model and the baselines from the current runs that a worker report lists.
 * Reduces the pace of, or stops, best-effort runs that interfere with a tail over its target, and
 * raises paces again where tails are well below their targets.
 */
void control_tail_latency(job_scheduler& state, job_worker& worker,
                          const std::vector<listed_run>& listed, time_point now);

} // namespace galenaturn::schedule
