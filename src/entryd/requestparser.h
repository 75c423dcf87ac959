#pragma once

#include <galenaturn/http.h>
#include <galenaturn/route.h>

#include <optional>
#include <string>

namespace galenaturn::entryd {

/** Header with the owner on whose limits a request counts. */
constexpr const char* owner_header = "Galenaturn-Owner";
/** Header with the time that the caller gives the request, such as 250ms. */
constexpr const char* timeout_header = "Galenaturn-Timeout";
constexpr const char* key_header = "Idempotency-Key";
/** Header that names the request towards the upstream and in the answer. */
constexpr const char* request_id_header = "Galenaturn-Request-Id";
/** Header of the answer that names the upstream which gave it. */
constexpr const char* upstream_header = "Galenaturn-Upstream";
/** Header of an upstream's refusal that says the request was not run. */
constexpr const char* not_run_header = "Galenaturn-Not-Run";
/** Header of an answer that was recorded for an earlier request with the same key. */
constexpr const char* replayed_header = "Galenaturn-Replayed";
/** Longest key that is taken. */
constexpr std::size_t longest_key = 255;

/** A request as the request path works on it. */
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

/** Returns the request, or the reason why it is refused. */
struct parse_outcome {
    parsed_request request;
    std::optional<route::refusal_reason> refused;
};

parse_outcome parse_request(const http::call& incoming, const catalogue& entries);

/** Makes the message for the upstream: the caller's, without headers that are for one hop. */
http::request make_upstream_request(const http::request& incoming, const parsed_request& request,
                                    const std::string& id);

/** Removes headers that are meant for one connection only. */
void remove_hop_headers(boost::beast::http::fields& headers);

/** Returns a digest of method, target and body, for the comparison of keyed requests. */
std::string digest_of(const http::request& incoming, const parsed_request& request);

} // namespace galenaturn::entryd
