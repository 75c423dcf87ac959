#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Tells the ledger, in plain words, why tasks wait that have waited for some time. */
void report_waits(steward_state& steward, time_point now);
/** Takes such a reason back once the task runs. */
void report_running(steward_state& steward, task_entry& task);
/** Returns the reason as operators read it. */
const char* explain(wait_reason reason);

} // namespace galenaturn::schedule
