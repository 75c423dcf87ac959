#pragma once

#include <galenaturn/messages.h>

#include <map>
#include <vector>

namespace galenaturn::ledger {

/** Members that hold the log. Voters count for elections and commits; learners only receive. */
struct voter_set {
    std::map<voter_id, process_id> voters;
    std::map<voter_id, process_id> learners;

    bool operator==(const voter_set&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(voters, learners);
    }
};

/** Returns the smallest majority of the voters of `set`. */
std::size_t quorum_size(const voter_set& set);
/** Returns all voters and learners with their processes. */
std::map<voter_id, process_id> all_members(const voter_set& set);
/** Returns the highest value that a quorum of `set` has reached. A missing value counts as 0. */
std::uint64_t quorum_value(const voter_set& set, const std::map<voter_id, std::uint64_t>& values);

} // namespace galenaturn::ledger
