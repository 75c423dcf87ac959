#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Starts a stewardship with epoch `number` and discards all earlier state. */
void begin_stewardship(steward_state& steward, epoch number, time_point now);
/**
 * Continues the current stewardship under the later epoch `number` that the ledger granted to this
 * process.
 */
void renumber_stewardship(steward_state& steward, epoch number);
/** Ends the stewardship: no further commands are sent, and leases already granted expire. */
void end_stewardship(steward_state& steward);
/** Handles the ledger leader's acknowledgement of the heartbeat that was sent at `sent`. */
void on_heartbeat_acknowledged(steward_state& steward, time_point sent);
/** Applies the jobs, quotas and latency objectives of the catalogue in force. */
void on_catalogue(steward_state& steward, const catalogue& entries);
/**
 * Applies the ledger's record of a task, or null if the ledger has none. `inherited` means that a
 * previous steward may have placed the task.
 */
void on_task_record(steward_state& steward, const task_id& id, const wire::task_record* record,
                    bool inherited, time_point now);

/** Erases tasks that the ledger withdrew from this domain and that have ended here. */
void erase_withdrawn_tasks(steward_state& steward, time_point now);

/** How an announcement was handled. */
enum class announcement_result : std::uint8_t { accepted, repeated, outdated };
/** Processes a worker's announcement. Outdated and repeated announcements change nothing. */
announcement_result on_announcement(steward_state& steward,
                                    const wire::worker_announcement& announced, time_point now);
/** Returns the response to the worker's last heartbeat and records the leases that it grants. */
wire::worker_response make_worker_response(steward_state& steward, const worker_id& id,
                                           time_point now);
/** Returns whether the ledger has not yet accepted an outcome that the worker reported. */
bool has_unacknowledged_outcome(const steward_state& steward, const worker_id& id);

/** Expires leases, carries out pending evictions, places waiting tasks and reports long waits. */
void on_tick(steward_state& steward, time_point now);
/**
 * Stops a running task so that it resumes on another worker. Returns false if its state does not
 * allow it.
 */
bool evict_task(steward_state& steward, task_entry& task, eviction_reason reason, time_point now);

/**
 * Requests a checkpoint from a running task and evicts the task afterwards. Evicts it at once if
 * its state allows no checkpoint.
 */
bool evict_after_checkpoint(steward_state& steward, task_entry& task, eviction_reason reason,
                            time_point now);

/**
 * Returns up to `limit` reports for the ledger. They stay pending until the ledger accepts them.
 */
std::vector<wire::report_tasks::item> next_reports(const steward_state& steward, std::size_t limit);
/** Removes reports that the ledger accepted, unless they changed since they were sent. */
void on_reports_accepted(steward_state& steward,
                         const std::vector<wire::report_tasks::item>& accepted);

/** Returns the capacity, free capacity and task counts of the domain. */
domain_load current_load(const steward_state& steward);
/** Returns the latest time until which the steward may grant a lease for the task. */
time_point max_lease_end(const steward_state& steward, const task_entry& task);

} // namespace galenaturn::schedule
