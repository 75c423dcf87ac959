#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Reports to the ledger why tasks that have waited for some time are not placed. */
void report_long_waits(steward_state& steward, time_point now);
/** Clears a reported wait reason in the ledger once the task runs. */
void clear_reported_wait(steward_state& steward, task_entry& task);
/** Returns a description of the reason for operators. */
const char* describe(wait_reason reason);

} // namespace galenaturn::schedule
