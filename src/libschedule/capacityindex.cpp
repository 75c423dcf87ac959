#include "capacityindex.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** No demand fits in this, not even an empty one. */
constexpr resources nothing_free{millicores{-1}, bytes{-1}, accelerator_count{-1}};

resources larger_of(const resources& left, const resources& right)
{
    return {std::max(left.processors, right.processors), std::max(left.memory, right.memory),
            std::max(left.accelerators, right.accelerators)};
}

} // namespace

void capacity_index::set(std::size_t slot, const resources& free)
{
    if (slot >= leaves_)
        grow(slot + 1);
    auto node = leaves_ + slot;
    nodes_[node] = free;
    while (node > 1) {
        node /= 2;
        nodes_[node] = larger_of(nodes_[2 * node], nodes_[2 * node + 1]);
    }
}

void capacity_index::grow(std::size_t slots)
{
    std::size_t leaves = std::max<std::size_t>(leaves_, 1);
    while (leaves < slots)
        leaves *= 2;
    std::vector<resources> nodes(2 * leaves, nothing_free);
    if (leaves_ > 0)
        std::copy_n(nodes_.begin() + static_cast<std::ptrdiff_t>(leaves_), leaves_,
                    nodes.begin() + static_cast<std::ptrdiff_t>(leaves));
    for (auto node = leaves - 1; node > 0; --node)
        nodes[node] = larger_of(nodes[2 * node], nodes[2 * node + 1]);
    leaves_ = leaves;
    nodes_ = std::move(nodes);
}

void capacity_index::search(const resources& demand, std::size_t start, std::size_t limit,
                            std::vector<std::size_t>& found) const
{
    if (leaves_ == 0)
        return;
    start %= leaves_;
    visit(1, 0, leaves_, start, leaves_, demand, limit, found);
    visit(1, 0, leaves_, 0, start, demand, limit, found);
}

void capacity_index::visit(std::size_t node, std::size_t first, std::size_t size, std::size_t begin,
                           std::size_t end, const resources& demand, std::size_t limit,
                           std::vector<std::size_t>& found) const
{
    const bool outside = first >= end || first + size <= begin;
    if (outside || found.size() >= limit || !fits(demand, nodes_[node]))
        return;
    if (size == 1) {
        found.push_back(first);
        return;
    }
    const auto half = size / 2;
    visit(2 * node, first, half, begin, end, demand, limit, found);
    visit(2 * node + 1, first + half, half, begin, end, demand, limit, found);
}

resources capacity_index::largest_free() const
{
    if (leaves_ == 0)
        return {};
    return larger_of(nodes_[1], {});
}

} // namespace galenaturn::schedule
