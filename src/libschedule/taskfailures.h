#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Handles the failure of a task on `worker`. The task is already waiting again. */
void on_task_failure(steward_state& steward, task_entry& task, worker_entry& worker,
                     const std::string& reason, time_point now);
/** Parks (gives up permanently) a waiting task that can never run. */
void park_task(steward_state& steward, task_entry& task, park_reason reason_code,
               const std::string& reason, time_point now);
/** Handles a kill for lack of memory: increases the memory that the job's tasks reserve. */
void on_out_of_memory(steward_state& steward, task_entry& task, time_point now);
/**
 * Records that a task succeeded on the worker, which ends a quarantine that the task was probing.
 */
void on_task_success(steward_state& steward, const task_entry& task, worker_entry& worker,
                     time_point now);

} // namespace galenaturn::schedule
