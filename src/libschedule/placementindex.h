#pragma once

#include "jobstate.h"

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace galenaturn::schedule {

/** A worker that accepts tasks. */
struct placement_candidate {
    job_worker* worker{nullptr};
    std::uint64_t change{0};
};

/**
 * Upper bounds of what each of the first workers of an index has room for, for one kind of request,
 * in a binary tree of which each node holds the largest amounts below it. Processors are those that
 * a best-effort request may use, or that a reservation may hold.
 */
struct room_tree {
    /** Node n has the children 2n and 2n + 1; the leaves are the second half. */
    std::vector<resources> nodes;
    /** Number of workers with bounds. */
    std::size_t size{0};
    /** Slopes of latency-critical images beside the image of the kind. */
    std::vector<std::pair<const tail_estimate*, cautious_slope>> slopes;
};

/**
 * The workers that accept tasks, the most recently changed first, with bounds for the kinds of
 * requests that were searched for. During a pass the room on a worker only shrinks, except where a
 * start is taken back.
 */
struct placement_index {
    std::vector<placement_candidate> workers;
    std::map<placement_kind, room_tree, placement_kind_less> kinds;
};

/** Room that no demand fits in. */
inline constexpr resources no_room{millicores{-1}, bytes{-1}, accelerator_count{-1}};

std::size_t leaf_count(const room_tree& tree);
/** Makes the tree large enough for this number of workers. */
void reserve_leaves(room_tree& tree, std::size_t count);
void set_room(room_tree& tree, std::size_t position, const resources& room);

/**
 * Calls `visit` with the position of each of the first `limit` workers whose room the demand fits
 * in, in order, and counts the comparisons. `visit` may lower the room of that worker.
 */
template <class Visit>
void visit_room(room_tree& tree, std::size_t limit, const resources& demand,
                std::uint64_t& comparisons, const Visit& visit)
{
    const auto leaves = leaf_count(tree);
    // Depth first, by number of the node; `first` is the position of its first leaf.
    struct subtree {
        std::size_t node;
        std::size_t first;
        std::size_t width;
    };
    constexpr std::size_t max_open = 64;
    std::array<subtree, max_open> open{subtree{1, 0, leaves}};
    std::size_t count = leaves > 0 ? 1 : 0;
    while (count > 0) {
        const auto next = open[--count];
        if (next.first >= limit)
            continue;
        ++comparisons;
        if (!fits(demand, tree.nodes[next.node]))
            continue;
        if (next.width == 1) {
            visit(next.first);
            continue;
        }
        const auto half = next.width / 2;
        open[count++] = {2 * next.node + 1, next.first + half, half};
        open[count++] = {2 * next.node, next.first, half};
    }
}

} // namespace galenaturn::schedule
