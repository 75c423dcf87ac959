#pragma once

#include "fairqueue.h"
#include "routereasons.h"

#include <galenaturn/core.h>

#include <unordered_map>

namespace galenaturn::route {

/** Limits of one owner at this entry: its share of the cluster-wide limits. */
struct owner_limits {
    double weight{1};
    /** Requests per second. */
    double rate{0};
    std::int64_t concurrency{0};
};

/** Limits of one service at this entry. */
struct service_limits {
    work_class shed_class{work_class::interactive};
    std::int64_t concurrency{0};
    /** Maximum number of waiting requests. */
    std::int64_t queue{0};
    /** Estimate of the response time until the first response has been measured. */
    duration expected_time{};
};

/** Requests and rate limit of one owner over all services. */
struct owner_state {
    owner_limits limits;
    std::int64_t running{0};
    std::int64_t waiting{0};
    /** Token bucket of the rate limit: requests that could start at `last_refill`. */
    double tokens{0};
    time_point last_refill;
};

/** Limits, queue and measured response time of one service. */
struct service_state {
    service_limits limits;
    fair_queue queue;
    /** Slots that requests of this entry can use; 0 where their number is unknown. */
    std::int64_t slots{0};
    /** Moving average of the response time. */
    double mean_time_us{0};
};

/** Admission state of one entry. */
struct admission_state {
    std::vector<owner_state> owners;
    std::vector<service_state> services;
    /** Requests in progress or waiting over all services, and their maximum number. */
    std::int64_t admitted{0};
    std::int64_t max_admitted{0};
    ticket_number last_ticket;
};

/** A request to be admitted. Owner and service are indices into `admission_state`. */
struct admission_request {
    std::uint32_t owner{0};
    std::uint32_t service{0};
    time_point deadline;
};

/** Result of an admission: the ticket of the queued request, or the reason for its refusal. */
struct admission_decision {
    std::optional<refusal_reason> refused;
    ticket_number ticket;
    /** Latest start at which the request is still expected to meet its deadline. */
    time_point latest_start;
    /** After a refusal: time after which the same request may be admitted. */
    duration retry_after{};
    /** Waiting request that was evicted from the full queue; it is to be refused at once. */
    std::optional<ticket_number> evicted_ticket;
};

/** A request that `start_next` took off the queue. */
struct admission_start {
    std::uint32_t owner{0};
    waiting_request request;
};

/**
 * Returns the refusal that `submit_request` would return now, or nothing where it would admit the
 * request. Queues nothing.
 */
std::optional<admission_decision> check_request(admission_state& state,
                                                const admission_request& request, time_point now);

/** Adds a request to its owner's queue, or refuses it. */
admission_decision submit_request(admission_state& state, const admission_request& request,
                                  time_point now);

/** Returns whether the service is below its concurrency limit. */
bool can_start(const admission_state& state, std::uint32_t service);

/**
 * Starts the next request of the service. Returns nothing where no request waits or the
 * concurrency limits of the service or the owners are reached. The caller provides the slot.
 */
std::optional<admission_start> start_next(admission_state& state, std::uint32_t service);

/** Ends a started request. `took` is the response time; nothing where there was no response. */
void finish_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    std::optional<duration> took);

/** Removes a waiting request from the queue. Returns whether it was still waiting. */
bool cancel_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    ticket_number ticket);

/** Returns the estimated time that a new request with this deadline waits for a slot. */
duration expected_wait(const service_state& service, std::uint32_t owner, time_point deadline);

} // namespace galenaturn::route
