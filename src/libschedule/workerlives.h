#pragma once

#include "jobscheduler.h"

namespace galenaturn::schedule {

/**
 * Returns the fencing token of commands to a worker. It is higher in a later term and, within a
 * term, for a later life of the worker: once a life has seen its own token, it rejects what was
 * sent to a former one and arrives late.
 */
fencing_token token_for(job_scheduler& state, term leader, const worker_id& worker);

/**
 * Notes that a command with a lease may have been carried out by another life of the worker. Times
 * on the clock of the former life lie far ahead of it, so its lease is the longest that there is.
 */
void extend_lease_to_limit(job_scheduler& state, const worker_id& worker, time_point now);

/** Notes that a poll with a lease got no reply. */
void on_poll_unanswered(job_scheduler& state, const worker_id& worker, time_point now);

/** Returns when every lease that was granted until `now`, to whichever life, has expired. */
time_point last_possible_expiry(const job_settings& settings, time_point now);

/** Returns whether it is not known where the start of the run arrived. */
bool is_unanswered_start(const task_run& run);

/**
 * Returns when the next life of a worker can no longer have a run of which the start was sent at
 * that time: it may be carried out late, and is granted the longest lease then.
 */
time_point last_possible_end(const job_settings& settings, time_point sent_at);

/**
 * Returns until when the next life of the worker may carry out the start of the run, or run it.
 * Each command that is carried out after it extends its lease.
 */
time_point last_possible_end(const job_scheduler& state, const job_worker& worker,
                             const task_run& run);

/**
 * Returns whether a next life of a worker that responds may still carry out the start of the run,
 * also where the present one has confirmed a stop.
 */
bool next_life_may_begin(const job_scheduler& state, const job_worker& worker, const task_run& run,
                         time_point now);

/** Returns whether the next life of the worker may carry out the start of the run, or run it. */
bool next_life_may_run(const job_scheduler& state, const job_worker& worker, const task_run& run,
                       time_point now);

} // namespace galenaturn::schedule
