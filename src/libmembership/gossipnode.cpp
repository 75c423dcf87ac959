#include "gossipnode.h"

#include <algorithm>
#include <utility>

namespace galenaturn::membership {

namespace {

/** How often an entry exchanges list changes with a neighbour (another entry of its domain). */
constexpr std::chrono::milliseconds exchange_interval{500};
/** How often a process probes a member of any domain. */
constexpr std::chrono::milliseconds probe_interval{1000};
/** Departures within this interval are sent together. */
constexpr std::chrono::milliseconds push_interval{100};
/** Time without an ack after which other members are asked to ping the target. */
constexpr std::chrono::milliseconds ack_timeout{300};
/** Time without a direct or indirect ack after which the target becomes suspect. */
constexpr std::chrono::milliseconds indirect_timeout{1000};
/** Number of members that are asked to ping an unresponsive target. */
constexpr std::size_t indirect_probe_count = 2;
/** Maximum encoded size of a message, so that it fits into one datagram with all headers. */
constexpr std::size_t max_message_bytes = 1240;
/** Maximum number of digests in one message, beside that of the receiver. */
constexpr std::size_t max_digests = 20;
constexpr std::size_t ip_and_udp_header_bytes = 28;
/** Magic, version, checksum and the lengths in the envelope. */
constexpr std::size_t datagram_header_bytes = 8 + 3 * 8;
/** Share of the budget that is reserved for probes: departures are sent only while more is left. */
constexpr double probe_reserve = 0.1;
/** Share that is reserved for probes and departures: arrivals are sent only while more is left. */
constexpr double departure_reserve = 0.4;
/** Share of the join budget that is reserved for starting processes. */
constexpr double join_reserve = 0.5;
/** Maximum number of messages with this process's own changes that follow one exchange. */
constexpr std::size_t max_catch_up_messages = 8;
/** Share that is reserved for all other traffic: loads are sent only while more is left. */
constexpr double load_reserve = 0.7;
/** Maximum size of the loads in one message. */
constexpr std::size_t max_load_bytes = 240;
/** Maximum number of upstreams whose last sent load is kept for one neighbour. */
constexpr std::size_t max_sent_loads = 8192;

} // namespace

std::size_t wire_size(const gossip_message& message, const member_settings& sender)
{
    return wire::encode(message).size() + ip_and_udp_header_bytes + datagram_header_bytes +
           sender.id.value().size() + sender.domain.value().size();
}

gossip_node::gossip_node(gossip_settings settings, state_chart chart, std::mt19937_64 random)
    : settings_{std::move(settings)}, random_{random},
      members_{settings_.members, settings_.self.id, incarnation{settings_.start_number}},
      upstreams_{std::move(chart), key_of(settings_.self.id), settings_.start_number},
      routine_budget_{settings_.budget.rate, settings_.budget.burst},
      join_budget_{settings_.budget.join_rate, settings_.budget.join_burst}
{
}

bool gossip_node::is_neighbour(member_key key) const
{
    const auto* member = members_.find(key);
    return member != nullptr && key != members_.self().key &&
           settings_.self.role == process_role::entry &&
           member->settings.role == process_role::entry &&
           member->settings.domain == settings_.self.domain;
}

gossip_message gossip_node::make_message(gossip_kind kind, member_key to, std::uint32_t sequence,
                                         time_point now)
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender_incarnation = members_.self().incarnation_number;
    const bool without_member_updates =
        kind == gossip_kind::push || kind == gossip_kind::join_response;
    if (!without_member_updates)
        message.members.items = members_.updates_for(to);
    if (!is_neighbour(to))
        return message;
    add_digests(message, to, now);
    add_changes(message, to, now);
    return message;
}

void gossip_node::add_changes(gossip_message& message, member_key to, time_point now)
{
    auto& peer = peers_[to];
    peer.known_before_last_message = peer.known;
    const auto used_bytes = wire::encode(message).size();
    auto free_bytes = max_message_bytes - std::min(max_message_bytes, used_bytes);
    if (message.kind == gossip_kind::join_response) {
        upstreams_.collect_own(peer.known, free_bytes, message);
        return;
    }
    const auto remaining = routine_budget_.remaining_share(now);
    if (remaining > probe_reserve)
        free_bytes = upstreams_.collect_departures(to, peer.known, free_bytes, message);
    if (remaining > departure_reserve)
        free_bytes = upstreams_.collect_arrivals(to, peer.known, free_bytes, message);
    if (peer.sent_busy_slots.size() > max_sent_loads)
        peer.sent_busy_slots.clear();
    if (remaining > load_reserve)
        upstreams_.collect_loads(peer.sent_busy_slots, std::min(free_bytes, max_load_bytes),
                                 message);
}

void gossip_node::add_digests(gossip_message& message, member_key to, time_point now)
{
    // The receiver always needs the versions of its own lists that are known here.
    auto& digests = message.origins.items;
    digests.push_back(upstreams_.digest_of(to, now));
    if (message.kind == gossip_kind::push || message.kind == gossip_kind::join_response) {
        digests.push_back(upstreams_.digest_of(members_.self().key, now));
        return;
    }
    auto all = upstreams_.digests(now);
    std::erase_if(all, [to](const origin_digest& digest) { return digest.origin == to; });
    // If there are more than max_digests, successive messages carry them in rotation.
    auto next = std::upper_bound(
        all.begin(), all.end(), digest_cursor_,
        [](member_key key, const origin_digest& digest) { return key < digest.origin; });
    const auto count = std::min(all.size(), max_digests);
    for (std::size_t taken = 0; taken < count; ++taken) {
        if (next == all.end())
            next = all.begin();
        digests.push_back(*next);
        digest_cursor_ = (next++)->origin;
    }
}

bool gossip_node::send(member_key to, gossip_message message, token_bucket& bucket, time_point now,
                       gossip_effects& effects)
{
    const auto size = wire_size(message, settings_.self);
    if (!bucket.take(size, now)) {
        ++counts_.over_budget;
        // The changes in the message do not reach the receiver.
        peers_[to].known = peers_[to].known_before_last_message;
        return false;
    }
    counts_.budgeted_bytes += size;
    effects.send.push_back({to, std::move(message)});
    return true;
}

void gossip_node::join(time_point now, gossip_effects& effects)
{
    for (const auto& [key, member] : members_.all()) {
        if (is_neighbour(key))
            send(key, make_message(gossip_kind::join, key, 0, now), join_budget_, now, effects);
    }
}

announcement_outcome gossip_node::on_announcement(const wire::upstream_announcement& announcement,
                                                  time_point now, gossip_effects& effects)
{
    const auto* before = upstreams_.table().find(announcement.id);
    const bool was_leaving = before != nullptr && before->last_announcement.leaving;
    const auto outcome = upstreams_.on_announcement(announcement, now, effects.upstreams);
    push_due_ = push_due_ || (announcement.leaving && !was_leaving);
    push_departures(now, effects);
    return outcome;
}

void gossip_node::push_departures(time_point now, gossip_effects& effects)
{
    if (!push_due_ || now < next_push_)
        return;
    next_push_ = now + push_interval;
    push_due_ = false;
    for (const auto& [key, member] : members_.all()) {
        if (!is_neighbour(key) || member.status == member_status::dead ||
            !upstreams_.lacks_departure(key, peers_[key].known))
            continue;
        if (routine_budget_.remaining_share(now) <= probe_reserve) {
            push_due_ = true;
            return;
        }
        send(key, make_message(gossip_kind::push, key, 0, now), routine_budget_, now, effects);
    }
}

void gossip_node::receive(member_key from, const gossip_message& message, time_point now,
                          gossip_effects& effects)
{
    if (members_.find(from) == nullptr || from == members_.self().key) {
        ++counts_.from_unknown_sender;
        return;
    }
    apply_message(from, message, now, effects);
    if (message.kind == gossip_kind::ping)
        send(from, make_message(gossip_kind::ack, from, message.sequence, now), routine_budget_,
             now, effects);
    else if (message.kind == gossip_kind::ack)
        on_ack(message, now, effects);
    else if (message.kind == gossip_kind::ping_request)
        on_ping_request(from, message, now, effects);
    else if (message.kind == gossip_kind::join)
        on_join(from, now, effects);
    // Only an ack: the two digests of a push do not show what else its sender lacks.
    if (message.kind == gossip_kind::ack)
        push_missing_changes(from, now, effects);
}

void gossip_node::push_missing_changes(member_key to, time_point now, gossip_effects& effects)
{
    if (!is_neighbour(to))
        return;
    // A neighbour that lacks changes of this process's own lists gets join responses, as at a
    // start.
    for (std::size_t count = 0;
         count < max_catch_up_messages && upstreams_.lacks_own_changes(peers_[to].known) &&
         join_budget_.remaining_share(now) > join_reserve;
         ++count)
        send(to, make_message(gossip_kind::join_response, to, 0, now), join_budget_, now, effects);
    const auto remaining = routine_budget_.remaining_share(now);
    const auto& known = peers_[to].known;
    const bool due = (remaining > probe_reserve && upstreams_.lacks_departure(to, known)) ||
                     (remaining > departure_reserve && upstreams_.lacks_any_change(to, known));
    if (due)
        send(to, make_message(gossip_kind::push, to, 0, now), routine_budget_, now, effects);
}

void gossip_node::apply_message(member_key from, const gossip_message& message, time_point now,
                                gossip_effects& effects)
{
    bool changed = members_.merge({from, message.sender_incarnation, member_status::alive}, now);
    for (const auto& update : message.members.items)
        changed = members_.merge(update, now) || changed;
    effects.members_changed = effects.members_changed || changed;
    if (!is_neighbour(from))
        return;
    apply_digests(from, message.origins.items);
    for (const auto& delta : message.departures.items)
        upstreams_.apply(delta, now, effects.upstreams);
    for (const auto& delta : message.arrivals.items)
        upstreams_.apply(delta, now, effects.upstreams);
    for (const auto& update : message.loads.items)
        upstreams_.apply(update, effects.upstreams);
    upstreams_.apply(message.origins.items, now, effects.upstreams);
}

void gossip_node::apply_digests(member_key from, const std::vector<origin_digest>& digests)
{
    auto& peer = peers_[from];
    for (const auto& digest : digests) {
        // A restarted process has lost the lists that it was known to have.
        const bool restarted =
            digest.origin == from && digest.start_number > peer.known[from].start_number;
        if (restarted)
            peer = {};
        // A later start of this process is known elsewhere if its wall clock was set back.
        if (digest.origin == members_.self().key)
            upstreams_.restart_lists_after(digest.start_number);
    }
    for (const auto& digest : digests)
        peer.known[digest.origin] = {digest.start_number, digest.departures, digest.arrivals};
}

void gossip_node::on_ack(const gossip_message& message, time_point now, gossip_effects& effects)
{
    const auto pending = pings_.find(message.sequence);
    if (pending == pings_.end())
        return;
    const auto answered_ping = pending->second;
    pings_.erase(pending);
    if (answered_ping.requester == 0)
        return;
    auto forwarded_ack = make_message(gossip_kind::ack, answered_ping.requester,
                                      answered_ping.requester_sequence, now);
    forwarded_ack.subject = answered_ping.target;
    send(answered_ping.requester, std::move(forwarded_ack), routine_budget_, now, effects);
}

void gossip_node::on_join(member_key from, time_point now, gossip_effects& effects)
{
    auto& known = peers_[from].known;
    bool sent = true;
    while (sent && upstreams_.lacks_own_changes(known))
        sent = send(from, make_message(gossip_kind::join_response, from, 0, now), join_budget_, now,
                    effects);
}

void gossip_node::ping(member_key to, time_point now, gossip_effects& effects)
{
    const auto sequence = ++last_sequence_;
    if (!send(to, make_message(gossip_kind::ping, to, sequence, now), routine_budget_, now,
              effects))
        return;
    pings_[sequence] = {to, now + ack_timeout, now + indirect_timeout, false, 0, 0};
}

void gossip_node::on_ping_request(member_key requester, const gossip_message& request,
                                  time_point now, gossip_effects& effects)
{
    if (members_.find(request.subject) == nullptr || request.subject == members_.self().key)
        return;
    const auto sequence = ++last_sequence_;
    if (!send(request.subject, make_message(gossip_kind::ping, request.subject, sequence, now),
              routine_budget_, now, effects))
        return;
    const auto times_out_at = now + indirect_timeout;
    pings_[sequence] = {request.subject, times_out_at,    times_out_at, true,
                        requester,       request.sequence};
}

void gossip_node::check_pings(time_point now, gossip_effects& effects)
{
    for (auto next = pings_.begin(); next != pings_.end();) {
        auto& [sequence, pending] = *next;
        if (!pending.indirect_sent && now >= pending.indirect_at) {
            pending.indirect_sent = true;
            if (members_.find(pending.target)->status == member_status::alive)
                send_ping_requests(sequence, pending, now, effects);
        }
        if (now < pending.suspect_at) {
            ++next;
            continue;
        }
        const bool own_ping = pending.requester == 0;
        if (own_ping && members_.suspect(pending.target, now)) {
            ++counts_.suspected;
            effects.members_changed = true;
            // A ping informs the suspect at once, so that it can refute the suspicion.
            send(pending.target, make_message(gossip_kind::ping, pending.target, 0, now),
                 routine_budget_, now, effects);
        }
        next = pings_.erase(next);
    }
}

void gossip_node::send_ping_requests(std::uint32_t sequence, const pending_ping& pending,
                                     time_point now, gossip_effects& effects)
{
    std::vector<member_key> helpers;
    for (const auto& [key, member] : members_.all()) {
        if (member.status == member_status::alive && key != pending.target &&
            key != members_.self().key)
            helpers.push_back(key);
    }
    std::shuffle(helpers.begin(), helpers.end(), random_);
    helpers.resize(std::min(helpers.size(), indirect_probe_count));
    for (const auto helper : helpers) {
        auto request = make_message(gossip_kind::ping_request, helper, sequence, now);
        request.subject = pending.target;
        send(helper, std::move(request), routine_budget_, now, effects);
    }
}

member_key gossip_node::next_in_round(std::vector<member_key>& round, bool neighbours_only)
{
    if (round.empty()) {
        for (const auto& [key, member] : members_.all()) {
            if (key != members_.self().key && (!neighbours_only || is_neighbour(key)))
                round.push_back(key);
        }
        std::shuffle(round.begin(), round.end(), random_);
    }
    if (round.empty())
        return 0;
    const auto next = round.back();
    round.pop_back();
    return next;
}

void gossip_node::tick(time_point now, gossip_effects& effects)
{
    upstreams_.expire(now, effects.upstreams);
    effects.members_changed = members_.expire(now) || effects.members_changed;
    check_pings(now, effects);
    push_due_ = push_due_ || !effects.upstreams.expired.empty();
    push_departures(now, effects);
    if (now >= next_exchange_) {
        next_exchange_ = now + exchange_interval;
        if (const auto neighbour = next_in_round(neighbour_round_, true); neighbour != 0)
            ping(neighbour, now, effects);
    }
    if (now >= next_probe_) {
        next_probe_ = now + probe_interval;
        if (const auto member = next_in_round(member_round_, false); member != 0)
            ping(member, now, effects);
    }
}

} // namespace galenaturn::membership
