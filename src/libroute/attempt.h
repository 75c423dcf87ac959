#pragma once

#include "routereasons.h"

#include <galenaturn/core.h>

#include <optional>

namespace galenaturn::route {

/** How one attempt at one upstream ended. */
enum class attempt_outcome : std::uint8_t {
    /** A whole answer. */
    answered,
    /** A whole answer with status 500, 502, 503 or 504. */
    server_error,
    /** A refusal that says that the request was not run. */
    not_run,
    connect_failed,
    /** The connection broke after the request may have been sent, before any answer. */
    connection_lost,
    timed_out,
    answer_cut,
    answer_malformed,
    answer_mismatched,
    answer_too_large,
    /** We ended it ourselves: the caller has gone. Says nothing about the upstream. */
    cancelled,
};

/** Returns whether it is certain that the upstream did not start the request. */
constexpr bool certainly_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_run || outcome == attempt_outcome::connect_failed;
}

/** Returns whether the outcome speaks against the upstream's health. */
constexpr bool counts_as_failure(attempt_outcome outcome)
{
    return outcome != attempt_outcome::answered && outcome != attempt_outcome::not_run &&
           outcome != attempt_outcome::cancelled;
}

/**
 * Returns why the request may be sent to another upstream, or nothing where it may not. Only an
 * idempotent request may be repeated after an upstream may have started it.
 */
std::optional<retry_reason> safe_retry(attempt_outcome outcome, bool idempotent);

/** Returns the refusal for a request whose last attempt ended without a whole answer. */
refusal_reason refusal_of(attempt_outcome outcome);

} // namespace galenaturn::route
