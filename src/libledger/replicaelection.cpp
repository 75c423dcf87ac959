#include "replicasteps.h"

namespace galenaturn::ledger {

namespace {

bool has_vote_quorum(const replica& self)
{
    return is_quorum(self.log.voters(), self.votes);
}

/** Returns whether the candidate's log is at least as up to date as the log of this replica. */
bool log_is_up_to_date(const replica& self, const vote_request& request)
{
    if (self.faults.ignores_candidate_log)
        return true;
    if (request.last_term != self.log.last_term())
        return request.last_term > self.log.last_term();
    return request.last_index >= self.log.last_index();
}

void send_vote_requests(step_context& context, bool pre_vote, term candidate_term)
{
    const vote_request request{pre_vote, candidate_term, context.self.log.last_index(),
                               context.self.log.last_term()};
    for (const auto& [voter, process] : all_voters(context.self.log.voters())) {
        if (voter != context.self.self)
            send_after_sync(context, voter, request);
    }
}

} // namespace

void request_pre_votes(step_context& context)
{
    context.self.leader = voter_id{};
    context.self.votes = {context.self.self};
    const auto candidate_term = context.self.hard.current_term.next();
    send_vote_requests(context, true, candidate_term);
    // The only voter sends itself a response: the state chart handles one event in each step.
    if (has_vote_quorum(context.self))
        send_after_sync(context, context.self.self, vote_response{true, candidate_term, true});
}

void request_votes(step_context& context)
{
    context.self.hard = {context.self.hard.current_term.next(), context.self.self};
    save_hard_state(context);
    context.self.votes.clear();
    reset_election_timer(context);
    send_vote_requests(context, false, context.self.hard.current_term);
    send_after_sync(context, context.self.self,
                    vote_response{false, context.self.hard.current_term, true});
}

void handle(step_context& context, const peer_message& message, const vote_request& request)
{
    auto& self = context.self;
    if (request.pre_vote) {
        const bool granted =
            request.candidate_term > self.hard.current_term && log_is_up_to_date(self, request);
        send(context, message.from, vote_response{true, request.candidate_term, granted});
        return;
    }
    if (request.candidate_term > self.hard.current_term)
        adopt_term(context, request.candidate_term);
    const bool vote_available = self.hard.voted_for.empty() ||
                                self.hard.voted_for == message.from || self.faults.votes_twice;
    const bool granted = request.candidate_term == self.hard.current_term && !self.leads &&
                         vote_available && log_is_up_to_date(self, request);
    if (granted) {
        self.hard.voted_for = message.from;
        save_hard_state(context);
        reset_election_timer(context);
    }
    send_after_sync(context, message.from, vote_response{false, request.candidate_term, granted});
}

void handle(step_context& context, const peer_message& message, const vote_response& response)
{
    auto& self = context.self;
    const auto* expected_role = response.pre_vote ? "trial" : "candidate";
    const auto expected_term =
        response.pre_vote ? self.hard.current_term.next() : self.hard.current_term;
    if (self.role != expected_role || response.candidate_term != expected_term || !response.granted)
        return;
    self.votes.insert(message.from);
    if (has_vote_quorum(self))
        raise_event(context, response.pre_vote ? "trial_won" : "vote_won");
}

} // namespace galenaturn::ledger
