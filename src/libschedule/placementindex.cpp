#include "placementindex.h"

#include <algorithm>
#include <bit>

namespace galenaturn::schedule {

namespace {

resources larger_of(const resources& left, const resources& right)
{
    return {std::max(left.processors, right.processors), std::max(left.memory, right.memory),
            std::max(left.accelerators, right.accelerators)};
}

} // namespace

std::size_t leaf_count(const room_tree& tree)
{
    return tree.nodes.size() / 2;
}

void reserve_leaves(room_tree& tree, std::size_t count)
{
    const auto earlier = leaf_count(tree);
    if (count <= earlier)
        return;
    const auto leaves = std::bit_ceil(count);
    std::vector<resources> nodes(2 * leaves, no_room);
    std::copy_n(tree.nodes.begin() + static_cast<std::ptrdiff_t>(earlier), earlier,
                nodes.begin() + static_cast<std::ptrdiff_t>(leaves));
    for (auto node = leaves - 1; node > 0; --node)
        nodes[node] = larger_of(nodes[2 * node], nodes[2 * node + 1]);
    tree.nodes = std::move(nodes);
}

void set_room(room_tree& tree, std::size_t position, const resources& room)
{
    auto node = leaf_count(tree) + position;
    tree.nodes[node] = room;
    for (node /= 2; node > 0; node /= 2) {
        const auto largest = larger_of(tree.nodes[2 * node], tree.nodes[2 * node + 1]);
        if (tree.nodes[node] == largest)
            return;
        tree.nodes[node] = largest;
    }
}

} // namespace galenaturn::schedule
