#include "replicasteps.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

/** Returns the entries from `next` on that fit into one message. */
std::vector<log_entry> batch_from(const replica& self, log_index next)
{
    std::vector<log_entry> batch;
    std::size_t size = 0;
    for (auto index = next; index <= self.log.last_index(); index = index.next()) {
        const auto& entry = self.log.at(index);
        if (!batch.empty() && size + entry.payload.size() > self.options.largest_batch)
            break;
        size += entry.payload.size();
        batch.push_back(entry);
    }
    return batch;
}

void send_batch(step& at, const voter_id& follower, follower_progress& progress)
{
    const log_index previous{progress.next.value() - 1};
    append_request request{previous,          at.self.log.term_of(previous),
                           at.self.committed, at.self.last_round,
                           progress.life,     batch_from(at.self, progress.next)};
    for (const auto& entry : request.entries)
        progress.bytes_under_way += entry.payload.size();
    if (!request.entries.empty())
        progress.next = request.entries.back().index.next();
    send(at, follower, std::move(request));
}

/** Returns the last index from which the follower's log may agree with the leader's. */
log_index agreement_hint(const replica& self, const append_request& request)
{
    if (request.previous > self.log.last_index())
        return self.log.last_index();
    auto hint = request.previous;
    const auto conflicting = self.log.term_of(hint);
    while (hint > self.committed && self.log.term_of(hint) == conflicting)
        hint = log_index{hint.value() - 1};
    return hint;
}

/** Takes the entries that the log does not have yet. Entries that conflict give way. */
void take_entries(step& at, const append_request& request)
{
    auto& log = at.self.log;
    for (const auto& entry : request.entries) {
        if (entry.index <= log.base())
            continue;
        if (log.knows(entry.index)) {
            if (log.term_of(entry.index) == entry.entry_term)
                continue;
            GN_INVARIANT(entry.index > at.self.committed, {"index", entry.index},
                         {"committed", at.self.committed});
            log.cut_after(log_index{entry.index.value() - 1});
            at.out.cut_after = log.last_index();
        }
        log.append(entry);
        at.out.entries.push_back(entry);
    }
}

void reject(step& at, const peer_message& message, const append_request& request)
{
    send_after_sync(
        at, message.from,
        append_response{false, agreement_hint(at.self, request), request.round, at.self.life});
}

} // namespace

void handle(step& at, const peer_message& message, const append_request& request)
{
    auto& self = at.self;
    GN_INVARIANT(!self.leads, {"other_leader", message.from}, {"term", message.sender_term});
    expect_leader(at, message.from);
    if (request.previous >= self.log.base()) {
        if (!self.log.knows(request.previous) ||
            self.log.term_of(request.previous) != request.previous_term)
            return reject(at, message, request);
    }
    take_entries(at, request);
    const auto covered =
        std::max(self.log.base(), log_index{request.previous.value() + request.entries.size()});
    self.committed = std::max(self.committed, std::min(request.committed, covered));
    // A delayed request from before the start would name an older commit.
    if (request.follower_life == self.life && self.committed == request.committed &&
        self.committed >= self.log.base() && self.log.term_of(self.committed) == self.hard.current)
        self.caught_up = true;
    send_after_sync(at, message.from, append_response{true, covered, request.round, self.life});
    deliver_committed(at);
}

void handle(step& at, const peer_message& message, const append_response& response)
{
    auto& self = at.self;
    const auto found = self.progress.find(message.from);
    if (!self.leads || found == self.progress.end())
        return;
    auto& progress = found->second;
    progress.life = response.life;
    note_heard(at, progress, response.round);
    if (!response.accepted) {
        const auto from = std::max(response.matched, progress.matched).next();
        if (from < progress.next) {
            progress.next = from;
            progress.bytes_under_way = 0;
            replicate_to(at, message.from, false);
        }
        return;
    }
    progress.image_offset.reset();
    if (response.matched <= progress.matched) {
        replicate_to(at, message.from, false);
        return;
    }
    progress.matched = response.matched;
    progress.resend_due = at.now + self.options.election_timeout;
    progress.next = std::max(progress.next, progress.matched.next());
    progress.bytes_under_way = 0;
    for (auto index = progress.matched.next();
         index < progress.next && self.log.knows(index) && index > self.log.base();
         index = index.next())
        progress.bytes_under_way += self.log.at(index).payload.size();
    advance_commit(at);
    replicate_to(at, message.from, false);
}

log_index append_own(step& at, entry_kind kind, std::string payload)
{
    auto& self = at.self;
    log_entry entry{self.hard.current, self.log.last_index().next(), kind, std::move(payload)};
    self.log.append(entry);
    at.out.entries.push_back(std::move(entry));
    return self.log.last_index();
}

void acknowledge_own_log(step& at)
{
    send_after_sync(
        at, at.self.self,
        append_response{true, at.self.log.last_index(), at.self.last_round, at.self.life});
}

void replicate(step& at)
{
    for (const auto& [member, process] : all_members(at.self.log.voters()))
        replicate_to(at, member, false);
}

void replicate_to(step& at, const voter_id& follower, bool heartbeat)
{
    auto& self = at.self;
    if (follower == self.self || !self.leads)
        return;
    auto& progress = self.progress[follower];
    if (progress.next.value() == 0)
        progress.next = self.log.last_index().next();
    if (heartbeat && progress.matched.next() < progress.next && at.now >= progress.resend_due) {
        progress.next = progress.matched.next();
        progress.bytes_under_way = 0;
        progress.resend_due = at.now + self.options.election_timeout;
    }
    if (progress.next <= self.log.base())
        return send_image(at, follower, progress);
    if (heartbeat && progress.next > self.log.last_index())
        return send_batch(at, follower, progress);
    bool sent = false;
    while (progress.next <= self.log.last_index() &&
           progress.bytes_under_way < self.options.largest_window) {
        send_batch(at, follower, progress);
        sent = true;
    }
    if (heartbeat && !sent) {
        const log_index previous{progress.next.value() - 1};
        send(at, follower,
             append_request{previous,
                            self.log.term_of(previous),
                            self.committed,
                            self.last_round,
                            progress.life,
                            {}});
    }
}

void advance_commit(step& at)
{
    auto& self = at.self;
    std::map<voter_id, std::uint64_t> matched;
    for (const auto& [member, progress] : self.progress)
        matched.emplace(member, progress.matched.value());
    const log_index reached{quorum_value(self.log.voters(), matched)};
    if (reached <= self.committed)
        return;
    // Entries of earlier terms are committed only by one of the leader's own term after them.
    if (self.log.term_of(reached) != self.hard.current && !self.faults.commits_earlier_terms)
        return;
    self.committed = reached;
    deliver_committed(at);
    if (!is_voter(self, self.self) && self.log.voters_index() <= self.committed) {
        replicate(at);
        raise_event(at, "removed");
    }
}

void deliver_committed(step& at)
{
    auto& self = at.self;
    while (self.applied < self.committed) {
        self.applied = self.applied.next();
        at.out.committed.push_back(self.log.at(self.applied));
    }
}

} // namespace galenaturn::ledger
