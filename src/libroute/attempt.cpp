#include "attempt.h"

namespace galenaturn::route {

std::optional<retry_reason> safe_retry(attempt_outcome outcome, bool idempotent)
{
    switch (outcome) {
    case attempt_outcome::connect_failed:
        return retry_reason::connect_failed;
    case attempt_outcome::not_run:
        return retry_reason::not_run;
    default:
        break;
    }
    if (!idempotent)
        return {};
    switch (outcome) {
    case attempt_outcome::connection_lost:
        return retry_reason::connection_lost;
    case attempt_outcome::timed_out:
        return retry_reason::timed_out;
    case attempt_outcome::answer_cut:
    case attempt_outcome::answer_malformed:
    case attempt_outcome::answer_mismatched:
        return retry_reason::answer_cut;
    case attempt_outcome::server_error:
        return retry_reason::server_error;
    default:
        return {};
    }
}

refusal_reason refusal_of(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::not_run:
        return refusal_reason::upstream_refused;
    case attempt_outcome::connect_failed:
        return refusal_reason::upstream_unreachable;
    case attempt_outcome::timed_out:
        return refusal_reason::upstream_timeout;
    case attempt_outcome::answer_cut:
        return refusal_reason::answer_cut;
    case attempt_outcome::answer_malformed:
        return refusal_reason::answer_malformed;
    case attempt_outcome::answer_mismatched:
        return refusal_reason::answer_mismatched;
    case attempt_outcome::answer_too_large:
        return refusal_reason::answer_too_large;
    case attempt_outcome::cancelled:
        return refusal_reason::caller_gone;
    default:
        return refusal_reason::upstream_failed;
    }
}

} // namespace galenaturn::route
