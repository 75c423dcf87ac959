#include "replicasteps.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

image_chunk chunk_at(const replica& self, std::uint64_t offset)
{
    const auto& image = *self.outgoing_image;
    return {image.index,
            image.index_term,
            image.voters,
            offset,
            image.data.size(),
            self.last_round,
            image.data.substr(static_cast<std::size_t>(offset), self.options.largest_chunk)};
}

/** Starts to collect another image. */
void expect_image(replica& self, const image_chunk& chunk)
{
    self.incoming_image = {chunk.index, chunk.index_term, chunk.voters, {}};
    self.incoming_size = chunk.size;
}

void install(step& at)
{
    auto& self = at.self;
    const auto& image = self.incoming_image;
    if (self.log.knows(image.index) && self.log.term_of(image.index) == image.index_term)
        self.log.compact(image.index);
    else
        self.log = replica_log{image.index, image.index_term, image.voters};
    self.committed = std::max(self.committed, image.index);
    self.applied = std::max(self.applied, image.index);
    at.out.installed = std::move(self.incoming_image);
    self.incoming_image = {};
    self.incoming_size = 0;
}

} // namespace

effects offer_image(replica& self, time_point now, std::string data)
{
    effects out;
    step at{self, now, out};
    if (!self.leads)
        return out;
    self.outgoing_image = state_image{self.applied, self.log.term_of(self.applied),
                                      self.log.voters_at(self.applied), std::move(data)};
    replicate(at);
    return out;
}

void compact_log(replica& self, log_index image_index)
{
    const bool sending =
        std::any_of(self.progress.begin(), self.progress.end(),
                    [](const auto& entry) { return entry.second.image_offset.has_value(); });
    auto limit = std::min(image_index, self.applied);
    if (!sending)
        self.outgoing_image.reset();
    else if (self.outgoing_image && self.log.bytes_held() < self.options.largest_held_log)
        limit = std::min(limit, self.outgoing_image->index);
    auto target = self.log.base();
    auto left = self.log.bytes_held();
    while (target < limit && left > self.options.kept_bytes) {
        target = target.next();
        left -= self.log.at(target).payload.size();
    }
    self.log.compact(target);
}

void send_image(step& at, const voter_id& follower, follower_progress& progress)
{
    auto& self = at.self;
    // An image that is behind the log's own base would leave a gap after it.
    if (!self.outgoing_image || self.outgoing_image->index < self.log.base()) {
        progress.image_offset.reset();
        at.out.image_wanted = true;
        return;
    }
    if (progress.image_offset && at.now < progress.resend_due)
        return;
    if (!progress.image_offset)
        progress.image_offset = 0;
    progress.resend_due = at.now + 2 * self.options.heartbeat_interval;
    send(at, follower, chunk_at(self, *progress.image_offset));
}

void handle(step& at, const peer_message& message, const image_chunk& chunk)
{
    auto& self = at.self;
    expect_leader(at, message.from);
    if (chunk.index <= self.committed) {
        // Already here: the leader goes on with entries.
        send_after_sync(at, message.from,
                        append_response{true, self.committed, chunk.round, self.life});
        return;
    }
    auto& incoming = self.incoming_image;
    if (incoming.index != chunk.index || incoming.index_term != chunk.index_term ||
        self.incoming_size != chunk.size || chunk.offset == 0)
        expect_image(self, chunk);
    if (chunk.offset == incoming.data.size())
        incoming.data += chunk.data;
    if (incoming.data.size() < chunk.size) {
        send(at, message.from, image_response{chunk.index, incoming.data.size(), chunk.round});
        return;
    }
    install(at);
    send_after_sync(at, message.from, append_response{true, chunk.index, chunk.round, self.life});
}

void handle(step& at, const peer_message& message, const image_response& response)
{
    auto& self = at.self;
    const auto found = self.progress.find(message.from);
    if (!self.leads || found == self.progress.end())
        return;
    auto& progress = found->second;
    note_heard(at, progress, response.round);
    if (!progress.image_offset || !self.outgoing_image ||
        response.index != self.outgoing_image->index)
        return;
    if (response.received > self.outgoing_image->data.size())
        return;
    progress.image_offset = response.received;
    progress.resend_due = at.now + 2 * self.options.heartbeat_interval;
    send(at, message.from, chunk_at(self, response.received));
}

} // namespace galenaturn::ledger
