#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace galenaturn::route {

/** Why a request got no complete response from an upstream. Each reason has its own counter. */
enum class refusal_reason : std::uint8_t {
    leaving,
    no_catalogue,
    unknown_service,
    owner_missing,
    unknown_owner,
    bad_timeout,
    bad_key,
    owner_rate,
    owner_concurrency,
    service_concurrency,
    queue_full,
    deadline_unreachable,
    deadline_passed,
    shed,
    no_upstream,
    caller_gone,
    ledger_unavailable,
    key_mismatch,
    key_limit,
    outcome_unknown,
    upstream_unreachable,
    upstream_refused,
    upstream_failed,
    upstream_timeout,
    answer_cut,
    answer_malformed,
    answer_mismatched,
    answer_too_large,
};

/** Why a request was retried at another upstream. Each reason has its own counter. */
enum class retry_reason : std::uint8_t {
    connect_failed,
    not_run,
    connection_lost,
    timed_out,
    answer_cut,
    server_error,
};

/** Why a safe retry was not made. Each reason has its own counter. */
enum class retry_denial : std::uint8_t { budget, deadline, attempts, no_other_upstream };

/** Contents of the response to a refused request. */
struct refusal_details {
    refusal_reason reason{};
    std::string_view name;
    std::uint16_t http_status{500};
    /** Whether the reason implies that no upstream ran the request. */
    bool not_run{false};
    /** Whether the caller may try the same request again later. */
    bool retryable{false};
    std::string_view text;
};

constexpr std::size_t refusal_reason_count = 28;
constexpr std::size_t retry_reason_count = 6;
constexpr std::size_t retry_denial_count = 4;

/** Returns the details of every reason, in the order of the enumerators. */
const std::array<refusal_details, refusal_reason_count>& all_refusals();
const refusal_details& describe(refusal_reason reason);
std::string_view to_string(retry_reason reason);
std::string_view to_string(retry_denial denial);

} // namespace galenaturn::route
