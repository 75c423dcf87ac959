#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Handles the failure of a task that has just left `worker` and waits again. */
void on_task_failure(steward_state& steward, task_entry& task, worker_entry& worker,
                     const std::string& reason, time_point now);
/** Ends a waiting task that can never run. */
void park_task(steward_state& steward, task_entry& task, park_reason why, const std::string& reason,
               time_point now);
/** Handles a kill for lack of memory: the next reservation of the job is larger. */
void on_out_of_memory(steward_state& steward, task_entry& task, time_point now);
/** Notes that a task ran to its end, or long enough, on the worker. */
void on_task_success(steward_state& steward, const task_entry& task, worker_entry& worker,
                     time_point now);

} // namespace galenaturn::schedule
