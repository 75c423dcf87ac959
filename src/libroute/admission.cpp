#include "admission.h"

#include <algorithm>
#include <cmath>

namespace galenaturn::route {

namespace {

/** Capacity of the token bucket, in seconds of the rate: short bursts pass. */
constexpr double burst_seconds = 1.0;
/**
 * Load, as a fraction of `max_admitted`, at which requests of the class are shed. Interactive
 * requests are shed only at `max_admitted` itself.
 */
constexpr double watcher_load_limit = 0.6;
constexpr double batch_load_limit = 0.8;
/** Weight of a new sample in the moving average of response times. */
constexpr double mean_smoothing_factor = 0.05;
/** Estimated minimum response time, as a fraction of the mean. */
constexpr double min_time_fraction = 0.5;
/** Requests per second; keeps `retry_after` finite for an owner whose rate is 0. */
constexpr double min_rate = 0.001;
constexpr duration min_retry_after = std::chrono::milliseconds{100};

duration microseconds(double value)
{
    return duration{static_cast<duration::rep>(value)};
}

void refill(owner_state& owner, time_point now)
{
    const double bucket_size = std::max(1.0, owner.limits.rate * burst_seconds);
    if (owner.last_refill == time_point{})
        owner.tokens = bucket_size;
    else
        owner.tokens +=
            std::chrono::duration<double>(now - owner.last_refill).count() * owner.limits.rate;
    owner.tokens = std::min(owner.tokens, bucket_size);
    owner.last_refill = now;
}

admission_decision refuse(refusal_reason reason, duration retry_after)
{
    admission_decision decision;
    decision.refused = reason;
    decision.retry_after = std::max(retry_after, min_retry_after);
    return decision;
}

double class_load_limit(work_class shed_class)
{
    switch (shed_class) {
    case work_class::watcher:
        return watcher_load_limit;
    case work_class::batch:
        return batch_load_limit;
    case work_class::interactive:
        break;
    }
    return 1.0;
}

bool should_shed(const admission_state& state, const service_state& service)
{
    const double limit =
        static_cast<double>(state.max_admitted) * class_load_limit(service.limits.shed_class);
    return static_cast<double>(state.admitted) >= limit;
}

duration mean_response_time(const service_state& service)
{
    return service.mean_time_us > 0 ? microseconds(service.mean_time_us)
                                    : service.limits.expected_time;
}

/** Returns an estimate of the minimum response time. */
duration min_response_time(const service_state& service)
{
    return microseconds(service.mean_time_us * min_time_fraction);
}

/** Returns whether the request cannot start at once and the queue of its service is full. */
bool queue_is_full(const admission_state& state, const admission_request& request)
{
    const auto& service = state.services[request.service];
    const auto& owner = state.owners[request.owner];
    const bool can_start_now = service.queue.waiting == 0 && can_start(state, request.service) &&
                               owner.running < owner.limits.concurrency;
    return !can_start_now &&
           service.queue.waiting >= std::max<std::int64_t>(service.limits.queue, 1);
}

/** Evicts the waiting request of `owner` with the latest deadline. */
ticket_number evict_request(admission_state& state, service_state& service, std::uint32_t owner)
{
    --state.owners[owner].waiting;
    --state.admitted;
    return evict_latest(service.queue, owner).ticket;
}

/** Returns the limit that keeps a full queue from draining. */
refusal_reason full_queue_reason(const service_state& service, const owner_state& owner)
{
    if (owner.running >= owner.limits.concurrency)
        return refusal_reason::owner_concurrency;
    if (service.queue.running >= service.limits.concurrency)
        return refusal_reason::service_concurrency;
    return refusal_reason::queue_full;
}

} // namespace

duration expected_wait(const service_state& service, std::uint32_t owner, time_point deadline)
{
    if (service.slots <= 0)
        return duration::zero();
    const auto& queue = service.queue;
    if (queue.running < service.slots && queue.waiting == 0)
        return duration::zero();
    const double release_interval_us = static_cast<double>(mean_response_time(service).count()) /
                                       static_cast<double>(service.slots);
    double queue_position = 1;
    double running = 0;
    double weight = 1;
    double total_weight = active_weight(queue);
    if (owner < queue.flows.size()) {
        const auto& flow = queue.flows[owner];
        queue_position += static_cast<double>(
            std::count_if(flow.waiting.begin(), flow.waiting.end(),
                          [&](const auto& item) { return item.deadline <= deadline; }));
        running = static_cast<double>(flow.running);
        weight = flow.weight;
        total_weight += flow.waiting.empty() ? weight : 0.0;
    }
    const double share = total_weight > 0 ? weight / total_weight : 1.0;
    // An owner below its share gets every slot that becomes free; above it, only its share of them.
    const bool below_share = running < share * static_cast<double>(service.slots);
    return microseconds(queue_position * release_interval_us / (below_share ? 1.0 : share));
}

std::optional<admission_decision> check_request(admission_state& state,
                                                const admission_request& request, time_point now)
{
    auto& owner = state.owners.at(request.owner);
    const auto& service = state.services.at(request.service);
    if (should_shed(state, service))
        return refuse(refusal_reason::shed, mean_response_time(service));
    refill(owner, now);
    if (owner.tokens < 1) {
        const double rate = std::max(owner.limits.rate, min_rate);
        return refuse(refusal_reason::owner_rate, microseconds((1 - owner.tokens) / rate * 1e6));
    }
    const auto wait = expected_wait(service, request.owner, request.deadline);
    if (now + wait + min_response_time(service) > request.deadline)
        return refuse(refusal_reason::deadline_unreachable, wait);
    if (queue_is_full(state, request) &&
        !owner_to_evict_from(service.queue, request.owner, owner.limits.weight))
        return refuse(full_queue_reason(service, owner), mean_response_time(service));
    return {};
}

admission_decision submit_request(admission_state& state, const admission_request& request,
                                  time_point now)
{
    if (const auto refused = check_request(state, request, now))
        return *refused;
    auto& owner = state.owners[request.owner];
    auto& service = state.services[request.service];
    admission_decision decision;
    if (queue_is_full(state, request))
        decision.evicted_ticket =
            evict_request(state, service,
                          *owner_to_evict_from(service.queue, request.owner, owner.limits.weight));
    owner.tokens -= 1;
    state.last_ticket = state.last_ticket.next();
    decision.ticket = state.last_ticket;
    decision.latest_start = request.deadline - min_response_time(service);
    flow_of(service.queue, request.owner).weight = owner.limits.weight;
    push_waiting(service.queue, request.owner,
                 {decision.ticket, request.deadline, decision.latest_start});
    ++owner.waiting;
    ++state.admitted;
    return decision;
}

bool can_start(const admission_state& state, std::uint32_t service)
{
    const auto& selected_service = state.services.at(service);
    return selected_service.queue.running < selected_service.limits.concurrency;
}

std::optional<admission_start> start_next(admission_state& state, std::uint32_t service)
{
    auto& selected_service = state.services.at(service);
    if (!can_start(state, service))
        return {};
    const auto owner = next_owner(selected_service.queue, [&](std::uint32_t number) {
        const auto& candidate = state.owners[number];
        return candidate.running < candidate.limits.concurrency;
    });
    if (!owner)
        return {};
    ++state.owners[*owner].running;
    --state.owners[*owner].waiting;
    return admission_start{
        *owner, start_waiting(selected_service.queue, *owner, selected_service.mean_time_us)};
}

void finish_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    std::optional<duration> took)
{
    auto& selected_service = state.services.at(service);
    finish_running(selected_service.queue, owner);
    --state.owners.at(owner).running;
    --state.admitted;
    if (!took)
        return;
    record_response_time(selected_service.queue, owner, *took);
    const auto sample = static_cast<double>(took->count());
    if (selected_service.mean_time_us <= 0)
        selected_service.mean_time_us = sample;
    else
        selected_service.mean_time_us +=
            mean_smoothing_factor * (sample - selected_service.mean_time_us);
}

bool cancel_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    ticket_number ticket)
{
    if (!remove_waiting(state.services.at(service).queue, owner, ticket))
        return false;
    --state.owners.at(owner).waiting;
    --state.admitted;
    return true;
}

} // namespace galenaturn::route
