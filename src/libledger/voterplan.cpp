#include "voterplan.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

duration silence_of(const voter_plan_input& input, const voter_id& voter)
{
    const auto entry = input.silence.find(voter);
    return entry == input.silence.end() ? duration{} : entry->second;
}

bool has_newcomer(const voter_plan_input& input, const process_id& process)
{
    return std::any_of(input.newcomers.begin(), input.newcomers.end(),
                       [&](const auto& newcomer) { return newcomer.second == process; });
}

/** Returns the newcomers that are not members yet. */
std::map<voter_id, process_id> newcomers_to_add(const voter_plan_input& input)
{
    auto not_members = input.newcomers;
    std::erase_if(not_members, [&](const auto& newcomer) {
        return all_members(input.set).contains(newcomer.first);
    });
    return not_members;
}

std::optional<voter_change> remove_lost_disk(const voter_plan_input& input)
{
    for (const auto& [voter, process] : all_members(input.set)) {
        const bool replaced = has_newcomer(input, process) && !input.newcomers.contains(voter);
        if (replaced)
            return voter_change{voter_change_kind::remove, voter, process};
    }
    return std::nullopt;
}

std::optional<voter_change> promote_learner(const voter_plan_input& input)
{
    if (input.set.voters.size() >= input.target_voters)
        return std::nullopt;
    for (const auto& voter : input.caught_up) {
        const auto learner = input.set.learners.find(voter);
        if (learner != input.set.learners.end())
            return voter_change{voter_change_kind::promote, voter, learner->second};
    }
    return std::nullopt;
}

std::optional<voter_change> add_newcomer(const voter_plan_input& input)
{
    const auto not_members = newcomers_to_add(input);
    const auto members = input.set.voters.size() + input.set.learners.size();
    if (not_members.empty() || members >= input.target_voters)
        return std::nullopt;
    const auto& [voter, process] = *not_members.begin();
    return voter_change{voter_change_kind::add_learner, voter, process};
}

std::optional<voter_change> remove_silent_member(const voter_plan_input& input)
{
    const bool newcomer_available = !newcomers_to_add(input).empty();
    for (const auto& [voter, process] : input.set.learners) {
        if (silence_of(input, voter) > max_voter_silence)
            return voter_change{voter_change_kind::remove, voter, process};
    }
    for (const auto& [voter, process] : input.set.voters) {
        if (newcomer_available && silence_of(input, voter) > max_voter_silence)
            return voter_change{voter_change_kind::remove, voter, process};
    }
    return std::nullopt;
}

} // namespace

std::optional<voter_change> plan_voter_change(const voter_plan_input& input)
{
    for (const auto plan :
         {remove_lost_disk, promote_learner, add_newcomer, remove_silent_member}) {
        if (auto change = plan(input))
            return change;
    }
    return std::nullopt;
}

} // namespace galenaturn::ledger
