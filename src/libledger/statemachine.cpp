#include "statemachine.h"

#include "applycommands.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

using wire::command_status;

wire::query_response answer(const ledger_state& state, const wire::get_catalogue& body)
{
    wire::query_response response;
    const auto& current = catalogue_in_force(state);
    const auto wanted = body.version.value() == 0 ? current.version : body.version;
    for (const auto& document : state.catalogue_history) {
        if (document.version == wanted)
            response.documents.push_back(document);
    }
    response.status =
        response.documents.empty() ? wire::query_status::not_found : wire::query_status::found;
    return response;
}

wire::query_response answer(const ledger_state& state, const wire::list_catalogue_history& body)
{
    wire::query_response response;
    response.status = wire::query_status::found;
    const auto& history = state.catalogue_history;
    const auto wanted = body.limit == 0 ? history.size() : std::size_t{body.limit};
    // Latest first.
    for (auto count = history.size(); count > 0 && response.documents.size() < wanted; --count) {
        auto entry = history[count - 1];
        entry.document.clear();
        response.documents.push_back(std::move(entry));
    }
    return response;
}

wire::query_response answer(const ledger_state& state, const wire::get_task& body)
{
    wire::query_response response;
    const auto task = state.tasks.find(body.id);
    if (task == state.tasks.end()) {
        response.status = wire::query_status::not_found;
        return response;
    }
    response.status = wire::query_status::found;
    response.tasks.push_back(task->second);
    return response;
}

/** Maximum number of tasks in one response; callers narrow a longer list by owner. */
constexpr std::size_t max_listed_tasks = 2000;

wire::query_response answer(const ledger_state& state, const wire::list_tasks& body)
{
    wire::query_response response;
    response.status = wire::query_status::found;
    const auto limit =
        body.limit == 0 ? max_listed_tasks : std::min<std::size_t>(body.limit, max_listed_tasks);
    for (const auto& [id, task] : state.tasks) {
        if (response.tasks.size() >= limit)
            break;
        if (body.owner.empty() || task.owner == body.owner)
            response.tasks.push_back(task);
    }
    return response;
}

wire::query_response answer(const ledger_state& state, const wire::get_queues& /*body*/)
{
    wire::query_response response;
    const bool known = state.queues.version > 0;
    response.status = known ? wire::query_status::found : wire::query_status::not_found;
    if (known)
        response.queues = state.queues;
    return response;
}

wire::query_response answer(const ledger_state& /*state*/, const wire::get_ledger_status& /*body*/)
{
    wire::query_response response;
    response.status = wire::query_status::found;
    return response;
}

} // namespace

wire::command_response make_response(command_status status, std::string reason)
{
    wire::command_response response;
    response.status = status;
    response.reason = std::move(reason);
    return response;
}

std::optional<wire::command_response> check_command(const wire::command_request& request)
{
    if (request.id.empty())
        return make_response(command_status::rejected, "the request id is empty");
    if (const auto* write = std::get_if<wire::write_catalogue>(&request.body)) {
        if (write->document.size() > max_document_bytes)
            return make_response(command_status::rejected, "the document is larger than 2 MiB");
        if (write->digest != wire::content_digest(write->document))
            return make_response(command_status::rejected,
                                 "the digest does not match the document");
        findings found;
        parse_catalogue(write->document, "catalogue", found);
        if (!found.empty())
            return make_response(command_status::rejected, found.text());
    }
    if (const auto* start = std::get_if<wire::start_task>(&request.body)) {
        if (start->id.empty())
            return make_response(command_status::rejected, "the task id is empty");
    }
    if (const auto* submit = std::get_if<wire::submit_job>(&request.body)) {
        if (submit->id.empty())
            return make_response(command_status::rejected, "the job id is empty");
        if (auto problem = wire::check_job(submit->spec); !problem.empty())
            return make_response(command_status::rejected, std::move(problem));
    }
    if (const auto* publish = std::get_if<wire::publish_queues>(&request.body)) {
        if (publish->document.size() > max_document_bytes)
            return make_response(command_status::rejected, "the document is larger than 2 MiB");
    }
    if (const auto* complete = std::get_if<wire::complete_key>(&request.body)) {
        if (complete->answer && complete->answer->body.size() > limits.max_answer_bytes)
            return make_response(command_status::rejected, "the answer is larger than 16 KiB");
    }
    return std::nullopt;
}

wire::command_response apply_command(ledger_state& state, const wire::command_request& request,
                                     log_index index, applied_change& change)
{
    change = {};
    change.index = index;
    apply_context context{state, request.id, change};
    auto response =
        std::visit([&](const auto& body) { return apply(context, body); }, request.body);
    response.index = index;
    return response;
}

wire::query_response answer_query(const ledger_state& state, const wire::query& body)
{
    return std::visit([&](const auto& query) { return answer(state, query); }, body);
}

wire::command_response apply(apply_context& context, const wire::grant_stewardship& body)
{
    auto& current = context.state.stewardships[body.domain];
    if (current.steward == body.steward && current.number == body.expected.next())
        return make_response(command_status::duplicate);
    if (current.number != body.expected)
        return make_response(command_status::conflict, "another stewardship was granted");
    current = {body.steward, body.expected.next()};
    context.change.stewardships = true;
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::expire_records& body)
{
    context.state.clock = std::max(context.state.clock, body.now);
    remove_expired_keys(context.state);
    remove_old_finished_tasks(context.state);
    remove_old_ended_jobs(context.state);
    remove_old_cancelled_submissions(context.state);
    return make_response(command_status::accepted);
}

} // namespace galenaturn::ledger
