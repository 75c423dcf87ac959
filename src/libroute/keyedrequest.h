#pragma once

#include "attempt.h"

#include <galenaturn/messages.h>

#include <optional>

namespace galenaturn::route {

/** What follows from the ledger's answer to the reservation of a key. */
enum class key_step : std::uint8_t {
    /** The key is ours: the request may be sent to one upstream. */
    send,
    /** The first request's answer is known and is the answer to this one. */
    replay,
    refuse,
};

struct key_decision {
    key_step step{key_step::refuse};
    refusal_reason refused{refusal_reason::ledger_unavailable};
    /** Whether a reservation may stand in the ledger though the request is not sent. */
    bool release{false};
};

/** Returns what to do after `response` to a reservation. */
key_decision decide_reservation(const wire::command_response& response);

/** What the ledger is told when a keyed request has ended. */
enum class key_completion : std::uint8_t {
    /** The answer is recorded for resends. */
    record,
    /** The request did not run, and the key is free again. */
    release,
    /** The request may have run: resends get outcome_unknown. */
    leave,
};

/** Returns what to tell the ledger. `maybe_run`: some upstream may have started the request. */
key_completion decide_completion(attempt_outcome last, bool maybe_run);

} // namespace galenaturn::route
