#include "keyedrequest.h"

namespace galenaturn::route {

namespace {

/** Reason in the ledger's response where the key was used for a different request. */
constexpr std::string_view key_mismatch_text = "the key was used for another request";

} // namespace

reservation_decision decide_reservation(const wire::command_response& response)
{
    using wire::command_status;
    switch (response.status) {
    case command_status::accepted:
        return {reservation_action::send, {}, false};
    case command_status::duplicate:
        if (response.answer)
            return {reservation_action::replay, {}, false};
        return {reservation_action::refuse, refusal_reason::outcome_unknown, false};
    case command_status::rejected:
        if (response.reason == key_mismatch_text)
            return {reservation_action::refuse, refusal_reason::key_mismatch, false};
        return {reservation_action::refuse, refusal_reason::key_limit, false};
    case command_status::unknown:
        return {reservation_action::refuse, refusal_reason::ledger_unavailable, true};
    default:
        return {reservation_action::refuse, refusal_reason::ledger_unavailable, false};
    }
}

key_completion decide_completion(attempt_outcome last, bool may_have_run)
{
    if (last == attempt_outcome::answered || last == attempt_outcome::server_error)
        return key_completion::record;
    return may_have_run ? key_completion::leave : key_completion::release;
}

} // namespace galenaturn::route
