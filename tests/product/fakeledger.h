#pragma once

#include "entryd/operatorservice.h"

#include <map>
#include <vector>

namespace galenaturn {

/** An in-memory ledger: compare-and-set of the catalogue, tasks by id, deduplicated request ids. */
class fake_ledger {
public:
    /** Returns functions that operate on this ledger, which must outlive them. */
    entryd::operator_ledger functions();

    /** Statuses that the next commands return, in order; once it is empty the ledger responds
     * itself. */
    std::vector<wire::command_status> forced_statuses;
    std::vector<wire::catalogue_document> versions;
    std::map<task_id, wire::task_record> tasks;
    std::vector<request_id> requests;
    std::vector<wire::voter_change_request> voter_changes;
    bool reachable{true};

private:
    wire::command_response apply(const wire::command_request& request);
    wire::command_response apply_body(const wire::write_catalogue& write);
    wire::command_response apply_body(const wire::start_task& start);
    wire::command_response apply_body(const wire::cancel_task& cancel);
    wire::command_response apply_body(const wire::stop_task& stop);
    template <class Other>
    wire::command_response apply_body(const Other& /*other*/)
    {
        return {};
    }
    wire::query_response answer(const wire::query_request& request) const;
    wire::command_response end(const task_id& id, wire::task_outcome outcome);

    std::map<request_id, wire::command_response> done_;
    std::uint64_t last_request_{0};
};

} // namespace galenaturn
