#pragma once

#include "jobscheduler.h"

namespace galenaturn::schedule {

/** A trial starts only where tails are expected below this share of their targets. */
inline constexpr double max_tail_share_for_trial = 0.75;

/**
 * Returns the share of the worker's latency-critical tasks that is expected to exceed its tail
 * target if a run of the step is tried there. Nothing if no trial may start: the worker rests, runs
 * best-effort tasks, or its known pairs with the image do not tolerate the run.
 */
std::optional<double> expected_trial_harm(const job_scheduler& state, const job_worker& worker,
                                          const wire::job_step& step, time_point now);
/** Returns whether no further trial may run, however little harm is expected of it. */
bool are_trials_exhausted(const job_scheduler& state);
/**
 * Returns whether another trial may run. All trials together may harm a fixed share of the fleet's
 * latency-critical tasks, so their number follows the size of the fleet and what is known of the
 * images. Few trials of one pair run at a time: more of them would learn the same.
 */
bool may_start_trial(const job_scheduler& state, const job_worker& worker,
                     const wire::job_step& step, double harm);
void begin_trial(job_scheduler& state, job_worker& worker, const wire::job_step& step, double harm,
                 time_point now);
/** Ends the trial of the worker, if there is one. */
void end_trial(job_scheduler& state, job_worker& worker);
/** Ends the trial of the worker if all its pairs are known. */
void end_trial_if_known(job_scheduler& state, job_worker& worker);

} // namespace galenaturn::schedule
