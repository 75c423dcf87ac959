#include "routereasons.h"

namespace galenaturn::route {

const std::array<refusal_details, refusal_reason_count>& all_refusals()
{
    using enum refusal_reason;
    static const std::array<refusal_details, refusal_reason_count> table{{
        {leaving, "leaving", 503, true, true, "this entry is stopping"},
        {no_catalogue, "no_catalogue", 503, true, true, "this entry has no catalogue yet"},
        {unknown_service, "unknown_service", 404, true, false, "the catalogue has no such service"},
        {owner_missing, "owner_missing", 400, true, false,
         "the header Galenaturn-Owner is missing"},
        {unknown_owner, "unknown_owner", 403, true, false, "the catalogue has no such owner"},
        {bad_timeout, "bad_timeout", 400, true, false,
         "Galenaturn-Timeout is no positive span such as 250ms or 2s"},
        {bad_key, "bad_key", 400, true, false, "Idempotency-Key is empty or too long"},
        {owner_rate, "owner_rate", 429, true, true, "the owner's rate is used up"},
        {owner_concurrency, "owner_concurrency", 429, true, true,
         "the owner has as many requests in progress and waiting as it may"},
        {service_concurrency, "service_concurrency", 429, true, true,
         "the service has as many requests in progress and waiting as it may"},
        {queue_full, "queue_full", 503, true, true, "the queue for this service is full"},
        {deadline_unreachable, "deadline_unreachable", 503, true, true,
         "the request cannot be answered by its deadline"},
        {deadline_passed, "deadline_passed", 503, true, true,
         "no slot became free in time for the deadline"},
        {shed, "shed", 503, true, true, "requests of this class are shed under the present load"},
        {no_upstream, "no_upstream", 503, true, true, "no upstream of this service can be reached"},
        {caller_gone, "caller_gone", 499, false, false, "the caller closed its connection"},
        {ledger_unavailable, "ledger_unavailable", 503, true, true,
         "the key could not be reserved: no quorum can be reached"},
        {key_mismatch, "key_mismatch", 422, true, false,
         "the key was used before for another request"},
        {key_limit, "key_limit", 429, true, true, "too many keys are held for this owner"},
        {outcome_unknown, "outcome_unknown", 409, false, false,
         "a request with this key was sent and its outcome is not known"},
        {upstream_unreachable, "upstream_unreachable", 502, true, true,
         "no connection to an upstream could be made"},
        {upstream_refused, "upstream_refused", 503, true, true,
         "the upstream refused the request without running it"},
        {upstream_failed, "upstream_failed", 502, false, false,
         "the connection to the upstream broke after the request was sent"},
        {upstream_timeout, "upstream_timeout", 504, false, false,
         "the upstream did not answer by the deadline"},
        {answer_cut, "answer_cut", 502, false, false, "the upstream's answer ended early"},
        {answer_malformed, "answer_malformed", 502, false, false,
         "the upstream's answer cannot be read"},
        {answer_mismatched, "answer_mismatched", 502, false, false,
         "the upstream answered another request"},
        {answer_too_large, "answer_too_large", 502, false, false,
         "the upstream's answer is larger than the body limit"},
    }};
    return table;
}

const refusal_details& describe(refusal_reason reason)
{
    return all_refusals().at(static_cast<std::size_t>(reason));
}

std::string_view to_string(retry_reason reason)
{
    static constexpr std::array<std::string_view, retry_reason_count> names{
        "connect_failed", "not_run", "connection_lost", "timed_out", "answer_cut", "server_error"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(retry_denial denial)
{
    static constexpr std::array<std::string_view, retry_denial_count> names{
        "budget", "deadline", "attempts", "no_other_upstream"};
    return names.at(static_cast<std::size_t>(denial));
}

} // namespace galenaturn::route
