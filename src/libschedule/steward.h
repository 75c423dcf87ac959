#pragma once

#include "stewardstate.h"

namespace galenaturn::schedule {

/** Makes this process the steward under `number`. What it knew before is forgotten. */
void begin_stewardship(steward_state& steward, epoch number, time_point now);
/** Goes on as the steward under the later `number` that the ledger granted to this process. */
void renumber_stewardship(steward_state& steward, epoch number);
/** Ends the stewardship: no command follows. Leases that were granted run out. */
void end_stewardship(steward_state& steward);
/** A leader acknowledged the heartbeat that was sent at `sent`. */
void on_heartbeat_acknowledged(steward_state& steward, time_point sent);
/** Takes over what the catalogue in force declares. */
void on_catalogue(steward_state& steward, const catalogue& entries);
/**
 * Takes over the ledger's record of a task, or null where it has none. `inherited`: a predecessor
 * may have placed it.
 */
void on_record(steward_state& steward, const task_id& id, const wire::task_record* record,
               bool inherited, time_point now);

/** Forgets tasks that the ledger gave away and that have ended here. */
void forget_dropped(steward_state& steward, time_point now);

enum class announcement_result : std::uint8_t { accepted, repeated, late };
/** Takes over what a worker says. Late and repeated announcements change nothing. */
announcement_result on_announcement(steward_state& steward,
                                    const wire::worker_announcement& announced, time_point now);
/** Returns the answer to the worker's last heartbeat and counts the leases that it grants. */
wire::worker_answer answer_worker(steward_state& steward, const worker_id& id, time_point now);
/** Returns whether an outcome that the worker reported has not reached the ledger yet. */
bool awaits_ledger(const steward_state& steward, const worker_id& id);

/** Ends leases, places waiting tasks and reacts to measurements. */
void on_tick(steward_state& steward, time_point now);
/** Orders a running task off its worker, to resume elsewhere. Returns false where it cannot be. */
bool evict_task(steward_state& steward, task_entry& task, eviction_reason reason, time_point now);

/** Lets a running task take a checkpoint and then evicts it; evicts it at once where it cannot. */
bool order_eviction(steward_state& steward, task_entry& task, eviction_reason reason,
                    time_point now);

/** Returns up to `limit` reports for the ledger. They stay until they are accepted. */
std::vector<wire::report_tasks::item> due_reports(const steward_state& steward, std::size_t limit);
/** Drops reports that the ledger accepted, unless they changed since. */
void on_reports_accepted(steward_state& steward,
                         const std::vector<wire::report_tasks::item>& accepted);

/** Returns what the domain holds and could still hold. */
domain_load current_load(const steward_state& steward);
/** Returns the last moment to which the steward may grant a lease for the task. */
time_point grant_limit(const steward_state& steward, const task_entry& task);

} // namespace galenaturn::schedule
