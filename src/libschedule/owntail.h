#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** Takes what a task of the job would have had for a tail with nothing beside it. */
void follow_tail(own_tail& tail, double alone_ms, time_point now);
/** Returns whether the tail was followed until a short while ago. */
bool is_fresh(const own_tail& tail, time_point now);
/** Returns whether it is known well enough to tell a jump from a rise. */
bool is_remembered(const own_tail& tail, time_point now);
/** Returns the tail to expect while work that begins now lasts; `target` tells where none is known.
 */
double tail_to_expect(const own_tail& tail, double target_ms);

} // namespace galenaturn::schedule
