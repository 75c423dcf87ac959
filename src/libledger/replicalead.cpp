#include "replicasteps.h"

namespace galenaturn::ledger {

void lead(step& at)
{
    auto& self = at.self;
    self.leads = true;
    self.leader = self.self;
    self.leading_since = at.now;
    self.lease_until = time_point{};
    self.progress.clear();
    self.rounds.clear();
    self.outgoing_image.reset();
    for (const auto& [member, process] : all_members(self.log.voters())) {
        follower_progress progress;
        progress.next = self.log.last_index().next();
        progress.last_heard = at.now;
        progress.resend_due = at.now + self.options.election_timeout;
        self.progress.emplace(member, progress);
    }
    begin_round(at);
    append_own(at, entry_kind::empty, {});
    acknowledge_own_log(at);
    replicate(at);
}

void cease_to_lead(step& at)
{
    at.self.leads = false;
    at.self.leader = voter_id{};
    at.self.lease_until = time_point{};
    at.self.progress.clear();
    at.self.outgoing_image.reset();
}

void begin_round(step& at)
{
    auto& self = at.self;
    self.rounds.push_back({++self.last_round, at.now});
    self.heartbeat_due = at.now + self.options.heartbeat_interval;
    while (self.rounds.front().sent + self.options.election_timeout < at.now)
        self.rounds.pop_front();
    self.progress[self.self].acknowledged_round = self.last_round;
    self.progress[self.self].last_heard = at.now;
    renew_lease(at);
}

void note_heard(step& at, follower_progress& follower, std::uint64_t round)
{
    follower.last_heard = at.now;
    if (round <= follower.acknowledged_round || round > at.self.last_round)
        return;
    follower.acknowledged_round = round;
    renew_lease(at);
}

void renew_lease(step& at)
{
    auto& self = at.self;
    std::map<voter_id, std::uint64_t> acknowledged;
    for (const auto& [member, progress] : self.progress)
        acknowledged.emplace(member, progress.acknowledged_round);
    const auto reached = quorum_value(self.log.voters(), acknowledged);
    for (const auto& round : self.rounds) {
        if (round.number == reached)
            self.lease_until = std::max(self.lease_until, round.sent + self.options.lease);
    }
}

void watch_quorum(step& at)
{
    auto& self = at.self;
    if (self.faults.skips_quorum_check)
        return;
    std::size_t heard = 0;
    for (const auto& [voter, process] : self.log.voters().voters) {
        const auto progress = self.progress.find(voter);
        const bool alive = voter == self.self ||
                           (progress != self.progress.end() &&
                            at.now - progress->second.last_heard < self.options.election_timeout);
        heard += alive ? 1 : 0;
    }
    if (heard < quorum_size(self.log.voters()))
        raise_event(at, "quorum_lost");
}

} // namespace galenaturn::ledger
