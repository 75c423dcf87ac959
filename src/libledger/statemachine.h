#pragma once

#include "ledgerstate.h"

namespace galenaturn::ledger {

/** Limits on the records that the state keeps. */
struct state_limits {
    /** Longer than any caller resends a start, and longer than a nightly run takes. */
    std::chrono::hours finished_task_retention{24};
    /** More than the tasks of a day. Above it the oldest are removed earlier. */
    std::size_t max_finished_tasks{40'000};
    std::size_t max_catalogue_versions{64};
    std::size_t max_catalogue_history_bytes{std::size_t{2} << 20};
    std::size_t max_recorded_writes{1024};
    std::size_t max_keys{60'000};
    /** Less than max_keys, so that one owner cannot use up the keys of the others. */
    std::size_t max_keys_per_owner{20'000};
    std::size_t max_answer_bytes{std::size_t{16} << 10};
    /** Longer than callers query the outcome of a job. */
    std::chrono::minutes ended_job_retention{10};
    std::size_t max_ended_jobs{40'000};
    /** Longer than a submission may be on the way, such as in a process that is suspended. */
    std::chrono::minutes cancelled_submission_retention{10};
    /** Above it further ones are refused: an early removal would let the submission in. */
    std::size_t max_cancelled_submissions{40'000};
};

/** Maximum size of a document; keeps pushes and log entries small. */
constexpr std::size_t max_document_bytes = std::size_t{2} << 20;

/**
 * Validates the content of a command before it is proposed, without regard to the state. Returns
 * the response that rejects it, or nothing if it may be proposed.
 */
std::optional<wire::command_response> check_command(const wire::command_request& request);

/**
 * Applies one committed command and reports in `change` what it changed. Deterministic: depends
 * only on its arguments, so that all voters have the same state.
 */
wire::command_response apply_command(ledger_state& state, const wire::command_request& request,
                                     log_index index, applied_change& change);

/** Answers a query from `state`. The caller checks leadership and freshness. */
wire::query_response answer_query(const ledger_state& state, const wire::query& body);

/** Returns whether the state can record the cancelling of one more job that it does not know. */
bool can_cancel_unknown_job(const ledger_state& state);

/** Returns the catalogue version in force, or version 0 if none was written yet. */
const wire::catalogue_document& catalogue_in_force(const ledger_state& state);

} // namespace galenaturn::ledger
