#include "replicasteps.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

snapshot_chunk chunk_at(const replica& self, std::uint64_t offset)
{
    const auto& snapshot = *self.outgoing_snapshot;
    return {snapshot.index,
            snapshot.index_term,
            snapshot.voters,
            offset,
            snapshot.data.size(),
            self.last_round,
            snapshot.data.substr(static_cast<std::size_t>(offset), self.options.max_chunk_bytes)};
}

/** Starts receiving another snapshot. */
void begin_snapshot(replica& self, const snapshot_chunk& chunk)
{
    self.incoming_snapshot = {chunk.index, chunk.index_term, chunk.voters, {}};
    self.incoming_snapshot_bytes = chunk.size;
}

void install_snapshot(step_context& context)
{
    auto& self = context.self;
    const auto& snapshot = self.incoming_snapshot;
    if (self.log.has_term_of(snapshot.index) &&
        self.log.term_of(snapshot.index) == snapshot.index_term)
        self.log.compact(snapshot.index);
    else
        self.log = replica_log{snapshot.index, snapshot.index_term, snapshot.voters};
    self.committed = std::max(self.committed, snapshot.index);
    self.applied = std::max(self.applied, snapshot.index);
    context.out.installed = std::move(self.incoming_snapshot);
    self.incoming_snapshot = {};
    self.incoming_snapshot_bytes = 0;
}

} // namespace

effects offer_snapshot(replica& self, time_point now, std::string data)
{
    effects out;
    step_context context{self, now, out};
    if (!self.leads)
        return out;
    self.outgoing_snapshot = state_snapshot{self.applied, self.log.term_of(self.applied),
                                            self.log.voters_at(self.applied), std::move(data)};
    replicate(context);
    return out;
}

void compact_log(replica& self, log_index snapshot_index)
{
    const bool sending =
        std::any_of(self.progress.begin(), self.progress.end(),
                    [](const auto& entry) { return entry.second.snapshot_offset.has_value(); });
    auto limit = std::min(snapshot_index, self.applied);
    if (!sending)
        self.outgoing_snapshot.reset();
    else if (self.outgoing_snapshot &&
             self.log.payload_bytes() < self.options.max_log_bytes_during_transfer)
        limit = std::min(limit, self.outgoing_snapshot->index);
    auto target = self.log.base();
    auto remaining = self.log.payload_bytes();
    while (target < limit && remaining > self.options.retained_log_bytes) {
        target = target.next();
        remaining -= self.log.at(target).payload.size();
    }
    self.log.compact(target);
}

void send_snapshot(step_context& context, const voter_id& follower, follower_progress& progress)
{
    auto& self = context.self;
    // A snapshot older than the base of the log would leave a gap between them.
    if (!self.outgoing_snapshot || self.outgoing_snapshot->index < self.log.base()) {
        progress.snapshot_offset.reset();
        context.out.snapshot_needed = true;
        return;
    }
    if (progress.snapshot_offset && context.now < progress.resend_due)
        return;
    if (!progress.snapshot_offset)
        progress.snapshot_offset = 0;
    progress.resend_due = context.now + 2 * self.options.heartbeat_interval;
    send(context, follower, chunk_at(self, *progress.snapshot_offset));
}

void handle(step_context& context, const peer_message& message, const snapshot_chunk& chunk)
{
    auto& self = context.self;
    accept_leader(context, message.from);
    if (chunk.index <= self.committed) {
        // The snapshot is not needed: the leader continues with entries.
        send_after_sync(context, message.from,
                        append_response{true, self.committed, chunk.round, self.incarnation});
        return;
    }
    auto& incoming = self.incoming_snapshot;
    if (incoming.index != chunk.index || incoming.index_term != chunk.index_term ||
        self.incoming_snapshot_bytes != chunk.size || chunk.offset == 0)
        begin_snapshot(self, chunk);
    if (chunk.offset == incoming.data.size())
        incoming.data += chunk.data;
    if (incoming.data.size() < chunk.size) {
        send(context, message.from,
             snapshot_response{chunk.index, incoming.data.size(), chunk.round});
        return;
    }
    install_snapshot(context);
    send_after_sync(context, message.from,
                    append_response{true, chunk.index, chunk.round, self.incarnation});
}

void handle(step_context& context, const peer_message& message, const snapshot_response& response)
{
    auto& self = context.self;
    const auto found = self.progress.find(message.from);
    if (!self.leads || found == self.progress.end())
        return;
    auto& progress = found->second;
    record_contact(context, progress, response.round);
    if (!progress.snapshot_offset || !self.outgoing_snapshot ||
        response.index != self.outgoing_snapshot->index)
        return;
    if (response.received > self.outgoing_snapshot->data.size())
        return;
    progress.snapshot_offset = response.received;
    progress.resend_due = context.now + 2 * self.options.heartbeat_interval;
    send(context, message.from, chunk_at(self, response.received));
}

} // namespace galenaturn::ledger
