#pragma once

#include "attempt.h"

#include <galenaturn/messages.h>

#include <optional>

namespace galenaturn::route {

/**
 * Action after the ledger's response to the reservation of an idempotency key. The ledger is the
 * replicated log and its state machine.
 */
enum class reservation_action : std::uint8_t {
    /** This request holds the key: it may be sent to one upstream. */
    send,
    /** The response to the first request with this key is recorded and is sent again. */
    replay,
    refuse,
};

struct reservation_decision {
    reservation_action action{reservation_action::refuse};
    refusal_reason refused{refusal_reason::ledger_unavailable};
    /** Whether the key is to be released: it may have been reserved for this unsent request. */
    bool release{false};
};

/** Returns the action after the ledger's `response` to a reservation. */
reservation_decision decide_reservation(const wire::command_response& response);

/** What the ledger records when a request with an idempotency key has ended. */
enum class key_completion : std::uint8_t {
    /** The response is recorded, so that a resent request gets it. */
    record,
    /** The request did not run: the key is released. */
    release,
    /** The request may have run: the key stays reserved; resent requests get outcome_unknown. */
    leave,
};

/**
 * Returns what the ledger is to record after the last attempt. `may_have_run` is true where an
 * upstream may have started the request.
 */
key_completion decide_completion(attempt_outcome last, bool may_have_run);

} // namespace galenaturn::route
