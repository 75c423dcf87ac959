#pragma once

#include "requestparser.h"

#include <galenaturn/daemon.h>
#include <galenaturn/route.h>

#include <functional>

namespace galenaturn::entryd {

/** Access of the request path to the ledger; tests replace it. */
struct key_ledger {
    std::function<request_id()> next_request_id;
    std::function<boost::asio::awaitable<wire::command_response>(wire::command_request, time_point)>
        submit;
};

/** Returns access to the ledger through `shared`, which outlives the result. */
key_ledger key_ledger_of(daemon::context& shared);

/** Result of reserving an idempotency key in the ledger. */
struct key_reservation {
    route::reservation_decision decision;
    request_id id;
    /** For reservation_action::replay. */
    wire::recorded_response recorded;
};

/**
 * Reserves the key of `request`; waits until its deadline at most. `digest` reveals whether a key
 * is reused for another request.
 */
boost::asio::awaitable<key_reservation> reserve_key(const key_ledger& ledger,
                                                    const parsed_request& request,
                                                    std::string digest, process_id self);

/** Returns the command that completes a keyed request; frees the key if `recorded` is empty. */
wire::complete_key make_completion(const parsed_request& request, const request_id& reservation,
                                   std::optional<wire::recorded_response> recorded);

/** Submits the completion to the ledger. May end after the caller has received the response. */
boost::asio::awaitable<void> complete_key(key_ledger ledger, wire::complete_key body);

} // namespace galenaturn::entryd
