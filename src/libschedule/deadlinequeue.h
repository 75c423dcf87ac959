#pragma once

#include <galenaturn/core.h>

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace galenaturn::schedule {

/** Keys in the order of their deadlines, at most one deadline for each. */
template <class Key>
class deadline_queue {
public:
    /** Adds the key, or moves it to another deadline. */
    void set(const Key& key, time_point deadline)
    {
        const auto [entry, added] = deadlines_.try_emplace(key, deadline);
        if (!added) {
            order_.erase({entry->second, key});
            entry->second = deadline;
        }
        order_.emplace(deadline, key);
    }

    void erase(const Key& key)
    {
        const auto entry = deadlines_.find(key);
        if (entry == deadlines_.end())
            return;
        order_.erase({entry->second, key});
        deadlines_.erase(entry);
    }

    [[nodiscard]] bool empty() const { return order_.empty(); }
    [[nodiscard]] std::size_t size() const { return order_.size(); }

    /** Returns the keys whose deadline has come, the earliest first. They stay in the queue. */
    [[nodiscard]] std::vector<Key> due(time_point now) const
    {
        std::vector<Key> keys;
        for (auto entry = order_.begin(); entry != order_.end() && entry->first <= now; ++entry)
            keys.push_back(entry->second);
        return keys;
    }

private:
    std::map<Key, time_point> deadlines_;
    std::set<std::pair<time_point, Key>> order_;
};

} // namespace galenaturn::schedule
