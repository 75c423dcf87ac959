#pragma once

#include "routereasons.h"

#include <galenaturn/core.h>

#include <optional>

namespace galenaturn::route {

/** Outcome of sending a request to one upstream. */
enum class attempt_outcome : std::uint8_t {
    /** The complete response was received. */
    answered,
    /** The complete response was received and has the status 500, 502, 503 or 504. */
    server_error,
    /** The upstream refused the request and reported that it did not run it. */
    not_run,
    connect_failed,
    /** The connection broke before any response; the request may have been sent. */
    connection_lost,
    timed_out,
    /** The response ended early. */
    answer_cut,
    answer_malformed,
    /** The response belongs to another request. */
    answer_mismatched,
    answer_too_large,
    /** Cancelled by this entry, as when the caller disconnected. Does not affect the health. */
    cancelled,
};

/** Returns whether it is certain that the upstream did not start the request. */
constexpr bool certainly_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_run || outcome == attempt_outcome::connect_failed;
}

/** Returns whether the outcome counts as a failure of the upstream. */
constexpr bool counts_as_failure(attempt_outcome outcome)
{
    return outcome != attempt_outcome::answered && outcome != attempt_outcome::not_run &&
           outcome != attempt_outcome::cancelled;
}

/**
 * Returns the reason for which the request may be sent to another upstream, or nothing where it
 * must not be. Once an upstream may have started it, only an idempotent request is retried.
 */
std::optional<retry_reason> safe_retry(attempt_outcome outcome, bool idempotent);

/** Returns the refusal of a request whose last attempt ended without a complete response. */
refusal_reason refusal_of(attempt_outcome outcome);

} // namespace galenaturn::route
