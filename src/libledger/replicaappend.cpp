#include "replicasteps.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

/** Returns the entries from index `next` on that fit into one message. */
std::vector<log_entry> batch_from(const replica& self, log_index next)
{
    std::vector<log_entry> batch;
    std::size_t size = 0;
    for (auto index = next; index <= self.log.last_index(); index = index.next()) {
        const auto& entry = self.log.at(index);
        if (!batch.empty() && size + entry.payload.size() > self.options.max_batch_bytes)
            break;
        size += entry.payload.size();
        batch.push_back(entry);
    }
    return batch;
}

void send_batch(step_context& context, const voter_id& follower, follower_progress& progress)
{
    const log_index previous{progress.next.value() - 1};
    append_request request{previous,
                           context.self.log.term_of(previous),
                           context.self.committed,
                           context.self.last_round,
                           progress.incarnation,
                           batch_from(context.self, progress.next)};
    for (const auto& entry : request.entries)
        progress.bytes_in_flight += entry.payload.size();
    if (!request.entries.empty())
        progress.next = request.entries.back().index.next();
    send(context, follower, std::move(request));
}

/** Returns the highest index up to which this log may match that of the leader. */
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

/** Appends the entries that the log lacks, after removing its own entries that conflict. */
void store_entries(step_context& context, const append_request& request)
{
    auto& log = context.self.log;
    for (const auto& entry : request.entries) {
        if (entry.index <= log.base())
            continue;
        if (log.has_term_of(entry.index)) {
            if (log.term_of(entry.index) == entry.entry_term)
                continue;
            GN_INVARIANT(entry.index > context.self.committed, {"index", entry.index},
                         {"committed", context.self.committed});
            log.truncate_after(log_index{entry.index.value() - 1});
            context.out.truncate_after = log.last_index();
        }
        log.append(entry);
        context.out.entries.push_back(entry);
    }
}

void reject(step_context& context, const peer_message& message, const append_request& request)
{
    send_after_sync(context, message.from,
                    append_response{false, agreement_hint(context.self, request), request.round,
                                    context.self.incarnation});
}

} // namespace

void handle(step_context& context, const peer_message& message, const append_request& request)
{
    auto& self = context.self;
    GN_INVARIANT(!self.leads, {"other_leader", message.from}, {"term", message.sender_term});
    accept_leader(context, message.from);
    if (request.previous >= self.log.base()) {
        if (!self.log.has_term_of(request.previous) ||
            self.log.term_of(request.previous) != request.previous_term)
            return reject(context, message, request);
    }
    store_entries(context, request);
    const auto covered =
        std::max(self.log.base(), log_index{request.previous.value() + request.entries.size()});
    self.committed = std::max(self.committed, std::min(request.committed, covered));
    // A request sent before this start may carry an older commit index, so it does not count.
    const bool sent_to_this_start =
        request.follower_incarnation == self.incarnation || self.faults.trusts_delayed_appends;
    if (sent_to_this_start && self.committed == request.committed &&
        self.committed >= self.log.base() &&
        self.log.term_of(self.committed) == self.hard.current_term)
        self.caught_up = true;
    send_after_sync(context, message.from,
                    append_response{true, covered, request.round, self.incarnation});
    deliver_committed(context);
}

void handle(step_context& context, const peer_message& message, const append_response& response)
{
    auto& self = context.self;
    const auto found = self.progress.find(message.from);
    if (!self.leads || found == self.progress.end())
        return;
    auto& progress = found->second;
    progress.incarnation = response.incarnation;
    record_contact(context, progress, response.round);
    if (!response.accepted) {
        const auto from = std::max(response.matched, progress.matched).next();
        if (from < progress.next) {
            progress.next = from;
            progress.bytes_in_flight = 0;
            replicate_to(context, message.from, false);
        }
        return;
    }
    progress.snapshot_offset.reset();
    if (response.matched <= progress.matched) {
        replicate_to(context, message.from, false);
        return;
    }
    progress.matched = response.matched;
    progress.resend_due = context.now + self.options.election_timeout;
    progress.next = std::max(progress.next, progress.matched.next());
    progress.bytes_in_flight = 0;
    for (auto index = progress.matched.next();
         index < progress.next && self.log.has_term_of(index) && index > self.log.base();
         index = index.next())
        progress.bytes_in_flight += self.log.at(index).payload.size();
    advance_commit(context);
    replicate_to(context, message.from, false);
}

log_index append_to_own_log(step_context& context, entry_kind kind, std::string payload)
{
    auto& self = context.self;
    log_entry entry{self.hard.current_term, self.log.last_index().next(), kind, std::move(payload)};
    self.log.append(entry);
    context.out.entries.push_back(std::move(entry));
    return self.log.last_index();
}

void acknowledge_own_log(step_context& context)
{
    send_after_sync(context, context.self.self,
                    append_response{true, context.self.log.last_index(), context.self.last_round,
                                    context.self.incarnation});
}

void replicate(step_context& context)
{
    for (const auto& [member, process] : all_members(context.self.log.voters()))
        replicate_to(context, member, false);
}

void replicate_to(step_context& context, const voter_id& follower, bool heartbeat)
{
    auto& self = context.self;
    if (follower == self.self || !self.leads)
        return;
    auto& progress = self.progress.try_emplace(follower, initial_progress(context)).first->second;
    if (heartbeat && progress.matched.next() < progress.next &&
        context.now >= progress.resend_due) {
        progress.next = progress.matched.next();
        progress.bytes_in_flight = 0;
        progress.resend_due = context.now + self.options.election_timeout;
    }
    if (progress.next <= self.log.base())
        return send_snapshot(context, follower, progress);
    if (heartbeat && progress.next > self.log.last_index())
        return send_batch(context, follower, progress);
    bool sent = false;
    while (progress.next <= self.log.last_index() &&
           progress.bytes_in_flight < self.options.max_in_flight_bytes) {
        send_batch(context, follower, progress);
        sent = true;
    }
    if (heartbeat && !sent) {
        const log_index previous{progress.next.value() - 1};
        send(context, follower,
             append_request{previous,
                            self.log.term_of(previous),
                            self.committed,
                            self.last_round,
                            progress.incarnation,
                            {}});
    }
}

void advance_commit(step_context& context)
{
    auto& self = context.self;
    std::map<voter_id, std::uint64_t> matched;
    for (const auto& [member, progress] : self.progress)
        matched.emplace(member, progress.matched.value());
    const log_index reached{quorum_value(self.log.voters(), matched)};
    if (reached <= self.committed)
        return;
    // Raft: an entry of an earlier term is committed only by a later one of the current term.
    if (self.log.term_of(reached) != self.hard.current_term && !self.faults.commits_earlier_terms)
        return;
    self.committed = reached;
    deliver_committed(context);
    if (!is_voter(self, self.self) && self.log.voters_index() <= self.committed) {
        replicate(context);
        raise_event(context, "removed");
    }
}

void deliver_committed(step_context& context)
{
    auto& self = context.self;
    while (self.applied < self.committed) {
        self.applied = self.applied.next();
        context.out.committed.push_back(self.log.at(self.applied));
    }
}

} // namespace galenaturn::ledger
