#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace galenaturn::route {

/** Identifies one admitted request, waiting or started, at one entry. */
using ticket_number = strong_number<struct ticket_tag>;

/** A request that waits for a slot. */
struct waiting_request {
    ticket_number ticket;
    time_point deadline;
    /** Latest start at which the request is still expected to meet its deadline. */
    time_point latest_start;
};

/** The requests of one owner for one service. */
struct owner_flow {
    double weight{1};
    std::int64_t running{0};
    /** Start tag: virtual time at which the next request of this owner may start. */
    double next_start{0};
    /** Moving average of the response time of this owner's requests. */
    double mean_time_us{0};
    /** Sorted by descending deadline, so that the earliest is removed at the back. */
    std::vector<waiting_request> waiting;
};

/**
 * The requests of one service at one entry, by owner, under start-time fair queueing. Each start
 * advances the start tag of its owner by the expected cost of the request, divided by the owner's
 * weight; the owner with the smallest start tag is next. Over time this gives weighted max-min
 * fairness. It leaves no slot idle, and an owner that used less than its share catches up by a
 * short burst.
 */
struct fair_queue {
    /** Indexed by owner. */
    std::vector<owner_flow> flows;
    /** Indices of the owners with waiting requests, in no particular order. */
    std::vector<std::uint32_t> active;
    std::int64_t waiting{0};
    std::int64_t running{0};
    /** Largest start tag of the requests that were started. */
    double virtual_time{0};
};

/** Returns the flow of an owner, creating it where it is missing. */
owner_flow& flow_of(fair_queue& queue, std::uint32_t owner);

/** Adds a waiting request, sorted by deadline. */
void push_waiting(fair_queue& queue, std::uint32_t owner, const waiting_request& request);

/** Removes a waiting request. Returns whether it was there. */
bool remove_waiting(fair_queue& queue, std::uint32_t owner, ticket_number ticket);

/** Returns the sum of the weights of the owners with waiting requests. */
double active_weight(const fair_queue& queue);

/**
 * Returns the owner whose earliest request is to start next, or nothing. `may_start(owner)` returns
 * whether the owner is below its own limits.
 */
template <class MayStart>
std::optional<std::uint32_t> next_owner(const fair_queue& queue, MayStart may_start)
{
    std::optional<std::uint32_t> best;
    for (const auto owner : queue.active) {
        if (!may_start(owner))
            continue;
        if (!best) {
            best = owner;
            continue;
        }
        const auto& flow = queue.flows[owner];
        const auto& current = queue.flows[*best];
        const bool earlier = flow.waiting.back().deadline < current.waiting.back().deadline;
        if (flow.next_start < current.next_start ||
            (flow.next_start == current.next_start && earlier))
            best = owner;
    }
    return best;
}

/**
 * Removes the waiting request of `owner` with the earliest deadline and counts it as running.
 * `mean_time_us` is the mean response time of the service.
 */
waiting_request start_waiting(fair_queue& queue, std::uint32_t owner, double mean_time_us);

/** Adds a response time to the moving average of the owner. */
void record_response_time(fair_queue& queue, std::uint32_t owner, duration took);

/** Removes one running request of `owner` from the counts. */
void finish_running(fair_queue& queue, std::uint32_t owner);

/**
 * Returns the owner from whose waiting requests one is to be evicted in favour of a new request of
 * `owner`: the one with the most waiting requests per weight. Returns nothing where no other owner
 * has more of them per weight than `owner` would have with the new request.
 */
std::optional<std::uint32_t> owner_to_evict_from(const fair_queue& queue, std::uint32_t owner,
                                                 double weight);

/** Removes and returns the request of `owner` with the latest deadline. */
waiting_request evict_latest(fair_queue& queue, std::uint32_t owner);

} // namespace galenaturn::route
