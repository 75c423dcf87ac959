#include "replicasteps.h"

namespace galenaturn::ledger {

namespace {

/** Returns how many voters of `set` the leader has heard within an election timeout. */
std::size_t voters_heard(const step& at, const voter_set& set)
{
    std::size_t heard = 0;
    for (const auto& [voter, process] : set.voters) {
        const auto progress = at.self.progress.find(voter);
        const bool alive = voter == at.self.self || (progress != at.self.progress.end() &&
                                                     at.now - progress->second.last_heard <
                                                         at.self.options.election_timeout);
        heard += alive ? 1 : 0;
    }
    return heard;
}

refusal refuse_add(const step& at, const voter_change& change)
{
    if (is_member(at.self, change.voter))
        return "voter '" + change.voter.value() + "' is already a member";
    for (const auto& [voter, process] : all_members(at.self.log.voters())) {
        if (process == change.process && at.self.log.voters().learners.contains(voter))
            return "process '" + process.value() + "' already has learner '" + voter.value() + "'";
    }
    return {};
}

refusal refuse_promote(const step& at, const voter_change& change)
{
    if (!at.self.log.voters().learners.contains(change.voter))
        return "'" + change.voter.value() + "' is not a learner";
    const auto progress = at.self.progress.find(change.voter);
    if (progress == at.self.progress.end() || progress->second.matched < at.self.committed)
        return "learner '" + change.voter.value() + "' has not caught up yet";
    return {};
}

refusal refuse_remove(const step& at, const voter_change& change)
{
    if (!is_member(at.self, change.voter))
        return "'" + change.voter.value() + "' is not a member";
    if (is_voter(at.self, change.voter) && at.self.log.voters().voters.size() == 1)
        return "the last voter cannot be removed";
    return {};
}

refusal refuse(const step& at, const voter_change& change)
{
    if (!at.self.leads)
        return "not the leader";
    if (at.self.log.term_of(at.self.committed) != at.self.hard.current)
        return "the leader has not committed in its own term yet; try again";
    if (at.self.log.voters_index() > at.self.committed && !at.self.faults.overlaps_voter_changes)
        return "another change of the voters is under way; try again";
    switch (change.kind) {
    case voter_change_kind::add_learner:
        return refuse_add(at, change);
    case voter_change_kind::promote:
        return refuse_promote(at, change);
    case voter_change_kind::remove:
        return refuse_remove(at, change);
    }
    return "unknown change";
}

voter_set changed(voter_set set, const voter_change& change)
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

effects change_voters(replica& self, time_point now, const voter_change& change, refusal& reason)
{
    effects out;
    step at{self, now, out};
    reason = refuse(at, change);
    if (!reason.empty())
        return out;
    auto set = changed(self.log.voters(), change);
    if (voters_heard(at, set) < quorum_size(set)) {
        reason = "would leave no quorum: only " + std::to_string(voters_heard(at, set)) + " of " +
                 std::to_string(set.voters.size()) + " voters answer";
        return out;
    }
    append_own(at, entry_kind::voters, wire::encode(set));
    acknowledge_own_log(at);
    replicate(at);
    return out;
}

} // namespace galenaturn::ledger
