#include "replica.h"

#include "replicasteps.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

const chart_actions<step_context>& actions()
{
    static const chart_actions<step_context> table{
        {"ask_trial_votes", request_pre_votes},
        {"ask_votes", request_votes},
        {"lead", become_leader},
        {"cease_to_lead", step_down},
        {"follow", [](step_context& context) { reset_election_timer(context); }},
    };
    return table;
}

/** Returns whether voting now could break the lease of a leader, be it this replica or another. */
bool must_withhold_vote(const step_context& context)
{
    if (context.self.faults.ignores_leader_lease)
        return false;
    return context.now < context.self.votes_withheld_until ||
           (context.self.leads && context.now < context.self.lease_expires);
}

/** Returns whether a message is from an earlier term. */
bool is_outdated(const step_context& context, const peer_message& message)
{
    // The sender of a pre-vote response keeps its own term, which may be lower.
    const auto* vote = std::get_if<vote_response>(&message.body);
    if (vote != nullptr && vote->pre_vote)
        return false;
    return message.sender_term < context.self.hard.current_term &&
           !context.self.faults.accepts_old_terms;
}

void receive_body(step_context& context, const peer_message& message)
{
    if (const auto* request = std::get_if<vote_request>(&message.body)) {
        if (!must_withhold_vote(context))
            handle(context, message, *request);
        return;
    }
    const bool from_leader = std::holds_alternative<append_request>(message.body) ||
                             std::holds_alternative<snapshot_chunk>(message.body);
    if (message.sender_term > context.self.hard.current_term) {
        if (from_leader && context.self.leads && context.now < context.self.lease_expires)
            context.out.contradicting_leader = message.from;
        adopt_term(context, message.sender_term);
    }
    if (is_outdated(context, message)) {
        if (from_leader)
            send(context, message.from, append_response{false, {}, 0, context.self.incarnation});
        return;
    }
    std::visit([&](const auto& body) { handle(context, message, body); }, message.body);
}

} // namespace

std::vector<std::string> replica_actions()
{
    return action_names(actions());
}

replica make_replica(replica_start start, time_point now)
{
    replica self;
    self.self = std::move(start.self);
    self.options = start.options;
    self.faults = start.faults;
    self.chart = start.chart;
    self.random.seed(start.seed);
    self.incarnation = self.random();
    self.hard = std::move(start.hard);
    self.log = std::move(start.log);
    self.committed = self.log.base();
    self.applied = self.log.base();
    self.role = self.chart->initial;
    // Before the restart it may have acknowledged a heartbeat, on which a leader's lease relies.
    if (!self.faults.forgets_promise_at_start)
        self.votes_withheld_until = now + self.options.election_timeout;
    effects ignored;
    step_context context{self, now, ignored};
    reset_election_timer(context);
    return self;
}

effects tick(replica& self, time_point now)
{
    effects out;
    step_context context{self, now, out};
    if (self.leads) {
        check_quorum(context);
        if (disk_hangs(self, now))
            raise_event(context, "disk_hangs");
        if (self.leads && now >= self.heartbeat_due)
            send_heartbeats(context);
        return out;
    }
    if (now >= self.election_due) {
        reset_election_timer(context);
        if (may_campaign(self))
            raise_event(context, "election_due");
        else
            self.leader = voter_id{};
    }
    return out;
}

effects receive(replica& self, time_point now, const peer_message& message)
{
    effects out;
    step_context context{self, now, out};
    if (message.to == self.self)
        receive_body(context, message);
    return out;
}

effects propose(replica& self, time_point now, std::vector<std::string> commands,
                std::vector<log_index>& indexes)
{
    effects out;
    step_context context{self, now, out};
    indexes.clear();
    if (!may_propose(self))
        return out;
    for (auto& command : commands)
        indexes.push_back(append_to_own_log(context, entry_kind::command, std::move(command)));
    acknowledge_own_log(context);
    replicate(context);
    return out;
}

namespace {

/** Returns whether this replica leads and has applied all that was committed before its term. */
bool has_applied_earlier_terms(const replica& self)
{
    return self.leads && self.applied == self.committed &&
           self.log.term_of(self.committed) == self.hard.current_term;
}

} // namespace

bool needs_announcement(const replica& self)
{
    return self.log.last_index().value() == 0 || !is_member(self, self.self) ||
           (!self.leads && self.leader.empty());
}

bool may_read(const replica& self, time_point now)
{
    if (!has_applied_earlier_terms(self))
        return false;
    return now < self.lease_expires || self.faults.skips_quorum_check ||
           self.faults.reads_without_lease;
}

effects begin_read(replica& self, time_point now, std::uint64_t& round)
{
    effects out;
    step_context context{self, now, out};
    round = 0;
    if (!self.leads)
        return out;
    send_heartbeats(context);
    round = self.last_round;
    return out;
}

std::uint64_t confirmed_round(const replica& self)
{
    if (!has_applied_earlier_terms(self))
        return 0;
    return self.faults.reads_without_round ? self.last_round : acknowledged_round(self);
}

bool may_propose(const replica& self)
{
    if (!self.leads)
        return false;
    std::size_t backlog = 0;
    for (auto index = self.committed.next(); index <= self.log.last_index(); index = index.next())
        backlog += self.log.at(index).payload.size();
    return backlog < self.options.max_backlog_bytes;
}

time_point next_tick(const replica& self)
{
    return self.leads ? self.heartbeat_due : self.election_due;
}

void raise_event(step_context& context, std::string_view event)
{
    const auto before = context.self.role;
    if (apply_event(*context.self.chart, actions(), context.self.role, event, context) &&
        before != context.self.role) {
        context.out.role_changed = true;
        context.out.role_change_cause = event;
    }
}

void save_hard_state(step_context& context)
{
    context.out.hard = context.self.hard;
}

void adopt_term(step_context& context, term higher)
{
    GN_INVARIANT(higher > context.self.hard.current_term, {"term", higher},
                 {"own", context.self.hard.current_term});
    context.self.hard = {higher, voter_id{}};
    context.self.leader = voter_id{};
    save_hard_state(context);
    raise_event(context, "higher_term");
}

void accept_leader(step_context& context, const voter_id& leader)
{
    context.self.leader = leader;
    context.self.previous_leader = leader;
    context.self.previous_leader_contact = context.now;
    context.self.votes_withheld_until = context.now + context.self.options.election_timeout;
    reset_election_timer(context);
    if (context.self.role != "follower")
        raise_event(context, "leader_seen");
}

void reset_election_timer(step_context& context)
{
    const auto& options = context.self.options;
    const auto span = static_cast<std::uint64_t>(options.election_spread.count());
    const duration spread{static_cast<std::int64_t>(context.self.random() % span)};
    // A follower waits for its leader; a candidate only until its votes must have arrived.
    const auto wait =
        context.self.role == "follower" ? options.election_timeout : options.election_spread;
    // The vote for itself is withheld too. A role changes only after its actions, so the wait of a
    // candidate that has just heard of its leader would be too short.
    const auto withheld_until =
        context.self.faults.ignores_own_promise ? context.now : context.self.votes_withheld_until;
    context.self.election_due = std::max(context.now + wait, withheld_until) + spread;
}

void send(step_context& context, const voter_id& to, message_body body)
{
    context.out.messages.push_back(
        {context.self.self, to, context.self.hard.current_term, std::move(body)});
}

void send_after_sync(step_context& context, const voter_id& to, message_body body)
{
    auto& queue = context.self.faults.acknowledges_before_sync ? context.out.messages
                                                               : context.out.after_sync;
    queue.push_back({context.self.self, to, context.self.hard.current_term, std::move(body)});
}

bool is_voter(const replica& self, const voter_id& voter)
{
    const auto& set = self.log.voters();
    return set.voters.contains(voter) || set.former_voters.contains(voter);
}

bool may_campaign(const replica& self)
{
    const auto changed = self.log.voters_index();
    if (is_voter(self, self.self) || changed <= self.committed)
        return is_voter(self, self.self);
    const log_index before{changed.value() - 1};
    return all_voters(self.log.voters_at(before)).contains(self.self);
}

bool is_member(const replica& self, const voter_id& voter)
{
    return is_voter(self, voter) || self.log.voters().learners.contains(voter);
}

} // namespace galenaturn::ledger
