#pragma once

#include "stewardstate.h"

#include <string_view>

namespace galenaturn::schedule {

/** What the actions of charts/task.yaml work on. */
struct task_step {
    steward_state& steward;
    task_entry& task;
    time_point now;
};

/** Loads charts/task.yaml from `folder`. Problems go to `found`. */
state_chart load_task_chart(const std::string& folder, findings& found);

/** Carries out `event`. Returns false, and changes nothing, where the task's state has no use for
 * it, so that repeated events have one effect. */
bool apply_task_event(steward_state& steward, task_entry& task, std::string_view event,
                      time_point now);

/** Returns whether the task holds a reservation on a worker. */
bool on_worker(const task_entry& task);
/** Tells the index what is free on the worker, or that nothing may be placed there. */
void update_index(steward_state& steward, const worker_entry& worker);
/** Puts a task that is on no worker into the queue. */
void enqueue_task(steward_state& steward, task_entry& task, time_point now);

} // namespace galenaturn::schedule
