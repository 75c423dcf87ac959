#pragma once

#include "interference.h"
#include "stewardstate.h"

namespace galenaturn::schedule {

/** Keeps what runs on the worker now, so that late measurements meet what ran when they were made.
 */
void note_occupancy(steward_state& steward, worker_entry& worker, time_point now);
/** Learns from a latency that was measured `age` ago. */
void take_latency(steward_state& steward, worker_entry& worker, duration latency, duration age,
                  time_point now);
/** Throttles, evicts or restores batch work on a worker after a new measurement. */
void react_to_latency(steward_state& steward, worker_entry& worker, time_point now);
/** Returns the neighbours that services on the worker have, with `extra` where it is not null. */
std::vector<neighbour> batch_neighbours(const steward_state& steward, const worker_entry& worker,
                                        const task_entry* extra);
/** Returns the highest expected latency, with its deviation, of a service on the worker in relation
 * to its objective if `extra` were placed there too; 0 where there is no service. */
latency_estimate worst_latency(const steward_state& steward, const worker_entry& worker,
                               const task_entry& extra, time_point now);
/** Whether an effect of the task on a service of the worker is unknown and is being tried on
 * another worker. */
bool trial_elsewhere(const steward_state& steward, const worker_entry& worker,
                     const task_entry& task, time_point now);
/** Begins to try the unknown effects of the task on the worker's services. */
void begin_trials(steward_state& steward, const worker_entry& worker, const task_entry& task,
                  time_point now);
/** Returns what evicting the task now would lose, in processor seconds. */
double eviction_cost(const task_entry& task, time_point now);
/** Whether the task was evicted so often lately that others go first. */
bool is_guarded(const task_entry& task, time_point now);

} // namespace galenaturn::schedule
