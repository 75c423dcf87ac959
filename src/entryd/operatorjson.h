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
/** Returns the result of an accepted or duplicate command as JSON. */
std::string outcome_json(const wire::command_response& response);
std::string ledger_json(const wire::ledger_status& ledger);

/** An operator's request to start a task. */
struct start_request {
    wire::start_task start;
    /** Whether the deadline is a time span, so that each resend yields another point in time. */
    bool relative_deadline{false};
};

/**
 * Parses {"job", "deadline", "demand": {"processors", "memory", "accelerators"}}; `now` is the
 * time from which a relative deadline counts. Problems are added to `found`.
 */
start_request parse_start(const task_id& id, const std::string& body, wall_time now,
                          findings& found);
/** Parses {"change": "add" | "promote" | "remove", "process", "voter"}. */
wire::voter_change_request parse_voter_change(const std::string& body, findings& found);
/** Returns whether `request` is a resend of the request that created the task `existing`. */
bool is_resend(const start_request& request, const wire::task_record& existing);

/** Returns the HTTP error for a document with the problems `found`. */
http::response make_findings_problem(const std::string& reason, const findings& found);
/** Returns the HTTP error for a catalogue write that lost against another; names that version. */
http::response make_conflict_problem(const wire::command_response& response);

} // namespace galenaturn::entryd
