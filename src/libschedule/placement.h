#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** The worker chosen for a task, or why no worker can take it now. */
struct placement_choice {
    worker_entry* worker{nullptr};
    wait_reason refusal{wait_reason::none};
};

/** Chooses the worker with the lowest cost among a sample of those on which the task fits. */
placement_choice choose_worker(steward_state& steward, const task_entry& task, time_point now);
/** Places waiting tasks in queue order, as far as they fit. */
void place_waiting(steward_state& steward, time_point now);
/** Places one waiting task on a worker on which it fits. */
void place_task(steward_state& steward, task_entry& task, worker_entry& worker, time_point now);

} // namespace galenaturn::schedule
