#include "replicasteps.h"

namespace galenaturn::ledger {

namespace {

bool won(const replica& self)
{
    std::size_t granted = 0;
    for (const auto& voter : self.votes)
        granted += is_voter(self, voter) ? 1 : 0;
    return granted >= quorum_size(self.log.voters());
}

/** Returns whether the candidate's log has everything that may be committed in ours. */
bool log_suffices(const replica& self, const vote_request& request)
{
    if (self.faults.ignores_candidate_log)
        return true;
    if (request.last_term != self.log.last_term())
        return request.last_term > self.log.last_term();
    return request.last_index >= self.log.last_index();
}

void ask_others(step& at, bool trial, term candidate_term)
{
    const vote_request request{trial, candidate_term, at.self.log.last_index(),
                               at.self.log.last_term()};
    for (const auto& [voter, process] : at.self.log.voters().voters) {
        if (voter != at.self.self)
            send_after_sync(at, voter, request);
    }
}

} // namespace

void ask_trial_votes(step& at)
{
    at.self.leader = voter_id{};
    at.self.votes = {at.self.self};
    const auto candidate_term = at.self.hard.current.next();
    ask_others(at, true, candidate_term);
    // A replica that is the only voter asks itself, so that the chart moves by one event a step.
    if (won(at.self))
        send_after_sync(at, at.self.self, vote_response{true, candidate_term, true});
}

void ask_votes(step& at)
{
    at.self.hard = {at.self.hard.current.next(), at.self.self};
    save_hard_state(at);
    at.self.votes.clear();
    reset_election(at);
    ask_others(at, false, at.self.hard.current);
    send_after_sync(at, at.self.self, vote_response{false, at.self.hard.current, true});
}

void handle(step& at, const peer_message& message, const vote_request& request)
{
    auto& self = at.self;
    if (request.trial) {
        const bool granted =
            request.candidate_term > self.hard.current && log_suffices(self, request);
        send(at, message.from, vote_response{true, request.candidate_term, granted});
        return;
    }
    if (request.candidate_term > self.hard.current)
        adopt_term(at, request.candidate_term);
    const bool free = self.hard.voted_for.empty() || self.hard.voted_for == message.from ||
                      self.faults.votes_twice;
    const bool granted = request.candidate_term == self.hard.current && !self.leads && free &&
                         log_suffices(self, request);
    if (granted) {
        self.hard.voted_for = message.from;
        save_hard_state(at);
        reset_election(at);
    }
    send_after_sync(at, message.from, vote_response{false, request.candidate_term, granted});
}

void handle(step& at, const peer_message& message, const vote_response& response)
{
    auto& self = at.self;
    const auto* expected_role = response.trial ? "trial" : "candidate";
    const auto expected_term = response.trial ? self.hard.current.next() : self.hard.current;
    if (self.role != expected_role || response.candidate_term != expected_term || !response.granted)
        return;
    self.votes.insert(message.from);
    if (won(self))
        raise_event(at, response.trial ? "trial_won" : "vote_won");
}

} // namespace galenaturn::ledger
