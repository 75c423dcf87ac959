#include "fairqueue.h"

#include <algorithm>

namespace galenaturn::route {

namespace {

/** Bounds on the relative cost of a request, so that a few outliers do not decide the share. */
constexpr double min_relative_cost = 0.25;
constexpr double max_relative_cost = 4;
constexpr double mean_smoothing_factor = 0.02;
/**
 * Maximum lag of a start tag behind the virtual time, in requests per unit of weight. It lets an
 * owner that was below its share catch up.
 */
constexpr double max_lag = 4;

void deactivate_if_empty(fair_queue& queue, std::uint32_t owner)
{
    if (!queue.flows[owner].waiting.empty())
        return;
    const auto position = std::find(queue.active.begin(), queue.active.end(), owner);
    *position = queue.active.back();
    queue.active.pop_back();
}

/** Returns the expected slot time of the owner's requests, relative to the service's mean. */
double expected_relative_cost(const owner_flow& flow, double mean_time_us)
{
    if (flow.mean_time_us <= 0 || mean_time_us <= 0)
        return 1;
    return std::clamp(flow.mean_time_us / mean_time_us, min_relative_cost, max_relative_cost);
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
        flow.next_start = std::max(flow.next_start, queue.virtual_time - max_lag);
    }
    const auto position = std::lower_bound(
        flow.waiting.begin(), flow.waiting.end(), request.deadline,
        [](const waiting_request& item, time_point deadline) { return item.deadline > deadline; });
    flow.waiting.insert(position, request);
    ++queue.waiting;
}

bool remove_waiting(fair_queue& queue, std::uint32_t owner, ticket_number ticket)
{
    auto& waiting = flow_of(queue, owner).waiting;
    const auto position = std::find_if(waiting.begin(), waiting.end(),
                                       [&](const auto& item) { return item.ticket == ticket; });
    if (position == waiting.end())
        return false;
    waiting.erase(position);
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
    queue.virtual_time = std::max(queue.virtual_time, flow.next_start);
    flow.next_start += expected_relative_cost(flow, mean_time_us) / flow.weight;
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

void record_response_time(fair_queue& queue, std::uint32_t owner, duration took)
{
    auto& flow = queue.flows.at(owner);
    const auto sample = static_cast<double>(took.count());
    flow.mean_time_us +=
        flow.mean_time_us <= 0 ? sample : mean_smoothing_factor * (sample - flow.mean_time_us);
}

std::optional<std::uint32_t> owner_to_evict_from(const fair_queue& queue, std::uint32_t owner,
                                                 double weight)
{
    const bool has_flow = owner < queue.flows.size();
    const double waiting = has_flow ? static_cast<double>(queue.flows[owner].waiting.size()) : 0.0;
    double max_load = (waiting + 1) / weight;
    std::optional<std::uint32_t> most_loaded;
    for (const auto number : queue.active) {
        const auto& flow = queue.flows[number];
        const double load = static_cast<double>(flow.waiting.size()) / flow.weight;
        if (number != owner && load > max_load) {
            max_load = load;
            most_loaded = number;
        }
    }
    return most_loaded;
}

waiting_request evict_latest(fair_queue& queue, std::uint32_t owner)
{
    auto& waiting = queue.flows[owner].waiting;
    const auto request = waiting.front();
    waiting.erase(waiting.begin());
    --queue.waiting;
    deactivate_if_empty(queue, owner);
    return request;
}

} // namespace galenaturn::route
