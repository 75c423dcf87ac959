#pragma once

#include <galenaturn/http.h>
#include <galenaturn/route.h>

#include <optional>
#include <string>

namespace galenaturn::entryd {

/** Header that names the owner whose limits apply to the request. */
constexpr const char* owner_header = "Galenaturn-Owner";
/** Header with the caller's timeout for the request, such as 250ms. */
constexpr const char* timeout_header = "Galenaturn-Timeout";
constexpr const char* key_header = "Idempotency-Key";
/** Header with the request's id, sent to the upstream and returned in the response. */
constexpr const char* request_id_header = "Galenaturn-Request-Id";
/** Response header that names the upstream that sent the response. */
constexpr const char* upstream_header = "Galenaturn-Upstream";
/** Response header of an upstream that refused a request without running it. */
constexpr const char* not_run_header = "Galenaturn-Not-Run";
/** Response header that marks a response recorded for an earlier request with the same key. */
constexpr const char* replayed_header = "Galenaturn-Replayed";
/** Maximum length of an idempotency key. */
constexpr std::size_t max_key_bytes = 255;

/** A request after parsing and validation. */
struct parsed_request {
    owner_id owner;
    service_id service;
    time_point arrived;
    time_point deadline;
    std::optional<idempotency_key> key;
    /** Whether the request may be sent again after an upstream may have started it. */
    bool idempotent{false};
    /** Path and query for the upstream, as the caller encoded them. */
    std::string target;
};

/** A parsed request, or the reason why it is refused. */
struct parse_outcome {
    parsed_request request;
    std::optional<route::refusal_reason> refused;
};

parse_outcome parse_request(const http::call& incoming, const catalogue& entries);

/** Returns the caller's message as sent to the upstream, without hop-by-hop headers. */
http::request make_upstream_request(const http::request& incoming, const parsed_request& request,
                                    const std::string& id);

/** Removes hop-by-hop headers, which apply to one connection only. */
void remove_hop_headers(boost::beast::http::fields& headers);

/** Returns a digest of method, target and body, for the comparison of keyed requests. */
std::string digest_of(const http::request& incoming, const parsed_request& request);

} // namespace galenaturn::entryd
