#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/**
 * Handles tasks that the last placement pass could not place. Urgent tasks preempt the batch tasks
 * that are cheapest to evict, and large tasks that have waited for long get a worker reserved.
 * Tasks larger than every worker of the domain are returned to the ledger, or parked once every
 * domain has tried them.
 */
void handle_unplaced_tasks(steward_state& steward, time_point now);

} // namespace galenaturn::schedule
