#pragma once

#include "fairqueue.h"
#include "routereasons.h"

#include <galenaturn/core.h>

#include <unordered_map>

namespace galenaturn::route {

/** What one owner may use at this entry: its share of the cluster-wide limits. */
struct owner_limits {
    double weight{1};
    /** Requests a second. */
    double rate{0};
    std::int64_t concurrency{0};
};

/** What one service may use at this entry. */
struct service_limits {
    work_class shed_class{work_class::interactive};
    std::int64_t concurrency{0};
    std::int64_t queue{0};
    /** Taken as the time of one request until answers have been measured. */
    duration expected_time{};
};

/** One owner as admission sees it. */
struct owner_state {
    owner_limits limits;
    std::int64_t running{0};
    std::int64_t waiting{0};
    /** Requests that the rate still allows, as of `filled`. */
    double tokens{0};
    time_point filled;
};

/** One service as admission sees it. */
struct service_state {
    service_limits limits;
    fair_queue queue;
    /** Slots that requests from this entry can count on; 0 where that is not known. */
    std::int64_t slots{0};
    /** Moving mean of the time of one request. */
    double mean_time_us{0};
};

/** All of admission's state at one entry. */
struct admission_state {
    std::vector<owner_state> owners;
    std::vector<service_state> services;
    /** Requests in progress or waiting over all services, and the most there may be. */
    std::int64_t held{0};
    std::int64_t held_limit{0};
    ticket_number last_ticket;
};

/** One request that asks for admission. Owner and service are numbers in the state. */
struct admission_request {
    std::uint32_t owner{0};
    std::uint32_t service{0};
    time_point deadline;
};

/** The outcome: a ticket for a waiting request, or the reason why it is refused. */
struct admission_decision {
    std::optional<refusal_reason> refused;
    ticket_number ticket;
    time_point latest_start;
    /** After a refusal: when the same request may succeed. */
    duration retry_after{};
    /** A waiting request that had to make room; it gets its refusal at once. */
    std::optional<ticket_number> pushed_out;
};

/** A request that may start, its slot provided. */
struct admission_start {
    std::uint32_t owner{0};
    waiting_request request;
};

/** Returns the refusal that `submit_request` would return now, or nothing. Queues nothing. */
std::optional<admission_decision> check_request(admission_state& state,
                                                const admission_request& request, time_point now);

/** Puts a request into its owner's queue, or refuses it. */
admission_decision submit_request(admission_state& state, const admission_request& request,
                                  time_point now);

/** Returns whether a request of the service could start if it had a slot. */
bool can_start(const admission_state& state, std::uint32_t service);

/** Starts the next request of the service. Nothing where limits leave no room. */
std::optional<admission_start> start_next(admission_state& state, std::uint32_t service);

/** Counts a started request as ended. `took` is its time; nothing where it got no answer. */
void finish_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    std::optional<duration> took);

/** Takes a waiting request off the queue. Returns whether it was still waiting. */
bool cancel_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    ticket_number ticket);

/** Returns how long a request with this deadline is likely to wait for a slot. */
duration expected_wait(const service_state& service, std::uint32_t owner, time_point deadline);

} // namespace galenaturn::route
