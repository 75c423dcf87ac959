#include "replicasteps.h"

namespace galenaturn::ledger {

namespace {

/** Returns how many voters of `set` responded to the leader within the last election timeout. */
std::size_t count_reachable_voters(const step_context& context, const voter_set& set)
{
    std::size_t reachable = 0;
    for (const auto& [voter, process] : set.voters) {
        const auto progress = context.self.progress.find(voter);
        const bool alive =
            voter == context.self.self ||
            (progress != context.self.progress.end() &&
             context.now - progress->second.last_contact < context.self.options.election_timeout);
        reachable += alive ? 1 : 0;
    }
    return reachable;
}

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

refusal_reason check_change(const step_context& context, const voter_change& change)
{
    if (!context.self.leads)
        return "not the leader";
    if (context.self.log.term_of(context.self.committed) != context.self.hard.current_term)
        return "the leader has not committed in its own term yet; try again";
    if (context.self.log.voters_index() > context.self.committed &&
        !context.self.faults.overlaps_voter_changes)
        return "another voter change is in progress; try again";
    switch (change.kind) {
    case voter_change_kind::add_learner:
        return check_add_learner(context, change);
    case voter_change_kind::promote:
        return check_promote(context, change);
    case voter_change_kind::remove:
        return check_remove(context, change);
    }
    return "unknown change";
}

voter_set with_change(voter_set set, const voter_change& change)
{
    if (change.kind == voter_change_kind::add_learner) {
        set.learners.emplace(change.voter, change.process);
        return set;
    }
    if (change.kind == voter_change_kind::promote)
        set.voters.insert(*set.learners.find(change.voter));
    else
        set.voters.erase(change.voter);
    set.learners.erase(change.voter);
    return set;
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
    if (count_reachable_voters(context, set) < quorum_size(set)) {
        reason = "would leave no quorum: only " +
                 std::to_string(count_reachable_voters(context, set)) + " of " +
                 std::to_string(set.voters.size()) + " voters respond";
        return out;
    }
    if (change.kind == voter_change_kind::remove && change.voter != self.self)
        self.progress.erase(change.voter);
    append_to_own_log(context, entry_kind::voters, wire::encode(set));
    acknowledge_own_log(context);
    replicate(context);
    return out;
}

} // namespace galenaturn::ledger
