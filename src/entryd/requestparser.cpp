#include "requestparser.h"

#include <boost/beast/http/rfc7230.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace galenaturn::entryd {

namespace {

/** Number of path segments before the upstream's own path: v1, services, service name. */
constexpr int route_segments = 3;

/** Returns an encoded target without its first three path segments, at least "/". */
std::string upstream_target(std::string_view target)
{
    const auto query = target.find('?');
    const auto path = target.substr(0, query);
    std::size_t position = 0;
    for (int segment = 0; segment < route_segments; ++segment) {
        position = path.find_first_not_of('/', position);
        position = path.find('/', position);
        if (position == std::string_view::npos)
            break;
    }
    std::string rest =
        position == std::string_view::npos ? "/" : std::string{path.substr(position)};
    if (query != std::string_view::npos)
        rest += target.substr(query);
    return rest;
}

bool is_idempotent(http::verb method)
{
    static constexpr std::array methods{http::verb::get,     http::verb::head,
                                        http::verb::put,     http::verb::delete_,
                                        http::verb::options, http::verb::trace};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

/** Returns the caller's timeout, limited to the service's, or nothing if it is malformed. */
std::optional<duration> timeout_of(const http::request& message, const service_entry& service)
{
    const auto header = message.find(timeout_header);
    if (header == message.end())
        return service.timeout;
    const auto value = parse_duration({header->value().data(), header->value().size()});
    if (!value || *value <= duration::zero())
        return {};
    return std::min(*value, service.timeout);
}

/** Reads the key, if any, into `request`. Returns false if its length is invalid. */
bool read_key(const http::request& message, parsed_request& request)
{
    const auto header = message.find(key_header);
    if (header == message.end())
        return true;
    if (header->value().empty() || header->value().size() > max_key_bytes)
        return false;
    request.key = idempotency_key{std::string{header->value()}};
    return true;
}

} // namespace

parse_outcome parse_request(const http::call& incoming, const catalogue& entries)
{
    using enum route::refusal_reason;
    parse_outcome outcome;
    auto& request = outcome.request;
    request.arrived = incoming.arrived;
    request.service = service_id{incoming.parameters.at("service")};
    const auto service = entries.services.find(request.service);
    if (service == entries.services.end()) {
        outcome.refused = unknown_service;
        return outcome;
    }
    const auto owner = incoming.message.find(owner_header);
    if (owner == incoming.message.end()) {
        outcome.refused = owner_missing;
        return outcome;
    }
    request.owner = owner_id{std::string{owner->value()}};
    if (!entries.owners.contains(request.owner)) {
        outcome.refused = unknown_owner;
        return outcome;
    }
    const auto timeout = timeout_of(incoming.message, service->second);
    if (!timeout) {
        outcome.refused = bad_timeout;
        return outcome;
    }
    request.deadline = request.arrived + *timeout;
    if (!read_key(incoming.message, request)) {
        outcome.refused = bad_key;
        return outcome;
    }
    request.idempotent =
        !request.key && (service->second.idempotent || is_idempotent(incoming.message.method()));
    request.target =
        upstream_target({incoming.message.target().data(), incoming.message.target().size()});
    return outcome;
}

void remove_hop_headers(boost::beast::http::fields& headers)
{
    static constexpr std::array hop_headers{
        http::field::keep_alive,       http::field::proxy_connection, http::field::te,
        http::field::trailer,          http::field::upgrade,          http::field::expect,
        http::field::transfer_encoding};
    std::vector<std::string> named;
    for (const auto& token : boost::beast::http::token_list{headers[http::field::connection]})
        named.emplace_back(token);
    for (const auto& name : named)
        headers.erase(name);
    headers.erase(http::field::connection);
    for (const auto name : hop_headers)
        headers.erase(name);
}

http::request make_upstream_request(const http::request& incoming, const parsed_request& request,
                                    const std::string& id)
{
    http::request message = incoming;
    remove_hop_headers(message);
    message.target(request.target);
    message.version(11);
    message.set(request_id_header, id);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

std::string digest_of(const http::request& incoming, const parsed_request& request)
{
    std::string text{incoming.method_string()};
    text += '\n' + request.target + '\n' + incoming.body();
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::ostringstream out;
    out << std::hex << hash.high64 << '-' << hash.low64;
    return out.str();
}

} // namespace galenaturn::entryd
