#include "operatorservice.h"

#include "operatorjson.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <array>
#include <utility>

namespace galenaturn::entryd {

namespace {

/** Maximum duration of one ledger call; some operator requests make two of them. */
constexpr duration ledger_timeout = std::chrono::seconds{4};
constexpr std::int64_t retry_after_seconds = 1;
constexpr std::uint32_t default_list_limit = 100;
constexpr std::uint32_t max_list_limit = 10'000;
constexpr std::size_t max_id_length = 128;

constexpr std::array<const char*, 13> refusal_reasons{"leaving",
                                                      "bad_version",
                                                      "version_required",
                                                      "invalid_catalogue",
                                                      "invalid_task",
                                                      "invalid_task_id",
                                                      "version_conflict",
                                                      "task_conflict",
                                                      "ledger_refused",
                                                      "not_found",
                                                      "no_quorum",
                                                      "outcome_unknown",
                                                      "invalid_voter_change"};

std::string header(const http::call& incoming, const std::string& name)
{
    const auto value = incoming.message[name];
    return {value.data(), value.size()};
}

std::string query_value(const http::call& incoming, const std::string& name)
{
    const auto found = incoming.query.find(name);
    return found == incoming.query.end() ? std::string{} : found->second;
}

/** Parses a version, bare or as an entity tag in quotes. */
std::optional<catalogue_version> parse_version(std::string text)
{
    if (text.size() > 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    std::uint64_t number{};
    if (text.starts_with('-') || !boost::conversion::try_lexical_convert(text, number))
        return {};
    return catalogue_version{number};
}

std::uint32_t limit_of(const http::call& incoming)
{
    std::uint32_t limit{};
    if (!boost::conversion::try_lexical_convert(query_value(incoming, "limit"), limit))
        return default_list_limit;
    return std::min(limit, max_list_limit);
}

http::response make_json(http::status code, std::string body)
{
    return http::make_response(code, std::move(body), "application/json");
}

wire::query_request task_query(const task_id& id)
{
    return {wire::get_task{id}, false};
}

/** Returns whether `id` can be used unescaped in a path, a log line and a file name. */
bool valid_task_id(const std::string& id)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
    return !id.empty() && id.size() <= max_id_length &&
           id.find_first_not_of(allowed) == std::string::npos;
}

} // namespace

namespace {

/** Finds the leader and sends it the change, once: the leader would refuse a repeated change. */
boost::asio::awaitable<wire::command_response>
change_voters_at_leader(daemon::context* shared, wire::voter_change_request change,
                        time_point deadline)
{
    wire::command_response response;
    response.status = wire::command_status::unavailable;
    response.reason = "no leader reachable";
    wire::query_request query{wire::get_ledger_status{}, false};
    const auto status_response = co_await shared->ledger.ask(std::move(query), deadline);
    auto* leader = shared->peers.find(status_response.leader);
    if (status_response.status != wire::query_status::found || leader == nullptr)
        co_return response;
    auto payload = wire::encode(change);
    const auto reply =
        co_await leader->call(wire::frame_kind::voter_change, std::move(payload), deadline);
    if (!reply && reply.error() == make_error_code(wire::wire_error::not_connected))
        co_return response;
    response.status = wire::command_status::unknown;
    if (!reply)
        co_return response;
    auto decoded = wire::decode<wire::command_response>(reply.value());
    if (decoded)
        response = std::move(decoded).value();
    co_return response;
}

} // namespace

operator_ledger make_operator_ledger(daemon::context& shared)
{
    auto* client = &shared.ledger;
    return {[client] { return client->next_request_id(); },
            [client](wire::command_request request, time_point deadline) {
                return client->submit(std::move(request), deadline);
            },
            [client](wire::query_request request, time_point deadline) {
                return client->ask(std::move(request), deadline);
            },
            [&shared](wire::voter_change_request change, time_point deadline) {
                return change_voters_at_leader(&shared, std::move(change), deadline);
            }};
}

operator_service::operator_service(daemon::context& shared, entry_hub& hub, operator_ledger ledger)
    : shared_{shared}, ledger_{std::move(ledger)}, requests_{shared.metrics.make_counter(
                                                       "galenaturn_operator_requests_total")}
{
    for (const auto* reason : refusal_reasons)
        refusals_[reason] = &shared.metrics.make_counter("galenaturn_operator_refusals_total",
                                                         {{"reason", reason}});
    hub.catalogue_changed.emplace_back([this](const catalogue_in_force& in_force) {
        version_ = in_force.version;
        digest_ = in_force.digest;
    });
    shared.status_contributors.emplace_back([this](daemon::process_status& status) {
        status.version = version_;
        status.digest = digest_;
    });
    add_catalogue_routes();
    add_task_routes();
}

void operator_service::add_catalogue_routes()
{
    auto& routes = shared_.routes;
    routes.add(http::verb::get, "/v1/catalogue",
               [this](http::call& incoming) { return get_catalogue(incoming); });
    routes.add(http::verb::put, "/v1/catalogue",
               [this](http::call& incoming) { return put_catalogue(incoming); });
    routes.add(http::verb::get, "/v1/catalogue/history",
               [this](http::call& incoming) { return get_history(incoming); });
    routes.add(http::verb::get, "/v1/ledger",
               [this](http::call& incoming) { return get_ledger(incoming); });
    routes.add(http::verb::post, "/v1/ledger/voters",
               [this](http::call& incoming) { return change_voters(incoming); });
}

void operator_service::add_task_routes()
{
    auto& routes = shared_.routes;
    routes.add(http::verb::get, "/v1/tasks",
               [this](http::call& incoming) { return list_tasks(incoming); });
    routes.add(http::verb::put, "/v1/tasks/{id}",
               [this](http::call& incoming) { return put_task(incoming); });
    routes.add(http::verb::get, "/v1/tasks/{id}",
               [this](http::call& incoming) { return get_task(incoming); });
    routes.add(http::verb::post, "/v1/tasks/{id}/cancel",
               [this](http::call& incoming) { return end_task(incoming, false); });
    routes.add(http::verb::post, "/v1/tasks/{id}/stop",
               [this](http::call& incoming) { return end_task(incoming, true); });
}

result<void> operator_service::start()
{
    return success();
}

request_id operator_service::id_of(const http::call& incoming) const
{
    const auto id = header(incoming, "Galenaturn-Request-Id");
    if (id.empty() || id.size() > max_id_length)
        return ledger_.next_request_id();
    return request_id{id};
}

http::response operator_service::refuse(const http::problem& details)
{
    const auto found = refusals_.find(details.reason);
    if (found != refusals_.end())
        found->second->add();
    return http::make_problem(details);
}

http::response operator_service::refuse_unconfirmed(const wire::command_response& response)
{
    if (response.status == wire::command_status::unknown)
        return refuse({http::status::gateway_timeout, "outcome_unknown",
                       "it may have been done; resend it with the same Galenaturn-Request-Id",
                       retry_after_seconds, false});
    return refuse({http::status::service_unavailable, "no_quorum", response.reason,
                   retry_after_seconds, true});
}

http::response operator_service::refuse_query(wire::query_status status, const std::string& what)
{
    if (status == wire::query_status::not_found)
        return refuse({http::status::not_found, "not_found", what + " is not known", 0, true});
    return refuse({http::status::service_unavailable, "no_quorum",
                   "no answer from the ledger in time", retry_after_seconds, true});
}

operator_service::response_awaitable operator_service::get_catalogue(http::call& incoming)
{
    requests_.add();
    const auto text = query_value(incoming, "version");
    const auto version = text.empty() ? catalogue_version{} : parse_version(text);
    if (!version)
        co_return refuse(
            {http::status::bad_request, "bad_version", "'version' is not a whole number", 0, true});
    wire::query_request request{wire::get_catalogue{*version}, false};
    const auto response =
        co_await ledger_.ask(std::move(request), monotonic_now() + ledger_timeout);
    if (response.status != wire::query_status::found || response.documents.empty())
        co_return refuse_query(response.status == wire::query_status::found
                                   ? wire::query_status::not_found
                                   : response.status,
                               "this version of the catalogue");
    const auto& stored = response.documents.front();
    auto reply = http::make_response(http::status::ok, stored.document, "application/yaml");
    reply.set(http::field::etag, "\"" + std::to_string(stored.version.value()) + "\"");
    reply.set("Galenaturn-Digest", stored.digest);
    reply.set("Galenaturn-Author", stored.author);
    co_return reply;
}

operator_service::response_awaitable operator_service::put_catalogue(http::call& incoming)
{
    requests_.add();
    if (!shared_.accepting)
        co_return refuse({http::status::service_unavailable, "leaving",
                          "this entry is stopping; use another", retry_after_seconds, true});
    const auto expected = parse_version(header(incoming, "If-Match"));
    if (!expected)
        co_return refuse({http::status::precondition_required, "version_required",
                          "name the version that you read in If-Match; \"0\" for the first", 0,
                          true});
    wire::write_catalogue write{
        *expected, incoming.message.body(), {}, header(incoming, "Galenaturn-Author")};
    findings found;
    parse_catalogue(write.document, "catalogue", found);
    if (!found.empty()) {
        refusals_["invalid_catalogue"]->add();
        co_return make_findings_problem("invalid_catalogue", found);
    }
    write.digest = wire::content_digest(write.document);
    wire::command_request request{id_of(incoming), std::move(write)};
    const auto response =
        co_await ledger_.submit(std::move(request), monotonic_now() + ledger_timeout);
    switch (response.status) {
    case wire::command_status::accepted:
    case wire::command_status::duplicate:
        co_return make_json(http::status::ok, outcome_json(response));
    case wire::command_status::conflict:
        refusals_["version_conflict"]->add();
        co_return make_conflict_problem(response);
    case wire::command_status::rejected:
        co_return refuse(
            {http::status::unprocessable_entity, "ledger_refused", response.reason, 0, true});
    default:
        co_return refuse_unconfirmed(response);
    }
}

operator_service::response_awaitable operator_service::get_history(http::call& incoming)
{
    requests_.add();
    wire::query_request request{wire::list_catalogue_history{limit_of(incoming)}, false};
    const auto response =
        co_await ledger_.ask(std::move(request), monotonic_now() + ledger_timeout);
    if (response.status == wire::query_status::unavailable ||
        response.status == wire::query_status::not_leader)
        co_return refuse_query(response.status, "the history");
    co_return make_json(http::status::ok, history_json(response.documents));
}

operator_service::response_awaitable operator_service::get_ledger(http::call& /*incoming*/)
{
    requests_.add();
    wire::query_request request{wire::get_ledger_status{}, false};
    const auto response =
        co_await ledger_.ask(std::move(request), monotonic_now() + ledger_timeout);
    if (response.status != wire::query_status::found || !response.ledger)
        co_return refuse_query(wire::query_status::unavailable, "the ledger");
    co_return make_json(http::status::ok, ledger_json(*response.ledger));
}

operator_service::response_awaitable operator_service::change_voters(http::call& incoming)
{
    requests_.add();
    findings found;
    const auto change = parse_voter_change(incoming.message.body(), found);
    if (!found.empty()) {
        refusals_["invalid_voter_change"]->add();
        co_return make_findings_problem("invalid_voter_change", found);
    }
    const auto response = co_await ledger_.change_voters(change, monotonic_now() + ledger_timeout);
    if (response.status == wire::command_status::accepted)
        co_return make_json(http::status::ok, outcome_json(response));
    if (response.status == wire::command_status::rejected)
        co_return refuse({http::status::conflict, "ledger_refused", response.reason, 0, true});
    co_return refuse_unconfirmed(response);
}

operator_service::response_awaitable operator_service::put_task(http::call& incoming)
{
    requests_.add();
    if (!shared_.accepting)
        co_return refuse({http::status::service_unavailable, "leaving",
                          "this entry is stopping; use another", retry_after_seconds, true});
    const task_id id{incoming.parameters["id"]};
    if (!valid_task_id(id.value()))
        co_return refuse({http::status::bad_request, "invalid_task_id",
                          "use 1 to 128 letters, digits, '-', '_', '.' or ':'", 0, true});
    findings found;
    const auto parsed = parse_start(id, incoming.message.body(), wall_now(), found);
    if (!found.empty()) {
        refusals_["invalid_task"]->add();
        co_return make_findings_problem("invalid_task", found);
    }
    wire::command_request request{id_of(incoming), parsed.start};
    const auto response =
        co_await ledger_.submit(std::move(request), monotonic_now() + ledger_timeout);
    if (response.status == wire::command_status::unavailable ||
        response.status == wire::command_status::unknown)
        co_return refuse_unconfirmed(response);
    auto query = task_query(id);
    const auto existing = co_await ledger_.ask(std::move(query), monotonic_now() + ledger_timeout);
    co_return reply_to_start(parsed, response, existing);
}

http::response operator_service::reply_to_start(const start_request& request,
                                                const wire::command_response& response,
                                                const wire::query_response& existing)
{
    const auto& id = request.start.id;
    if (response.status == wire::command_status::accepted)
        return reply_with_task(existing, id, http::status::created);
    if (response.status == wire::command_status::duplicate)
        return reply_with_task(existing, id, http::status::ok);
    if (existing.status != wire::query_status::found || existing.tasks.empty())
        return refuse(
            {http::status::unprocessable_entity, "ledger_refused", response.reason, 0, true});
    if (is_resend(request, existing.tasks.front()))
        return reply_with_task(existing, id, http::status::ok);
    return refuse({http::status::conflict, "task_conflict",
                   "this id belongs to a task with another job, deadline or demand", 0, true});
}

http::response operator_service::reply_with_task(const wire::query_response& response,
                                                 const task_id& id, http::status code)
{
    if (response.status != wire::query_status::found)
        return refuse_query(response.status, "task '" + id.value() + "'");
    if (response.tasks.empty())
        return refuse_query(wire::query_status::not_found, "task '" + id.value() + "'");
    return make_json(code, task_json(response.tasks.front()));
}

operator_service::response_awaitable operator_service::get_task(http::call& incoming)
{
    requests_.add();
    const task_id id{incoming.parameters["id"]};
    auto query = task_query(id);
    const auto response = co_await ledger_.ask(std::move(query), monotonic_now() + ledger_timeout);
    co_return reply_with_task(response, id, http::status::ok);
}

operator_service::response_awaitable operator_service::list_tasks(http::call& incoming)
{
    requests_.add();
    const wire::list_tasks list{owner_id{query_value(incoming, "owner")}, limit_of(incoming)};
    wire::query_request request{list, false};
    const auto response =
        co_await ledger_.ask(std::move(request), monotonic_now() + ledger_timeout);
    if (response.status == wire::query_status::unavailable ||
        response.status == wire::query_status::not_leader)
        co_return refuse_query(response.status, "the list");
    co_return make_json(http::status::ok, tasks_json(response.tasks));
}

operator_service::response_awaitable operator_service::end_task(http::call& incoming, bool stop)
{
    requests_.add();
    const task_id id{incoming.parameters["id"]};
    wire::command_request request{id_of(incoming), wire::cancel_task{id}};
    if (stop)
        request.body = wire::stop_task{id};
    const auto response =
        co_await ledger_.submit(std::move(request), monotonic_now() + ledger_timeout);
    if (response.status == wire::command_status::unavailable ||
        response.status == wire::command_status::unknown)
        co_return refuse_unconfirmed(response);
    auto query = task_query(id);
    const auto existing = co_await ledger_.ask(std::move(query), monotonic_now() + ledger_timeout);
    const bool done = response.status == wire::command_status::accepted ||
                      response.status == wire::command_status::duplicate;
    if (done || existing.status == wire::query_status::not_found)
        co_return reply_with_task(existing, id, http::status::ok);
    co_return refuse({http::status::conflict, "ledger_refused", response.reason, 0, true});
}

} // namespace galenaturn::entryd
