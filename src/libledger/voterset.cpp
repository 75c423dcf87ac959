#include "voterset.h"

#include <algorithm>
#include <functional>

namespace galenaturn::ledger {

std::size_t quorum_size(const voter_set& set)
{
    return set.voters.size() / 2 + 1;
}

std::map<voter_id, process_id> all_members(const voter_set& set)
{
    auto members = set.voters;
    members.insert(set.learners.begin(), set.learners.end());
    return members;
}

std::uint64_t quorum_value(const voter_set& set, const std::map<voter_id, std::uint64_t>& values)
{
    std::vector<std::uint64_t> reached;
    for (const auto& [voter, process] : set.voters) {
        const auto value = values.find(voter);
        reached.push_back(value == values.end() ? 0 : value->second);
    }
    if (reached.empty())
        return 0;
    std::sort(reached.begin(), reached.end(), std::greater<>{});
    return reached[quorum_size(set) - 1];
}

} // namespace galenaturn::ledger
