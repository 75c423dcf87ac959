#include "fakeledger.h"

namespace galenaturn {

using wire::command_response;
using wire::command_status;
using wire::query_response;
using wire::query_status;

entryd::operator_ledger fake_ledger::functions()
{
    return {
        [this] { return request_id{"fake-" + std::to_string(++last_request_)}; },
        [this](wire::command_request request, time_point)
            -> boost::asio::awaitable<command_response> { co_return apply(request); },
        [this](wire::query_request request, time_point) -> boost::asio::awaitable<query_response> {
            co_return answer(request);
        },
        [this](wire::voter_change_request change,
               time_point) -> boost::asio::awaitable<command_response> {
            voter_changes.push_back(change);
            command_response response;
            response.status = change.voter.value() == "unknown" ? command_status::rejected
                                                                : command_status::accepted;
            co_return response;
        }};
}

command_response fake_ledger::apply(const wire::command_request& request)
{
    requests.push_back(request.id);
    if (!forced_statuses.empty()) {
        command_response response;
        response.status = forced_statuses.front();
        forced_statuses.erase(forced_statuses.begin());
        return response;
    }
    const auto earlier = done_.find(request.id);
    if (earlier != done_.end()) {
        auto response = earlier->second;
        if (response.status == command_status::accepted)
            response.status = command_status::duplicate;
        return response;
    }
    auto response = std::visit([this](const auto& body) { return apply_body(body); }, request.body);
    done_.emplace(request.id, response);
    return response;
}

command_response fake_ledger::apply_body(const wire::write_catalogue& write)
{
    command_response response;
    response.version = catalogue_version{versions.size()};
    response.digest = versions.empty() ? std::string{} : versions.back().digest;
    response.status = command_status::conflict;
    if (write.expected != response.version)
        return response;
    response.status = command_status::accepted;
    response.version = response.version.next();
    response.digest = write.digest;
    versions.push_back({response.version, write.digest, write.author, write.document});
    return response;
}

command_response fake_ledger::apply_body(const wire::start_task& start)
{
    command_response response;
    const auto existing = tasks.find(start.id);
    if (existing != tasks.end()) {
        const bool same =
            existing->second.job == start.job && existing->second.deadline == start.deadline;
        response.status = same ? command_status::duplicate : command_status::rejected;
        return response;
    }
    if (start.job.value() == "unknown") {
        response.status = command_status::rejected;
        response.reason = "no such job";
        return response;
    }
    auto& task = tasks[start.id];
    task.id = start.id;
    task.job = start.job;
    task.deadline = start.deadline;
    task.demand = start.demand.value_or(resources{});
    response.status = command_status::accepted;
    return response;
}

command_response fake_ledger::end(const task_id& id, wire::task_outcome outcome)
{
    command_response response;
    const auto existing = tasks.find(id);
    response.status = command_status::rejected;
    response.reason = "unknown task";
    if (existing == tasks.end())
        return response;
    existing->second.phase = wire::task_phase::finished;
    existing->second.outcome = outcome;
    response.status = command_status::accepted;
    return response;
}

command_response fake_ledger::apply_body(const wire::cancel_task& cancel)
{
    return end(cancel.id, wire::task_outcome::cancelled);
}

command_response fake_ledger::apply_body(const wire::stop_task& stop)
{
    return end(stop.id, wire::task_outcome::stopped);
}

query_response fake_ledger::answer(const wire::query_request& request) const
{
    query_response response;
    if (!reachable)
        return response;
    response.status = query_status::not_found;
    if (const auto* query = std::get_if<wire::get_catalogue>(&request.body)) {
        const auto number = query->version.value() == 0 ? versions.size() : query->version.value();
        if (number == 0 || number > versions.size())
            return response;
        response.documents.push_back(versions[number - 1]);
    }
    if (const auto* query = std::get_if<wire::get_task>(&request.body)) {
        const auto existing = tasks.find(query->id);
        if (existing == tasks.end())
            return response;
        response.tasks.push_back(existing->second);
    }
    if (std::holds_alternative<wire::list_catalogue_history>(request.body))
        response.documents = versions;
    if (std::holds_alternative<wire::list_tasks>(request.body)) {
        for (const auto& [id, task] : tasks)
            response.tasks.push_back(task);
    }
    response.status = query_status::found;
    return response;
}

} // namespace galenaturn
