#pragma once

#include "requestparser.h"

#include <galenaturn/daemon.h>
#include <galenaturn/route.h>

#include <functional>

namespace galenaturn::entryd {

/** How the request path reaches the ledger. */
struct key_ledger {
    std::function<request_id()> next_request_id;
    std::function<boost::asio::awaitable<wire::command_response>(wire::command_request, time_point)>
        submit;
};

/** Returns the ledger of `shared`, which outlives the result. */
key_ledger key_ledger_of(daemon::context& shared);

/** A key reserved in the ledger, or why it is not. */
struct key_reservation {
    route::key_decision decision;
    request_id id;
    /** For key_step::replay. */
    wire::recorded_answer recorded;
};

/** Reserves the key of `request` until its deadline at most. `digest` tells requests apart. */
boost::asio::awaitable<key_reservation> reserve_key(const key_ledger& ledger,
                                                    const parsed_request& request,
                                                    std::string digest, process_id self);

/** What the ledger is to be told of a keyed request that has ended. */
wire::complete_key make_completion(const parsed_request& request, const request_id& reservation,
                                   std::optional<wire::recorded_answer> answer);

/** Tells the ledger, trying again for a while. Runs on after the caller has its answer. */
boost::asio::awaitable<void> complete_key(key_ledger ledger, wire::complete_key body);

} // namespace galenaturn::entryd
