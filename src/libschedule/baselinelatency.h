#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/**
 * Adds a sample of the tail latency that a task of the job would have had without best-effort load.
 */
void update_baseline(baseline_latency& baseline, double sample_ms, time_point now);
/** Returns whether the newest sample is recent enough to learn from. */
bool is_fresh(const baseline_latency& baseline, time_point now);
/** Returns whether the newest sample is recent enough to tell a sudden rise from a gradual one. */
bool is_usable_reference(const baseline_latency& baseline, time_point now);
/**
 * Returns the baseline to expect while work that starts now runs, or a share of `target_ms` while
 * no sample is known.
 */
double expected_baseline(const baseline_latency& baseline, double target_ms);

} // namespace galenaturn::schedule
