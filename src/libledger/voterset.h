#pragma once

#include <galenaturn/messages.h>

#include <map>
#include <set>
#include <vector>

namespace galenaturn::ledger {

/**
 * Members that hold the log. Voters count for elections and commits; learners only receive. While
 * one voter takes the place of another, the set is joint: a quorum is then a majority of the voters
 * and a majority of the former ones, so it depends neither on the new nor on the replaced voter.
 */
struct voter_set {
    std::map<voter_id, process_id> voters;
    std::map<voter_id, process_id> learners;
    /** The voters before the replacement; empty unless the set is joint. */
    std::map<voter_id, process_id> former_voters;

    bool operator==(const voter_set&) const = default;

    /** Former voters are stored behind the learners, so that other sets keep their format. */
    template <class Archive>
    void save(Archive& archive) const
    {
        auto others = learners;
        for (const auto& [voter, process] : former_voters)
            others.emplace(voter_id{former_voter_prefix + voter.value()}, process);
        archive(voters, others);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        archive(voters, learners);
        former_voters.clear();
        const auto is_former = [](const auto& member) {
            return member.first.value().starts_with(former_voter_prefix);
        };
        for (const auto& member : learners) {
            if (is_former(member))
                former_voters.emplace(member.first.value().substr(1), member.second);
        }
        std::erase_if(learners, is_former);
    }

private:
    /** No voter id starts with it. */
    static constexpr char former_voter_prefix = '\x01';
};

/** Returns whether one voter is taking the place of another. */
bool is_joint(const voter_set& set);
/** Returns the voters, former ones included. */
std::map<voter_id, process_id> all_voters(const voter_set& set);
/** Returns all voters and learners with their processes. */
std::map<voter_id, process_id> all_members(const voter_set& set);
/** Returns whether `members` contain a quorum of `set`. */
bool is_quorum(const voter_set& set, const std::set<voter_id>& members);
/** Returns the highest value that a quorum of `set` has reached. A missing value counts as 0. */
std::uint64_t quorum_value(const voter_set& set, const std::map<voter_id, std::uint64_t>& values);

} // namespace galenaturn::ledger
