#pragma once

#include "interference.h"
#include "stewardstate.h"

namespace galenaturn::schedule {

/**
 * Records which tasks run on the worker now, so that measurements that arrive late can be matched
 * with the tasks that ran when they were made.
 */
void record_occupancy(steward_state& steward, worker_entry& worker, time_point now);
/**
 * Updates the interference model with a service latency that was measured `age` ago, and reacts to
 * it.
 */
void on_latency_measurement(steward_state& steward, worker_entry& worker, duration latency,
                            duration age, time_point now);
/** Throttles, evicts or unthrottles batch work on a worker after a new measurement. */
void react_to_latency(steward_state& steward, worker_entry& worker, time_point now);
/**
 * Returns the tasks on the worker that are not services, plus `extra` if it is neither null nor a
 * service.
 */
std::vector<neighbour> batch_neighbours(const steward_state& steward, const worker_entry& worker,
                                        const task_entry* extra);
/**
 * Returns the highest estimated latency, in relation to the objective, of any service on the worker
 * if `extra` were placed there too; 0 if there is no service.
 */
latency_estimate worst_latency(const steward_state& steward, const worker_entry& worker,
                               const task_entry& extra, time_point now);
/**
 * Returns whether an unknown effect of the task on a service of the worker is already being
 * measured by a colocation trial.
 */
bool is_on_trial_elsewhere(const steward_state& steward, const worker_entry& worker,
                           const task_entry& task, time_point now);
/** Starts colocation trials for the task's unknown effects on the worker's services. */
void begin_colocation_trials(steward_state& steward, const worker_entry& worker,
                             const task_entry& task, time_point now);
/**
 * Returns the work that would be lost by evicting the task now, in processor seconds. A large
 * penalty is added for guarded tasks.
 */
double eviction_cost(const task_entry& task, time_point now);
/** Returns whether the task was evicted so often recently that other tasks are evicted first. */
bool is_guarded(const task_entry& task, time_point now);

} // namespace galenaturn::schedule
