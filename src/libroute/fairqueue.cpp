#include "fairqueue.h"

#include <algorithm>

namespace galenaturn::route {

namespace {

/** Bounds on what one request counts, so that a few odd times do not decide over an owner. */
constexpr double least_cost = 0.25;
constexpr double largest_cost = 4;
constexpr double mean_step = 0.02;
/** Requests, per unit of weight, by which an owner that was below its share may catch up. */
constexpr double catch_up = 4;

void deactivate_if_empty(fair_queue& queue, std::uint32_t owner)
{
    if (!queue.flows[owner].waiting.empty())
        return;
    const auto place = std::find(queue.active.begin(), queue.active.end(), owner);
    *place = queue.active.back();
    queue.active.pop_back();
}

/** Returns the slot time of one of the owner's requests in relation to the service's mean. */
double expected_cost(const owner_flow& flow, double mean_time_us)
{
    if (flow.mean_time_us <= 0 || mean_time_us <= 0)
        return 1;
    return std::clamp(flow.mean_time_us / mean_time_us, least_cost, largest_cost);
}

} // namespace

owner_flow& flow_of(fair_queue& queue, std::uint32_t owner)
{
    if (owner >= queue.flows.size())
        queue.flows.resize(owner + 1);
    return queue.flows[owner];
}

void push_waiting(fair_queue& queue, std::uint32_t owner, const waiting_request& request)
{
    auto& flow = flow_of(queue, owner);
    if (flow.waiting.empty()) {
        queue.active.push_back(owner);
        flow.due = std::max(flow.due, queue.virtual_time - catch_up);
    }
    const auto place = std::lower_bound(
        flow.waiting.begin(), flow.waiting.end(), request.deadline,
        [](const waiting_request& item, time_point deadline) { return item.deadline > deadline; });
    flow.waiting.insert(place, request);
    ++queue.waiting;
}

bool remove_waiting(fair_queue& queue, std::uint32_t owner, ticket_number ticket)
{
    auto& waiting = flow_of(queue, owner).waiting;
    const auto place = std::find_if(waiting.begin(), waiting.end(),
                                    [&](const auto& item) { return item.ticket == ticket; });
    if (place == waiting.end())
        return false;
    waiting.erase(place);
    --queue.waiting;
    deactivate_if_empty(queue, owner);
    return true;
}

double active_weight(const fair_queue& queue)
{
    double sum = 0;
    for (const auto owner : queue.active)
        sum += queue.flows[owner].weight;
    return sum;
}

waiting_request start_waiting(fair_queue& queue, std::uint32_t owner, double mean_time_us)
{
    auto& flow = queue.flows[owner];
    queue.virtual_time = std::max(queue.virtual_time, flow.due);
    flow.due += expected_cost(flow, mean_time_us) / flow.weight;
    const auto request = flow.waiting.back();
    flow.waiting.pop_back();
    --queue.waiting;
    ++flow.running;
    ++queue.running;
    deactivate_if_empty(queue, owner);
    return request;
}

void finish_running(fair_queue& queue, std::uint32_t owner)
{
    auto& flow = queue.flows.at(owner);
    GN_INVARIANT(flow.running > 0 && queue.running > 0, {"owner", owner});
    --flow.running;
    --queue.running;
}

void record_time(fair_queue& queue, std::uint32_t owner, duration took)
{
    auto& flow = queue.flows.at(owner);
    const auto sample = static_cast<double>(took.count());
    flow.mean_time_us += flow.mean_time_us <= 0 ? sample : mean_step * (sample - flow.mean_time_us);
}

std::optional<std::uint32_t> owner_to_drop(const fair_queue& queue, std::uint32_t owner,
                                           double weight)
{
    const bool known = owner < queue.flows.size();
    const double waiting = known ? static_cast<double>(queue.flows[owner].waiting.size()) : 0.0;
    double most = (waiting + 1) / weight;
    std::optional<std::uint32_t> longest;
    for (const auto number : queue.active) {
        const auto& flow = queue.flows[number];
        const double load = static_cast<double>(flow.waiting.size()) / flow.weight;
        if (number != owner && load > most) {
            most = load;
            longest = number;
        }
    }
    return longest;
}

waiting_request drop_latest(fair_queue& queue, std::uint32_t owner)
{
    auto& waiting = queue.flows[owner].waiting;
    const auto request = waiting.front();
    waiting.erase(waiting.begin());
    --queue.waiting;
    deactivate_if_empty(queue, owner);
    return request;
}

} // namespace galenaturn::route
