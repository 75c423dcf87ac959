#include "admission.h"

#include <algorithm>
#include <cmath>

namespace galenaturn::route {

namespace {

/** A bucket holds this long a share of the rate, so that short bursts pass. */
constexpr double burst_seconds = 1.0;
/** Part of `held_limit` up to which requests of each class are taken in. */
constexpr double watcher_share = 0.6;
constexpr double batch_share = 0.8;
/** Weight of one more answer in the moving mean of answer times. */
constexpr double mean_step = 0.05;
/** Part of the mean time that an answer takes at the very least, as a guess. */
constexpr double least_time_share = 0.5;
/** Keeps the time until the next token finite for an owner whose rate is 0. */
constexpr double least_rate = 0.001;
constexpr duration least_retry_after = std::chrono::milliseconds{100};

duration microseconds(double value)
{
    return duration{static_cast<duration::rep>(value)};
}

void refill(owner_state& owner, time_point now)
{
    const double full = std::max(1.0, owner.limits.rate * burst_seconds);
    if (owner.filled == time_point{})
        owner.tokens = full;
    else
        owner.tokens +=
            std::chrono::duration<double>(now - owner.filled).count() * owner.limits.rate;
    owner.tokens = std::min(owner.tokens, full);
    owner.filled = now;
}

admission_decision refuse(refusal_reason reason, duration retry_after)
{
    admission_decision decision;
    decision.refused = reason;
    decision.retry_after = std::max(retry_after, least_retry_after);
    return decision;
}

double class_share(work_class shed_class)
{
    switch (shed_class) {
    case work_class::watcher:
        return watcher_share;
    case work_class::batch:
        return batch_share;
    case work_class::interactive:
        break;
    }
    return 1.0;
}

bool must_shed(const admission_state& state, const service_state& service)
{
    const double limit =
        static_cast<double>(state.held_limit) * class_share(service.limits.shed_class);
    return static_cast<double>(state.held) >= limit;
}

duration mean_time(const service_state& service)
{
    return service.mean_time_us > 0 ? microseconds(service.mean_time_us)
                                    : service.limits.expected_time;
}

/** Returns the time that an answer takes at the very least, as a guess. */
duration least_time(const service_state& service)
{
    return microseconds(service.mean_time_us * least_time_share);
}

/** Returns whether the request would have to wait, and there is no place left to wait in. */
bool queue_is_full(const admission_state& state, const admission_request& request)
{
    const auto& service = state.services[request.service];
    const auto& owner = state.owners[request.owner];
    const bool idle = service.queue.waiting == 0 && can_start(state, request.service) &&
                      owner.running < owner.limits.concurrency;
    return !idle && service.queue.waiting >= std::max<std::int64_t>(service.limits.queue, 1);
}

/** Makes room: drops the latest request of the owner that waits with the most for its weight. */
std::optional<ticket_number> push_out(admission_state& state, service_state& service)
{
    const auto longest = longest_owner(service.queue);
    if (!longest)
        return {};
    --state.owners[*longest].waiting;
    --state.held;
    return drop_latest(service.queue, *longest).ticket;
}

/** Says which limit keeps a full queue from draining. */
refusal_reason full_queue_reason(const service_state& service, const owner_state& owner)
{
    if (owner.running >= owner.limits.concurrency)
        return refusal_reason::owner_concurrency;
    if (service.queue.running >= service.limits.concurrency)
        return refusal_reason::service_concurrency;
    return refusal_reason::queue_full;
}

/** Returns whether the owner waits with less than its weighted part of a full queue. */
bool below_queue_share(const service_state& service, std::uint32_t number, double weight)
{
    const auto& queue = service.queue;
    const bool known = number < queue.flows.size() && !queue.flows[number].waiting.empty();
    const double waiting = known ? static_cast<double>(queue.flows[number].waiting.size()) : 0.0;
    const double weights = active_weight(queue) + (known ? 0.0 : weight);
    return waiting + 1 <= static_cast<double>(service.limits.queue) * weight / weights;
}

} // namespace

duration expected_wait(const service_state& service, std::uint32_t owner, time_point deadline)
{
    if (service.slots <= 0)
        return duration::zero();
    const auto& queue = service.queue;
    if (queue.running < service.slots && queue.waiting == 0)
        return duration::zero();
    const double interval =
        static_cast<double>(mean_time(service).count()) / static_cast<double>(service.slots);
    double ahead = 1;
    double running = 0;
    double weight = 1;
    double weights = active_weight(queue);
    if (owner < queue.flows.size()) {
        const auto& flow = queue.flows[owner];
        ahead += static_cast<double>(
            std::count_if(flow.waiting.begin(), flow.waiting.end(),
                          [&](const auto& item) { return item.deadline <= deadline; }));
        running = static_cast<double>(flow.running);
        weight = flow.weight;
        weights += flow.waiting.empty() ? weight : 0.0;
    }
    const double share = weights > 0 ? weight / weights : 1.0;
    // Below its share an owner takes every slot that becomes free, above it only its part of them.
    const bool below_share = running < share * static_cast<double>(service.slots);
    return microseconds(ahead * interval / (below_share ? 1.0 : share));
}

std::optional<admission_decision> check_request(admission_state& state,
                                                const admission_request& request, time_point now)
{
    auto& owner = state.owners.at(request.owner);
    const auto& service = state.services.at(request.service);
    if (must_shed(state, service))
        return refuse(refusal_reason::shed, mean_time(service));
    refill(owner, now);
    if (owner.tokens < 1) {
        const double rate = std::max(owner.limits.rate, least_rate);
        return refuse(refusal_reason::owner_rate, microseconds((1 - owner.tokens) / rate * 1e6));
    }
    const auto wait = expected_wait(service, request.owner, request.deadline);
    if (now + wait + least_time(service) > request.deadline)
        return refuse(refusal_reason::deadline_unreachable, wait);
    if (queue_is_full(state, request) &&
        !below_queue_share(service, request.owner, owner.limits.weight))
        return refuse(full_queue_reason(service, owner), mean_time(service));
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
        decision.pushed_out = push_out(state, service);
    owner.tokens -= 1;
    state.last_ticket = state.last_ticket.next();
    decision.ticket = state.last_ticket;
    decision.latest_start = request.deadline - least_time(service);
    flow_of(service.queue, request.owner).weight = owner.limits.weight;
    push_waiting(service.queue, request.owner,
                 {decision.ticket, request.deadline, decision.latest_start});
    ++owner.waiting;
    ++state.held;
    return decision;
}

bool can_start(const admission_state& state, std::uint32_t service)
{
    const auto& item = state.services.at(service);
    return item.queue.running < item.limits.concurrency;
}

std::optional<admission_start> start_next(admission_state& state, std::uint32_t service)
{
    auto& item = state.services.at(service);
    if (!can_start(state, service))
        return {};
    const auto owner = next_owner(item.queue, [&](std::uint32_t number) {
        const auto& candidate = state.owners[number];
        return candidate.running < candidate.limits.concurrency;
    });
    if (!owner)
        return {};
    ++state.owners[*owner].running;
    --state.owners[*owner].waiting;
    return admission_start{*owner, start_waiting(item.queue, *owner)};
}

void finish_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    std::optional<duration> took)
{
    auto& item = state.services.at(service);
    finish_running(item.queue, owner);
    --state.owners.at(owner).running;
    --state.held;
    if (!took)
        return;
    const auto sample = static_cast<double>(took->count());
    if (item.mean_time_us <= 0)
        item.mean_time_us = sample;
    else
        item.mean_time_us += mean_step * (sample - item.mean_time_us);
}

bool cancel_request(admission_state& state, std::uint32_t service, std::uint32_t owner,
                    ticket_number ticket)
{
    if (!remove_waiting(state.services.at(service).queue, owner, ticket))
        return false;
    --state.owners.at(owner).waiting;
    --state.held;
    return true;
}

} // namespace galenaturn::route
