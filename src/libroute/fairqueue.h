#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace galenaturn::route {

/** Names one admitted or waiting request at one entry. */
using ticket_number = strong_number<struct ticket_tag>;

/** A request that waits for a slot. */
struct waiting_request {
    ticket_number ticket;
    time_point deadline;
    /** A start after this point would not be answered in time. */
    time_point latest_start;
};

/** The requests of one owner for one service. */
struct owner_flow {
    double weight{1};
    std::int64_t running{0};
    /** Virtual time at which the next request of this owner is due. */
    double due{0};
    /** Moving mean of the time of this owner's requests. */
    double mean_time_us{0};
    /** Ordered by deadline, the earliest last, so that it is taken off at the end. */
    std::vector<waiting_request> waiting;
};

/**
 * The requests of one service at one entry, by owner, under start-time fair queueing: each start
 * moves its owner's due time on by the request's expected share of slot time over the owner's
 * weight, and the owner with the earliest due time goes next. That is weighted max-min over time,
 * leaves no slot idle, and lets an owner that used less than its share catch up by a short burst.
 */
struct fair_queue {
    /** Indexed by the owner's number. */
    std::vector<owner_flow> flows;
    /** Numbers of the owners with waiting requests, in no order. */
    std::vector<std::uint32_t> active;
    std::int64_t waiting{0};
    std::int64_t running{0};
    /** Due time of the request that was started last. */
    double virtual_time{0};
};

/** Returns the flow of an owner, made where it is missing. */
owner_flow& flow_of(fair_queue& queue, std::uint32_t owner);

/** Adds a waiting request in the order of deadlines. */
void push_waiting(fair_queue& queue, std::uint32_t owner, const waiting_request& request);

/** Removes a waiting request. Returns whether it was there. */
bool remove_waiting(fair_queue& queue, std::uint32_t owner, ticket_number ticket);

/** Returns the sum of the weights of the owners with waiting requests. */
double active_weight(const fair_queue& queue);

/**
 * Returns the owner whose earliest request is to start next, or nothing. `may_start` says of an
 * owner's number whether its own limits leave room.
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
        const auto& leader = queue.flows[*best];
        const bool earlier = flow.waiting.back().deadline < leader.waiting.back().deadline;
        if (flow.due < leader.due || (flow.due == leader.due && earlier))
            best = owner;
    }
    return best;
}

/**
 * Takes the earliest request of `owner` off the queue and counts it as running. `mean_time_us` is
 * that of the whole service.
 */
waiting_request start_waiting(fair_queue& queue, std::uint32_t owner, double mean_time_us);

/** Takes the time of one of the owner's answers into its mean. */
void record_time(fair_queue& queue, std::uint32_t owner, duration took);

/** Counts one running request of `owner` less. */
void finish_running(fair_queue& queue, std::uint32_t owner);

/**
 * Returns the owner that is to give up a place in a full queue to a request of `owner`: the one
 * that waits with the most requests for its weight, where that is more than `owner` would then
 * wait with. Nothing where `owner` has its part of the places.
 */
std::optional<std::uint32_t> owner_to_drop(const fair_queue& queue, std::uint32_t owner,
                                           double weight);

/** Removes and returns the request of `owner` with the latest deadline. */
waiting_request drop_latest(fair_queue& queue, std::uint32_t owner);

} // namespace galenaturn::route
