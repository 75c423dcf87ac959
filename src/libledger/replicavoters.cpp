#include "replicasteps.h"

namespace galenaturn::ledger {

namespace {

refusal_reason check_add_learner(const step_context& context, const voter_change& change)
{
    if (is_member(context.self, change.voter))
        return "voter '" + change.voter.value() + "' is already a member";
    for (const auto& [voter, process] : all_members(context.self.log.voters())) {
        if (process == change.process && context.self.log.voters().learners.contains(voter))
            return "process '" + process.value() + "' already has learner '" + voter.value() + "'";
    }
    return {};
}

refusal_reason check_promote(const step_context& context, const voter_change& change)
{
    if (!context.self.log.voters().learners.contains(change.voter))
        return "'" + change.voter.value() + "' is not a learner";
    if (!has_caught_up(context.self, change.voter))
        return "learner '" + change.voter.value() + "' has not caught up yet";
    return {};
}

refusal_reason check_remove(const step_context& context, const voter_change& change)
{
    if (!is_member(context.self, change.voter))
        return "'" + change.voter.value() + "' is not a member";
    if (is_voter(context.self, change.voter) && context.self.log.voters().voters.size() == 1)
        return "the last voter cannot be removed";
    return {};
}

refusal_reason check_replace(const step_context& context, const voter_change& change)
{
    if (!context.self.log.voters().voters.contains(change.replaced))
        return "'" + change.replaced.value() + "' is not a voter";
    if (change.replaced == context.self.self)
        return "the leader cannot be replaced";
    return check_promote(context, change);
}

refusal_reason check_change(const step_context& context, const voter_change& change)
{
    if (!context.self.leads)
        return "not the leader";
    if (context.self.log.term_of(context.self.committed) != context.self.hard.current_term)
        return "the leader has not committed in its own term yet; try again";
    if (context.self.log.voters_index() > context.self.committed &&
        !context.self.faults.overlaps_voter_changes)
        return "another voter change is in progress; try again";
    if (is_joint(context.self.log.voters()) != (change.kind == voter_change_kind::complete))
        return "a voter is being replaced; try again";
    switch (change.kind) {
    case voter_change_kind::add_learner:
        return check_add_learner(context, change);
    case voter_change_kind::promote:
        return check_promote(context, change);
    case voter_change_kind::remove:
        return check_remove(context, change);
    case voter_change_kind::replace:
        return check_replace(context, change);
    case voter_change_kind::complete:
        return {};
    }
    return "unknown change";
}

voter_set with_change(voter_set set, const voter_change& change)
{
    switch (change.kind) {
    case voter_change_kind::add_learner:
        set.learners.emplace(change.voter, change.process);
        return set;
    case voter_change_kind::promote:
        set.voters.insert(*set.learners.find(change.voter));
        break;
    case voter_change_kind::remove:
        set.voters.erase(change.voter);
        break;
    case voter_change_kind::replace:
        set.former_voters = set.voters;
        set.voters.insert(*set.learners.find(change.voter));
        set.voters.erase(change.replaced);
        break;
    case voter_change_kind::complete:
        set.former_voters.clear();
        return set;
    }
    set.learners.erase(change.voter);
    return set;
}

/**
 * Returns whether the members that respond are a quorum of `set` without the newest one, which may
 * have been lost since its last message. Only a group of one cannot grow otherwise.
 */
bool keeps_quorum(const step_context& context, const voter_set& set, const voter_change& change)
{
    auto responding = responding_members(context);
    const bool promotes =
        change.kind == voter_change_kind::promote || change.kind == voter_change_kind::replace;
    if (promotes && context.self.log.voters().voters.size() > 1)
        responding.erase(change.voter);
    return is_quorum(set, responding);
}

} // namespace

effects change_voters(replica& self, time_point now, const voter_change& change,
                      refusal_reason& reason)
{
    effects out;
    step_context context{self, now, out};
    reason = check_change(context, change);
    if (!reason.empty())
        return out;
    auto set = with_change(self.log.voters(), change);
    if (!keeps_quorum(context, set, change)) {
        reason = "would leave no quorum of voters that respond; remove a lost voter first";
        return out;
    }
    const auto members = all_members(set);
    std::erase_if(self.progress, [&](const auto& entry) {
        return entry.first != self.self && !members.contains(entry.first);
    });
    append_to_own_log(context, entry_kind::voters, wire::encode(set));
    acknowledge_own_log(context);
    replicate(context);
    return out;
}

} // namespace galenaturn::ledger
