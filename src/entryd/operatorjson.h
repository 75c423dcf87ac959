#pragma once

#include <galenaturn/http.h>
#include <galenaturn/messages.h>

#include <string>
#include <vector>

namespace galenaturn::entryd {

/** Returns one task with its phase, outcome and reason as JSON. */
std::string task_json(const wire::task_record& task);
/** Returns {"tasks": [...]} in the order given. */
std::string tasks_json(const std::vector<wire::task_record>& tasks);
/** Returns {"versions": [...]} without the documents. */
std::string history_json(const std::vector<wire::catalogue_document>& versions);
/** Returns what an accepted or repeated command did. */
std::string outcome_json(const wire::command_response& response);
std::string ledger_json(const wire::ledger_status& ledger);

/** What an operator asked to start. */
struct start_order {
    wire::start_task start;
    /** Whether the deadline was given as a span, so that each resend names another time. */
    bool relative_deadline{false};
};

/**
 * Parses {"job", "deadline", "demand": {"processors", "memory", "accelerators"}}; `now` is the
 * moment from which a relative deadline counts. Every problem goes to `found`.
 */
start_order parse_start(const task_id& id, const std::string& body, wall_time now, findings& found);
/** Parses {"change": "add" | "promote" | "remove", "process", "voter"}. */
wire::voter_change_request parse_voter_change(const std::string& body, findings& found);
/** Returns whether `order` is a resend of the start that made `known`. */
bool is_resend(const start_order& order, const wire::task_record& known);

/** Returns the refusal of a document whose problems are `found`. */
http::response make_findings_problem(const std::string& reason, const findings& found);
/** Returns the refusal of a catalogue write that lost: it names the winner. */
http::response make_conflict_problem(const wire::command_response& response);

} // namespace galenaturn::entryd
