#pragma once

#include <galenaturn/core.h>

#include <cstddef>
#include <vector>

namespace galenaturn::schedule {

/**
 * Free resources of numbered workers, searched in logarithmic time. Each inner node holds the
 * largest free amount of each resource below it, so a search skips whole groups of full workers.
 */
class capacity_index {
public:
    /** Sets what is free at `slot`; slots are numbered densely from 0. */
    void set(std::size_t slot, const resources& free);
    /**
     * Appends to `found` up to `limit` slots in which `demand` fits, searching round from `start`.
     * Finds at least one where there is one.
     */
    void search(const resources& demand, std::size_t start, std::size_t limit,
                std::vector<std::size_t>& found) const;
    /** Returns the largest free amount of each resource, not always on one worker. */
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
