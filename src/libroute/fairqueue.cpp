#include "fairqueue.h"

#include <algorithm>

namespace galenaturn::route {

namespace {

void deactivate_if_empty(fair_queue& queue, std::uint32_t owner)
{
    if (!queue.flows[owner].waiting.empty())
        return;
    const auto place = std::find(queue.active.begin(), queue.active.end(), owner);
    *place = queue.active.back();
    queue.active.pop_back();
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
    if (flow.waiting.empty())
        queue.active.push_back(owner);
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

waiting_request start_waiting(fair_queue& queue, std::uint32_t owner)
{
    auto& flow = queue.flows[owner];
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

std::optional<std::uint32_t> longest_owner(const fair_queue& queue)
{
    std::optional<std::uint32_t> longest;
    double most = 0;
    for (const auto owner : queue.active) {
        const auto& flow = queue.flows[owner];
        const double load = static_cast<double>(flow.waiting.size()) / flow.weight;
        if (load > most) {
            most = load;
            longest = owner;
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
