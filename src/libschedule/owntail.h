#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/**
 * Adds a sample of the tail latency that a task of the job would have had without best-effort load.
 */
void follow_tail(own_tail& tail, double alone_ms, time_point now);
/** Returns whether the newest sample is recent enough to learn from. */
bool is_fresh(const own_tail& tail, time_point now);
/** Returns whether the newest sample is recent enough to tell a sudden rise from a gradual one. */
bool is_remembered(const own_tail& tail, time_point now);
/**
 * Returns the baseline to expect while work that starts now runs, or a share of `target_ms` while
 * no sample is known.
 */
double tail_to_expect(const own_tail& tail, double target_ms);

} // namespace galenaturn::schedule
