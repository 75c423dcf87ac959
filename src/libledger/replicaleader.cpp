#include "replicasteps.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

void count_from_receipt(step_context& context, std::uint64_t number)
{
    for (auto& round : context.self.rounds) {
        if (round.number == number)
            round.sent = context.now;
    }
}

} // namespace

void become_leader(step_context& context)
{
    auto& self = context.self;
    self.leads = true;
    self.leader = self.self;
    self.leader_since = context.now;
    self.lease_expires = time_point{};
    self.progress.clear();
    self.rounds.clear();
    self.outgoing_snapshot.reset();
    for (const auto& [member, process] : all_members(self.log.voters())) {
        auto progress = initial_progress(context);
        // The previous leader may be lost unless it took part in this election.
        if (member == self.previous_leader && !self.votes.contains(member))
            progress.last_contact = self.previous_leader_contact;
        self.progress.emplace(member, progress);
    }
    self.previous_leader = voter_id{};
    begin_round(context);
    append_to_own_log(context, entry_kind::empty, {});
    acknowledge_own_log(context);
    replicate(context);
}

follower_progress initial_progress(const step_context& context)
{
    follower_progress progress;
    progress.next = context.self.log.last_index().next();
    progress.last_contact = context.now;
    progress.resend_due = context.now + context.self.options.election_timeout;
    return progress;
}

void step_down(step_context& context)
{
    context.out.lease_left = std::max(context.self.lease_expires - context.now, duration{});
    context.self.leads = false;
    context.self.leader = voter_id{};
    context.self.lease_expires = time_point{};
    context.self.progress.clear();
    context.self.outgoing_snapshot.reset();
}

void begin_round(step_context& context)
{
    auto& self = context.self;
    self.rounds.push_back({++self.last_round, context.now, self.committed});
    self.heartbeat_due = context.now + self.options.heartbeat_interval;
    while (self.rounds.front().sent + self.options.election_timeout < context.now)
        self.rounds.pop_front();
    auto& own = self.progress[self.self];
    own.acknowledged_round = self.last_round;
    if (own.matched == self.log.last_index())
        own.last_contact = context.now;
    renew_lease(context);
}

void send_heartbeats(step_context& context)
{
    begin_round(context);
    for (const auto& [member, process] : all_members(context.self.log.voters()))
        replicate_to(context, member, true);
}

std::uint64_t acknowledged_round(const replica& self)
{
    std::map<voter_id, std::uint64_t> acknowledged;
    for (const auto& [member, progress] : self.progress)
        acknowledged.emplace(member, progress.acknowledged_round);
    return quorum_value(self.log.voters(), acknowledged);
}

void record_contact(step_context& context, follower_progress& follower, std::uint64_t round)
{
    follower.last_contact = context.now;
    if (round <= follower.acknowledged_round || round > context.self.last_round)
        return;
    follower.acknowledged_round = round;
    if (context.self.faults.counts_lease_from_receipt)
        count_from_receipt(context, round);
    renew_lease(context);
}

void renew_lease(step_context& context)
{
    auto& self = context.self;
    const auto reached = acknowledged_round(self);
    for (const auto& round : self.rounds) {
        if (round.number == reached)
            self.lease_expires = std::max(self.lease_expires, round.sent + self.options.lease);
    }
}

bool has_caught_up(const replica& leader, const voter_id& member)
{
    const auto progress = leader.progress.find(member);
    if (progress == leader.progress.end())
        return false;
    const auto round =
        std::find_if(leader.rounds.begin(), leader.rounds.end(), [&](const auto& sent) {
            return sent.number == progress->second.acknowledged_round;
        });
    return round != leader.rounds.end() && progress->second.matched >= round->committed;
}

std::set<voter_id> responding_members(const step_context& context)
{
    const auto& self = context.self;
    std::set<voter_id> responding{self.self};
    for (const auto& [member, progress] : self.progress) {
        if (context.now - progress.last_contact < self.options.election_timeout)
            responding.insert(member);
    }
    return responding;
}

void check_quorum(step_context& context)
{
    auto& self = context.self;
    if (self.faults.skips_quorum_check)
        return;
    if (!is_quorum(self.log.voters(), responding_members(context)))
        raise_event(context, "quorum_lost");
}

bool disk_hangs(const replica& self, time_point now)
{
    if (!self.leads)
        return false;
    const auto& own = self.progress.at(self.self);
    return own.matched < self.log.last_index() &&
           now - own.last_contact >= self.options.max_own_sync_time;
}

} // namespace galenaturn::ledger
