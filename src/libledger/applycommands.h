#pragma once

#include "statemachine.h"

namespace galenaturn::ledger {

/** Parameters for applying one command. Private to the library. */
struct apply_context {
    ledger_state& state;
    const request_id& id;
    applied_change& change;
};

constexpr state_limits limits;

wire::command_response make_response(wire::command_status status, std::string reason = {});

wire::command_response apply(apply_context& context, const wire::write_catalogue& body);
wire::command_response apply(apply_context& context, const wire::start_task& body);
wire::command_response apply(apply_context& context, const wire::cancel_task& body);
wire::command_response apply(apply_context& context, const wire::stop_task& body);
wire::command_response apply(apply_context& context, const wire::assign_tasks& body);
wire::command_response apply(apply_context& context, const wire::report_tasks& body);
wire::command_response apply(apply_context& context, const wire::grant_stewardship& body);
wire::command_response apply(apply_context& context, const wire::reserve_key& body);
wire::command_response apply(apply_context& context, const wire::complete_key& body);
wire::command_response apply(apply_context& context, const wire::expire_records& body);

wire::command_response apply(apply_context& context, const wire::submit_job& body);
wire::command_response apply(apply_context& context, const wire::cancel_job& body);
wire::command_response apply(apply_context& context, const wire::record_completions& body);
wire::command_response apply(apply_context& context, const wire::publish_queues& body);
wire::command_response apply(apply_context& context, const wire::record_workers& body);
wire::command_response apply(apply_context& context, const wire::record_crash& body);
wire::command_response apply(apply_context& context, const wire::record_suspect_start& body);
/** Removes the oldest ended jobs, by their retention time and maximum number. */
void remove_old_ended_jobs(ledger_state& state);
/** Removes the cancelled submissions whose retention time is over. */
void remove_old_cancelled_submissions(ledger_state& state);
/** Removes the oldest finished tasks, by their retention time and maximum number. */
void remove_old_finished_tasks(ledger_state& state);
/** Removes the keys that have expired. */
void remove_expired_keys(ledger_state& state);

} // namespace galenaturn::ledger
