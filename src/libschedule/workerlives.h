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
time_point last_possible_expiry(const job_scheduler& state, time_point now);

} // namespace galenaturn::schedule
