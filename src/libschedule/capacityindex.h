#pragma once

#include <galenaturn/core.h>

#include <cstddef>
#include <vector>

namespace galenaturn::schedule {

/**
 * Segment tree of the free resources of workers, searched in logarithmic time. Each inner node
 * holds the largest free amount of each resource below it, so a search skips whole groups of full
 * workers.
 */
class capacity_index {
public:
    /** Sets the free resources of the worker at `slot`. Slots are numbered consecutively from 0. */
    void set(std::size_t slot, const resources& free);
    /**
     * Appends to `found` up to `limit` slots in which `demand` fits. Searches from `start` and
     * wraps around, and finds at least one slot if any exists.
     */
    void search(const resources& demand, std::size_t start, std::size_t limit,
                std::vector<std::size_t>& found) const;
    /**
     * Returns the largest free amount of each resource; the maxima may belong to different workers.
     */
    [[nodiscard]] resources largest_free() const;

private:
    void grow(std::size_t slots);
    void visit(std::size_t node, std::size_t first, std::size_t size, std::size_t begin,
               std::size_t end, const resources& demand, std::size_t limit,
               std::vector<std::size_t>& found) const;

    std::size_t leaves_{0};
    std::vector<resources> nodes_;
};

} // namespace galenaturn::schedule
