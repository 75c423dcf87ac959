#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/**
 * Makes room for tasks that the last pass could not place: urgent ones displace the least costly
 * batch work, large ones that wait long get a worker kept for them, and tasks that no worker of the
 * domain could hold go back to the ledger, or are parked once every domain has had them.
 */
void settle_unplaceable(steward_state& steward, time_point now);

} // namespace galenaturn::schedule
