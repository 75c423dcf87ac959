#include "replica.h"

#include "replicasteps.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

const chart_actions<step>& actions()
{
    static const chart_actions<step> table{
        {"ask_trial_votes", ask_trial_votes},
        {"ask_votes", ask_votes},
        {"lead", lead},
        {"cease_to_lead", cease_to_lead},
        {"follow", [](step& at) { reset_election(at); }},
    };
    return table;
}

/** Returns whether this replica has promised some leader not to vote yet. */
bool bound_to_leader(const step& at)
{
    if (at.self.faults.ignores_leader_promise)
        return false;
    return at.now < at.self.votes_refused_until || (at.self.leads && at.now < at.self.lease_until);
}

/** Returns whether a message is from a term that is over. */
bool outdated(const step& at, const peer_message& message)
{
    // Who answers a trial may not have heard of the candidate's term yet.
    const auto* vote = std::get_if<vote_response>(&message.body);
    if (vote != nullptr && vote->trial)
        return false;
    return message.sender_term < at.self.hard.current && !at.self.faults.accepts_old_terms;
}

void receive_body(step& at, const peer_message& message)
{
    if (const auto* request = std::get_if<vote_request>(&message.body)) {
        if (!bound_to_leader(at))
            handle(at, message, *request);
        return;
    }
    if (message.sender_term > at.self.hard.current)
        adopt_term(at, message.sender_term);
    if (outdated(at, message)) {
        const bool from_leader = std::holds_alternative<append_request>(message.body) ||
                                 std::holds_alternative<image_chunk>(message.body);
        if (from_leader)
            send(at, message.from, append_response{false, {}, 0, at.self.life});
        return;
    }
    std::visit([&](const auto& body) { handle(at, message, body); }, message.body);
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
    self.life = self.random();
    self.hard = std::move(start.hard);
    self.log = std::move(start.log);
    self.committed = self.log.base();
    self.applied = self.log.base();
    self.role = self.chart->initial;
    // It may have promised a leader before it stopped.
    self.votes_refused_until = now + self.options.election_timeout;
    effects ignored;
    step at{self, now, ignored};
    reset_election(at);
    return self;
}

effects tick(replica& self, time_point now)
{
    effects out;
    step at{self, now, out};
    if (self.leads) {
        watch_quorum(at);
        if (self.leads && now >= self.heartbeat_due) {
            begin_round(at);
            for (const auto& [member, process] : all_members(self.log.voters()))
                replicate_to(at, member, true);
        }
        return out;
    }
    if (now >= self.election_due) {
        reset_election(at);
        if (is_voter(self, self.self))
            raise_event(at, "election_due");
    }
    return out;
}

effects receive(replica& self, time_point now, const peer_message& message)
{
    effects out;
    step at{self, now, out};
    if (message.to == self.self)
        receive_body(at, message);
    return out;
}

effects propose(replica& self, time_point now, std::vector<std::string> commands,
                std::vector<log_index>& indexes)
{
    effects out;
    step at{self, now, out};
    indexes.clear();
    if (!may_propose(self))
        return out;
    for (auto& command : commands)
        indexes.push_back(append_own(at, entry_kind::command, std::move(command)));
    acknowledge_own_log(at);
    replicate(at);
    return out;
}

bool may_read(const replica& self, time_point now)
{
    if (!self.leads || self.applied != self.committed)
        return false;
    if (self.log.term_of(self.committed) != self.hard.current)
        return false;
    return now < self.lease_until || self.faults.skips_quorum_check;
}

bool may_propose(const replica& self)
{
    if (!self.leads)
        return false;
    std::size_t backlog = 0;
    for (auto index = self.committed.next(); index <= self.log.last_index(); index = index.next())
        backlog += self.log.at(index).payload.size();
    return backlog < self.options.largest_backlog;
}

time_point next_tick(const replica& self)
{
    return self.leads ? self.heartbeat_due : self.election_due;
}

void raise_event(step& at, std::string_view event)
{
    const auto before = at.self.role;
    if (apply_event(*at.self.chart, actions(), at.self.role, event, at) && before != at.self.role)
        at.out.role_changed = true;
}

void save_hard_state(step& at)
{
    at.out.hard = at.self.hard;
}

void adopt_term(step& at, term higher)
{
    GN_INVARIANT(higher > at.self.hard.current, {"term", higher}, {"own", at.self.hard.current});
    at.self.hard = {higher, voter_id{}};
    at.self.leader = voter_id{};
    save_hard_state(at);
    raise_event(at, "higher_term");
}

void expect_leader(step& at, const voter_id& leader)
{
    at.self.leader = leader;
    at.self.votes_refused_until = at.now + at.self.options.election_timeout;
    reset_election(at);
    if (at.self.role != "follower")
        raise_event(at, "leader_seen");
}

void reset_election(step& at)
{
    const auto span = static_cast<std::uint64_t>(at.self.options.election_timeout.count());
    const duration spread{static_cast<std::int64_t>(at.self.random() % span)};
    at.self.election_due = at.now + at.self.options.election_timeout + spread;
}

void send(step& at, const voter_id& to, message_body body)
{
    at.out.messages.push_back({at.self.self, to, at.self.hard.current, std::move(body)});
}

void send_after_sync(step& at, const voter_id& to, message_body body)
{
    auto& queue = at.self.faults.acknowledges_before_sync ? at.out.messages : at.out.after_sync;
    queue.push_back({at.self.self, to, at.self.hard.current, std::move(body)});
}

bool is_voter(const replica& self, const voter_id& voter)
{
    return self.log.voters().voters.contains(voter);
}

bool is_member(const replica& self, const voter_id& voter)
{
    return is_voter(self, voter) || self.log.voters().learners.contains(voter);
}

} // namespace galenaturn::ledger
