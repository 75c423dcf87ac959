#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Where a task may go, or why it may go nowhere now. */
struct placement_choice {
    worker_entry* worker{nullptr};
    wait_reason refused{wait_reason::none};
};

/** Chooses the worker with the least cost among those in which the task fits. */
placement_choice choose_worker(steward_state& steward, const task_entry& task, time_point now);
/** Places waiting tasks in their order, as far as they fit. */
void place_waiting(steward_state& steward, time_point now);
/** Places one waiting task on a worker in which it fits. */
void place_task(steward_state& steward, task_entry& task, worker_entry& worker, time_point now);

} // namespace galenaturn::schedule
