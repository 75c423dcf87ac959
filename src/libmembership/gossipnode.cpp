#include "gossipnode.h"

#include <algorithm>
#include <utility>

namespace galenaturn::membership {

namespace {

/** How often an entry exchanges what it knows with a neighbour: an entry of its own domain. */
constexpr std::chrono::milliseconds exchange_interval{500};
/** How often a process probes a member of any domain. */
constexpr std::chrono::milliseconds probe_interval{1000};
/** Departures within this time go out together. */
constexpr std::chrono::milliseconds push_interval{100};
constexpr std::chrono::milliseconds ack_timeout{300};
constexpr std::chrono::milliseconds indirect_timeout{1000};
constexpr std::size_t indirect_probes = 2;
/** Payload that surely fits into one datagram beside its headers. */
constexpr std::size_t largest_message = 1240;
constexpr std::size_t most_digests = 20;
/** Headers of IP and UDP. */
constexpr std::size_t packet_overhead = 28;
/** Magic, version and checksum, and the lengths in the envelope. */
constexpr std::size_t datagram_overhead = 8 + 3 * 8;
/** Departures are sent only while this share of the budget is left; probes always. */
constexpr double probe_reserve = 0.1;
/** Arrivals are sent only while this share of the budget is left. */
constexpr double departure_reserve = 0.4;
/** Share of the budget of joins that is kept for processes that start. */
constexpr double join_reserve = 0.5;
/** Datagrams of hosted upstreams that one neighbour gets at once after an exchange. */
constexpr std::size_t most_catch_up = 8;
/** Loads are sent only while this share of the budget is left. */
constexpr double load_reserve = 0.7;
constexpr std::size_t most_load_bytes = 240;
constexpr std::size_t most_sent_loads = 8192;

} // namespace

std::size_t wire_size(const gossip_message& message, const member_settings& sender)
{
    return wire::encode(message).size() + packet_overhead + datagram_overhead +
           sender.id.value().size() + sender.domain.value().size();
}

gossip_node::gossip_node(gossip_settings settings, state_chart chart, std::mt19937_64 random)
    : settings_{std::move(settings)}, random_{random}, members_{settings_.members,
                                                                settings_.self.id,
                                                                incarnation{settings_.boot}},
      upstreams_{std::move(chart), key_of(settings_.self.id), settings_.boot},
      routine_{settings_.budget.rate, settings_.budget.depth}, joins_{settings_.budget.join_rate,
                                                                      settings_.budget.join_depth}
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

gossip_message gossip_node::make(gossip_kind kind, member_key to, std::uint32_t sequence,
                                 time_point now)
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.life = members_.self().life;
    const bool brief = kind == gossip_kind::push || kind == gossip_kind::join_answer;
    if (!brief)
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
    peer.known_before = peer.known;
    const auto used = wire::encode(message).size();
    auto room = largest_message - std::min(largest_message, used);
    if (message.kind == gossip_kind::join_answer) {
        upstreams_.collect_own(peer.known, room, message);
        return;
    }
    const auto left = routine_.share_left(now);
    if (left > probe_reserve)
        room = upstreams_.collect_departures(to, peer.known, room, message);
    if (left > departure_reserve)
        room = upstreams_.collect_arrivals(to, peer.known, room, message);
    if (peer.sent_loads.size() > most_sent_loads)
        peer.sent_loads.clear();
    if (left > load_reserve)
        upstreams_.collect_loads(peer.sent_loads, std::min(room, most_load_bytes), message);
}

void gossip_node::add_digests(gossip_message& message, member_key to, time_point now)
{
    // The receiver must always see how far its own lists are known here.
    auto& digests = message.origins.items;
    digests.push_back(upstreams_.digest_of(to, now));
    if (message.kind == gossip_kind::push || message.kind == gossip_kind::join_answer) {
        digests.push_back(upstreams_.digest_of(members_.self().key, now));
        return;
    }
    auto all = upstreams_.digests(now);
    std::erase_if(all, [to](const origin_digest& digest) { return digest.origin == to; });
    // Of many, each datagram takes the next ones in turn.
    auto next = std::upper_bound(
        all.begin(), all.end(), digest_cursor_,
        [](member_key key, const origin_digest& digest) { return key < digest.origin; });
    const auto count = std::min(all.size(), most_digests);
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
        // What the message would have told is not known to the receiver after all.
        peers_[to].known = peers_[to].known_before;
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
            send(key, make(gossip_kind::join, key, 0, now), joins_, now, effects);
    }
}

announcement_outcome gossip_node::hear(const wire::upstream_announcement& announcement,
                                       time_point now, gossip_effects& effects)
{
    const auto* before = upstreams_.table().find(announcement.id);
    const bool was_leaving = before != nullptr && before->last.leaving;
    const auto outcome = upstreams_.hear(announcement, now, effects.upstreams);
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
        if (routine_.share_left(now) <= probe_reserve) {
            push_due_ = true;
            return;
        }
        send(key, make(gossip_kind::push, key, 0, now), routine_, now, effects);
    }
}

void gossip_node::receive(member_key from, const gossip_message& message, time_point now,
                          gossip_effects& effects)
{
    if (members_.find(from) == nullptr || from == members_.self().key) {
        ++counts_.from_unknown;
        return;
    }
    learn(from, message, now, effects);
    if (message.kind == gossip_kind::ping)
        send(from, make(gossip_kind::ack, from, message.sequence, now), routine_, now, effects);
    else if (message.kind == gossip_kind::ack)
        answer_ack(message, now, effects);
    else if (message.kind == gossip_kind::ping_request)
        ping_for(from, message, now, effects);
    else if (message.kind == gossip_kind::join)
        answer_join(from, now, effects);
    // A push is not: its few digests say nothing of what else the sender lacks.
    if (message.kind == gossip_kind::ack)
        push_missing(from, now, effects);
}

void gossip_node::push_missing(member_key to, time_point now, gossip_effects& effects)
{
    if (!is_neighbour(to))
        return;
    // A neighbour that lacks much of what is hosted here gets it like one that has just started.
    for (std::size_t count = 0; count < most_catch_up && upstreams_.lacks_own(peers_[to].known) &&
                                joins_.share_left(now) > join_reserve;
         ++count)
        send(to, make(gossip_kind::join_answer, to, 0, now), joins_, now, effects);
    const auto left = routine_.share_left(now);
    const auto& known = peers_[to].known;
    const bool due = (left > probe_reserve && upstreams_.lacks_departure(to, known)) ||
                     (left > departure_reserve && upstreams_.lacks_anything(to, known));
    if (due)
        send(to, make(gossip_kind::push, to, 0, now), routine_, now, effects);
}

void gossip_node::learn(member_key from, const gossip_message& message, time_point now,
                        gossip_effects& effects)
{
    bool changed = members_.merge({from, message.life, member_status::alive}, now);
    for (const auto& update : message.members.items)
        changed = members_.merge(update, now) || changed;
    effects.members_changed = effects.members_changed || changed;
    if (!is_neighbour(from))
        return;
    learn_digests(from, message.origins.items);
    for (const auto& delta : message.departures.items)
        upstreams_.apply(delta, now, effects.upstreams);
    for (const auto& delta : message.arrivals.items)
        upstreams_.apply(delta, now, effects.upstreams);
    for (const auto& update : message.loads.items)
        upstreams_.apply(update, effects.upstreams);
    upstreams_.apply(message.origins.items, now, effects.upstreams);
}

void gossip_node::learn_digests(member_key from, const std::vector<origin_digest>& digests)
{
    auto& peer = peers_[from];
    for (const auto& digest : digests) {
        // A process that has started anew knows nothing of what it knew before.
        const bool restarted = digest.origin == from && digest.boot > peer.known[from].boot;
        if (restarted)
            peer = {};
        // The wall clock, which numbers the starts, was set back.
        if (digest.origin == members_.self().key)
            upstreams_.outlive(digest.boot);
    }
    for (const auto& digest : digests)
        peer.known[digest.origin] = {digest.boot, digest.departures, digest.arrivals};
}

void gossip_node::answer_ack(const gossip_message& message, time_point now, gossip_effects& effects)
{
    const auto waiting = pings_.find(message.sequence);
    if (waiting == pings_.end())
        return;
    const auto answered = waiting->second;
    pings_.erase(waiting);
    if (answered.asked_by == 0)
        return;
    auto passed_on = make(gossip_kind::ack, answered.asked_by, answered.asked_sequence, now);
    passed_on.subject = answered.target;
    send(answered.asked_by, std::move(passed_on), routine_, now, effects);
}

void gossip_node::answer_join(member_key from, time_point now, gossip_effects& effects)
{
    auto& known = peers_[from].known;
    bool sent = true;
    while (sent && upstreams_.lacks_own(known))
        sent = send(from, make(gossip_kind::join_answer, from, 0, now), joins_, now, effects);
}

void gossip_node::ping(member_key to, time_point now, gossip_effects& effects)
{
    const auto sequence = ++last_sequence_;
    if (!send(to, make(gossip_kind::ping, to, sequence, now), routine_, now, effects))
        return;
    pings_[sequence] = {to, now + ack_timeout, now + indirect_timeout, false, 0, 0};
}

void gossip_node::ping_for(member_key asked_by, const gossip_message& request, time_point now,
                           gossip_effects& effects)
{
    if (members_.find(request.subject) == nullptr || request.subject == members_.self().key)
        return;
    const auto sequence = ++last_sequence_;
    if (!send(request.subject, make(gossip_kind::ping, request.subject, sequence, now), routine_,
              now, effects))
        return;
    const auto last = now + indirect_timeout;
    pings_[sequence] = {request.subject, last, last, true, asked_by, request.sequence};
}

void gossip_node::check_pings(time_point now, gossip_effects& effects)
{
    for (auto next = pings_.begin(); next != pings_.end();) {
        auto& [sequence, waiting] = *next;
        if (!waiting.indirect_sent && now >= waiting.indirect_at) {
            waiting.indirect_sent = true;
            if (members_.find(waiting.target)->status == member_status::alive)
                ask_others(sequence, waiting, now, effects);
        }
        if (now < waiting.suspect_at) {
            ++next;
            continue;
        }
        const bool own = waiting.asked_by == 0;
        if (own && members_.suspect(waiting.target, now)) {
            ++counts_.suspected;
            effects.members_changed = true;
            // The suspect is told at once, so that it can refute.
            send(waiting.target, make(gossip_kind::ping, waiting.target, 0, now), routine_, now,
                 effects);
        }
        next = pings_.erase(next);
    }
}

void gossip_node::ask_others(std::uint32_t sequence, const pending_ping& waiting, time_point now,
                             gossip_effects& effects)
{
    std::vector<member_key> helpers;
    for (const auto& [key, member] : members_.all()) {
        if (member.status == member_status::alive && key != waiting.target &&
            key != members_.self().key)
            helpers.push_back(key);
    }
    std::shuffle(helpers.begin(), helpers.end(), random_);
    helpers.resize(std::min(helpers.size(), indirect_probes));
    for (const auto helper : helpers) {
        auto request = make(gossip_kind::ping_request, helper, sequence, now);
        request.subject = waiting.target;
        send(helper, std::move(request), routine_, now, effects);
    }
}

member_key gossip_node::next_of(std::vector<member_key>& round, bool neighbours_only)
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
    push_due_ = push_due_ || !effects.upstreams.lapsed.empty();
    push_departures(now, effects);
    if (now >= next_exchange_) {
        next_exchange_ = now + exchange_interval;
        if (const auto neighbour = next_of(neighbour_round_, true); neighbour != 0)
            ping(neighbour, now, effects);
    }
    if (now >= next_probe_) {
        next_probe_ = now + probe_interval;
        if (const auto member = next_of(member_round_, false); member != 0)
            ping(member, now, effects);
    }
}

} // namespace galenaturn::membership
