#include "voterset.h"

#include <algorithm>
#include <functional>

namespace galenaturn::ledger {

namespace {

using voter_map = std::map<voter_id, process_id>;

std::size_t majority_of(const voter_map& voters)
{
    return voters.size() / 2 + 1;
}

bool has_majority(const voter_map& voters, const std::set<voter_id>& members)
{
    const auto count = std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
        return members.contains(voter.first);
    });
    return static_cast<std::size_t>(count) >= majority_of(voters);
}

/** Returns the highest value that a majority of `voters` has reached. */
std::uint64_t majority_value(const voter_map& voters,
                             const std::map<voter_id, std::uint64_t>& values)
{
    std::vector<std::uint64_t> reached;
    for (const auto& [voter, process] : voters) {
        const auto value = values.find(voter);
        reached.push_back(value == values.end() ? 0 : value->second);
    }
    if (reached.empty())
        return 0;
    std::sort(reached.begin(), reached.end(), std::greater<>{});
    return reached[majority_of(voters) - 1];
}

} // namespace

bool is_joint(const voter_set& set)
{
    return !set.former_voters.empty();
}

std::map<voter_id, process_id> all_voters(const voter_set& set)
{
    auto voters = set.voters;
    voters.insert(set.former_voters.begin(), set.former_voters.end());
    return voters;
}

std::map<voter_id, process_id> all_members(const voter_set& set)
{
    auto members = all_voters(set);
    members.insert(set.learners.begin(), set.learners.end());
    return members;
}

bool is_quorum(const voter_set& set, const std::set<voter_id>& members)
{
    return has_majority(set.voters, members) &&
           (!is_joint(set) || has_majority(set.former_voters, members));
}

std::uint64_t quorum_value(const voter_set& set, const std::map<voter_id, std::uint64_t>& values)
{
    const auto reached = majority_value(set.voters, values);
    return is_joint(set) ? std::min(reached, majority_value(set.former_voters, values)) : reached;
}

} // namespace galenaturn::ledger
