#pragma once

#include <galenaturn/core.h>

#include <algorithm>
#include <vector>

namespace galenaturn::schedule {

/**
 * Demands that fit no worker in this scheduling pass. A demand that is at least as large in every
 * resource does not fit either.
 */
class failed_demands {
public:
    [[nodiscard]] bool covers(const resources& demand) const
    {
        return std::any_of(demands_.begin(), demands_.end(),
                           [&](const resources& failed) { return fits(failed, demand); });
    }
    void add(const resources& demand)
    {
        std::erase_if(demands_, [&](const resources& failed) { return fits(demand, failed); });
        demands_.push_back(demand);
    }

private:
    std::vector<resources> demands_;
};

} // namespace galenaturn::schedule
