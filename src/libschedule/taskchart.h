#pragma once

#include "stewardstate.h"

#include <string_view>

namespace galenaturn::schedule {

/** Context of the actions of charts/task.yaml. */
struct task_event_context {
    steward_state& steward;
    task_entry& task;
    time_point now;
};

/** Loads charts/task.yaml from `folder`. Adds problems to `found`. */
state_chart load_task_chart(const std::string& folder, findings& found);

/**
 * Applies `event` to the task. Returns false and changes nothing if the task's state has no
 * transition for it, so repeated events take effect only once.
 */
bool apply_task_event(steward_state& steward, task_entry& task, std::string_view event,
                      time_point now);

/** Returns whether the task holds a reservation on a worker. */
bool has_reservation(const task_entry& task);
/** Updates the free capacity of the worker in the index; none if nothing may be placed there. */
void update_capacity_index(steward_state& steward, const worker_entry& worker);
/**
 * Lets each response of a lease's span say that the task may run at full speed, so that the worker
 * learns of it although responses are lost.
 */
void repeat_full_speed(const steward_state& steward, task_entry& task, time_point now);
/** Puts a task without a reservation into the placement queue. */
void enqueue_task(steward_state& steward, task_entry& task, time_point now);

} // namespace galenaturn::schedule
