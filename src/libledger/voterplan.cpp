#include "voterplan.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

duration silence_of(const voter_facts& facts, const voter_id& voter)
{
    const auto known = facts.silent.find(voter);
    return known == facts.silent.end() ? duration{} : known->second;
}

bool has_newcomer(const voter_facts& facts, const process_id& process)
{
    return std::any_of(facts.newcomers.begin(), facts.newcomers.end(),
                       [&](const auto& newcomer) { return newcomer.second == process; });
}

/** Returns the newcomers that are no learner yet. */
std::map<voter_id, process_id> unplaced(const voter_facts& facts)
{
    auto open = facts.newcomers;
    std::erase_if(open, [&](const auto& newcomer) {
        return all_members(facts.set).contains(newcomer.first);
    });
    return open;
}

std::optional<voter_change> remove_lost_disk(const voter_facts& facts)
{
    for (const auto& [voter, process] : all_members(facts.set)) {
        const bool replaced = has_newcomer(facts, process) && !facts.newcomers.contains(voter);
        if (replaced)
            return voter_change{voter_change_kind::remove, voter, process};
    }
    return std::nullopt;
}

std::optional<voter_change> promote_learner(const voter_facts& facts)
{
    if (facts.set.voters.size() >= facts.wanted)
        return std::nullopt;
    for (const auto& voter : facts.caught_up) {
        const auto learner = facts.set.learners.find(voter);
        if (learner != facts.set.learners.end())
            return voter_change{voter_change_kind::promote, voter, learner->second};
    }
    return std::nullopt;
}

std::optional<voter_change> add_newcomer(const voter_facts& facts)
{
    const auto open = unplaced(facts);
    const auto members = facts.set.voters.size() + facts.set.learners.size();
    if (open.empty() || members >= facts.wanted)
        return std::nullopt;
    const auto& [voter, process] = *open.begin();
    return voter_change{voter_change_kind::add_learner, voter, process};
}

std::optional<voter_change> remove_silent(const voter_facts& facts)
{
    const bool place_wanted = !unplaced(facts).empty();
    for (const auto& [voter, process] : facts.set.learners) {
        if (silence_of(facts, voter) > replace_limit)
            return voter_change{voter_change_kind::remove, voter, process};
    }
    for (const auto& [voter, process] : facts.set.voters) {
        if (place_wanted && silence_of(facts, voter) > replace_limit)
            return voter_change{voter_change_kind::remove, voter, process};
    }
    return std::nullopt;
}

} // namespace

std::optional<voter_change> plan_voter_change(const voter_facts& facts)
{
    for (const auto plan : {remove_lost_disk, promote_learner, add_newcomer, remove_silent}) {
        if (auto change = plan(facts))
            return change;
    }
    return std::nullopt;
}

} // namespace galenaturn::ledger
