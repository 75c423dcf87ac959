#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Reports to the ledger why tasks that have waited for some time are not placed. */
void report_waits(steward_state& steward, time_point now);
/** Clears a reported wait reason in the ledger once the task runs. */
void report_running(steward_state& steward, task_entry& task);
/** Returns a description of the reason for operators. */
const char* explain(wait_reason reason);

} // namespace galenaturn::schedule
