#pragma once

#include "ledgerstate.h"

namespace galenaturn::ledger {

/** Bounds on what the state keeps of the past. */
struct state_limits {
    /** Longer than any caller resends a start, and than a nightly run takes. */
    std::chrono::hours finished_task_retention{24};
    /** More than the jobs of a day; beyond it the oldest finished tasks go early. */
    std::size_t max_finished_tasks{40'000};
    std::size_t max_catalogue_versions{64};
    std::size_t max_catalogue_history_bytes{std::size_t{2} << 20};
    std::size_t max_recorded_writes{1024};
    std::size_t max_keys{60'000};
    /** No owner can use up the keys of the others. */
    std::size_t max_keys_per_owner{20'000};
    std::size_t max_answer_bytes{std::size_t{16} << 10};
    /** Longer than callers ask for the outcome of a job. */
    std::chrono::minutes ended_job_retention{10};
    std::size_t max_ended_jobs{40'000};
};

/** Bounds on one document, so that a push and a log entry stay small. */
constexpr std::size_t max_document_bytes = std::size_t{2} << 20;

/**
 * Checks a command before it enters the log, against what cannot change: its own content. Returns
 * nothing where it may be proposed.
 */
std::optional<wire::command_response> check_command(const wire::command_request& request);

/**
 * Applies one committed command. Depends on nothing but its arguments, so that every voter gets
 * the same state. `change` says what changed.
 */
wire::command_response apply_command(ledger_state& state, const wire::command_request& request,
                                     log_index index, applied_change& change);

/** Answers a query from `state`; leader and freshness are the caller's. */
wire::query_response answer_query(const ledger_state& state, const wire::query& body);

/** Returns the version in force, or version 0 where none was written yet. */
const wire::catalogue_document& catalogue_in_force(const ledger_state& state);

} // namespace galenaturn::ledger
