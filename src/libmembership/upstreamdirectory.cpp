#include "upstreamdirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace galenaturn::membership {

namespace {

/** Origins that were silent for longer are left out of digests. */
constexpr std::chrono::seconds longest_digest_age{10};
/** Origin, boot, versions and the counts of names and items. */
constexpr std::size_t delta_header_size = 22;
/** Deltas of one origin that wait for an earlier one. */
constexpr std::size_t most_early = 64;
constexpr std::size_t load_update_size = 14;

std::uint32_t hash_of(const upstream_id& id)
{
    return XXH32(id.value().data(), id.value().size(), 0);
}

bool only_load_differs(wire::upstream_announcement left, const wire::upstream_announcement& right)
{
    left.busy_slots = right.busy_slots;
    return !says_other(left, right);
}

/** Adds the changes after `known` to `deltas`, as far as there is room. Returns the room left. */
template <class Delta, class Changes, class Take>
std::size_t collect_changes(member_key origin, std::uint64_t boot, stream_version latest,
                            stream_version& known, const Changes& changes, Take take,
                            std::size_t room, short_list<Delta>& deltas)
{
    if (known >= latest || room < delta_header_size || deltas.full())
        return room;
    Delta delta;
    delta.origin = origin;
    delta.boot = boot;
    delta.base = known;
    delta.up_to = known;
    auto left = room - delta_header_size;
    auto next = changes.upper_bound(known);
    for (; next != changes.end(); ++next) {
        const auto& item = take(next->second);
        const auto size = delta.size_with(item);
        if (size > left || !delta.add(item))
            break;
        left -= size;
        delta.up_to = next->first;
    }
    if (next == changes.end())
        delta.up_to = latest;
    if (delta.up_to == known)
        return room;
    known = delta.up_to;
    deltas.items.push_back(std::move(delta));
    return left;
}

} // namespace

upstream_directory::upstream_directory(state_chart chart, member_key self, std::uint64_t boot)
    : table_{std::move(chart)}, self_{self}
{
    origins_[self_].boot = boot;
}

void upstream_directory::outlive(std::uint64_t boot)
{
    auto& own = origins_.at(self_);
    if (boot > own.boot)
        own.boot = boot + 1;
}

announcement_outcome upstream_directory::hear(const wire::upstream_announcement& announcement,
                                              time_point now, table_events& events)
{
    const auto* known = table_.find(announcement.id);
    const bool was_leaving = known != nullptr && known->last.leaving;
    const bool was_lapsed = known != nullptr && known->state == "lapsed";
    const bool hosted_here = hosts(announcement.id);
    const bool same = known != nullptr && only_load_differs(known->last, announcement);
    const auto outcome = table_.hear(announcement, now, now + announcement_ttl, events);
    if (outcome != announcement_outcome::news && outcome != announcement_outcome::refreshed)
        return outcome;
    if (announcement.leaving) {
        hosted_by_[announcement.id] = self_;
        if (!was_leaving || !hosted_here)
            release(announcement.id, departure_kind::leaving, now);
        return outcome;
    }
    if (!hosted_here || !same || was_lapsed)
        host(announcement);
    return outcome;
}

void upstream_directory::host(const wire::upstream_announcement& announcement)
{
    auto& own = origins_.at(self_);
    hosted_by_[announcement.id] = self_;
    unvouched_.erase(announcement.id);
    by_hash_[hash_of(announcement.id)] = announcement.id;
    add_arrival(own, {own.arrivals_version + 1, announcement});
}

void upstream_directory::release(const upstream_id& id, departure_kind kind, time_point now)
{
    auto& own = origins_.at(self_);
    const auto& last = table_.find(id)->last;
    add_departure(own, {own.departures_version + 1, id, last.life, last.sequence, kind}, now);
}

void upstream_directory::add_arrival(origin_lists& lists, const arrival& what)
{
    GN_INVARIANT(what.version > lists.arrivals_version, {"version", what.version});
    remove_arrival(lists, what.said.id);
    lists.arrivals_version = what.version;
    lists.arrival_of[what.said.id] = what.version;
    lists.arrivals[what.version] = what;
}

void upstream_directory::add_departure(origin_lists& lists, const departure& what, time_point now)
{
    GN_INVARIANT(what.version > lists.departures_version, {"version", what.version});
    remove_arrival(lists, what.id);
    lists.departures_version = what.version;
    lists.departures[what.version] = {what, now};
}

void upstream_directory::remove_arrival(origin_lists& lists, const upstream_id& id)
{
    const auto known = lists.arrival_of.find(id);
    if (known == lists.arrival_of.end())
        return;
    lists.arrivals.erase(known->second);
    lists.arrival_of.erase(known);
}

void upstream_directory::assert_hosting(const upstream_id& id)
{
    const auto last = table_.find(id)->last;
    if (!last.leaving)
        host(last);
}

bool upstream_directory::hosts(const upstream_id& id) const
{
    const auto host = hosted_by_.find(id);
    return host != hosted_by_.end() && host->second == self_;
}

void upstream_directory::expire(time_point now, table_events& events)
{
    const auto first_new = events.lapsed.size();
    table_.expire(now, events);
    for (auto index = first_new; index < events.lapsed.size(); ++index) {
        const auto& id = events.lapsed[index];
        const auto host = hosted_by_.find(id);
        if (host == hosted_by_.end())
            continue;
        if (host->second != self_)
            unvouched_[id] = host->second;
        else if (!table_.find(id)->last.leaving)
            release(id, departure_kind::lapsed, now);
        hosted_by_.erase(host);
    }
    drop_old(now);
}

void upstream_directory::drop_old(time_point now)
{
    for (auto& [origin, lists] : origins_)
        std::erase_if(lists.departures, [now](const auto& item) {
            return now > item.second.when + lapsed_retention;
        });
    if (by_hash_.size() > 2 * table_.records().size())
        std::erase_if(by_hash_,
                      [this](const auto& item) { return table_.find(item.second) == nullptr; });
}

upstream_directory::origin_lists* upstream_directory::lists_for(member_key origin,
                                                                std::uint64_t boot)
{
    if (origin == self_)
        return nullptr;
    auto& lists = origins_[origin];
    if (boot < lists.boot)
        return nullptr;
    if (boot > lists.boot) {
        lists = {};
        lists.boot = boot;
    }
    return &lists;
}

template <class Delta>
void upstream_directory::apply_early(origin_lists& lists, std::vector<Delta>& early,
                                     stream_version& version, const Delta& delta, time_point now,
                                     table_events& events)
{
    if (delta.base > version) {
        if (early.size() < most_early)
            early.push_back(delta);
        else
            ++gaps_;
        return;
    }
    apply_in_order(lists, delta, now, events);
    const auto ready = [&version](const Delta& waiting) { return waiting.base <= version; };
    for (auto next = std::find_if(early.begin(), early.end(), ready); next != early.end();
         next = std::find_if(early.begin(), early.end(), ready)) {
        const auto waiting = std::move(*next);
        early.erase(next);
        apply_in_order(lists, waiting, now, events);
    }
}

void upstream_directory::apply(const departure_delta& delta, time_point now, table_events& events)
{
    if (auto* lists = lists_for(delta.origin, delta.boot); lists != nullptr)
        apply_early(*lists, lists->early_departures, lists->departures_version, delta, now, events);
}

void upstream_directory::apply(const arrival_delta& delta, time_point now, table_events& events)
{
    if (auto* lists = lists_for(delta.origin, delta.boot); lists != nullptr)
        apply_early(*lists, lists->early_arrivals, lists->arrivals_version, delta, now, events);
}

void upstream_directory::apply_in_order(origin_lists& lists, const departure_delta& delta,
                                        time_point now, table_events& events)
{
    for (const auto& item : delta.items()) {
        if (item.version <= lists.departures_version)
            continue;
        add_departure(lists, item, now);
        apply_departure(delta.origin, item, now, events);
    }
    lists.departures_version = std::max(lists.departures_version, delta.up_to);
}

void upstream_directory::apply_in_order(origin_lists& lists, const arrival_delta& delta,
                                        time_point now, table_events& events)
{
    for (const auto& item : delta.items()) {
        if (item.version <= lists.arrivals_version)
            continue;
        add_arrival(lists, item);
        apply_arrival(delta.origin, item, now, events);
    }
    lists.arrivals_version = std::max(lists.arrivals_version, delta.up_to);
}

void upstream_directory::apply_departure(member_key origin, const departure& what, time_point now,
                                         table_events& events)
{
    const auto host = hosted_by_.find(what.id);
    const auto unvouched = unvouched_.find(what.id);
    if (unvouched != unvouched_.end() && unvouched->second == origin)
        unvouched_.erase(unvouched);
    if (what.kind == departure_kind::moved) {
        if (host != hosted_by_.end() && host->second == origin)
            hosted_by_.erase(host);
        return;
    }
    wire::upstream_announcement last;
    last.id = what.id;
    last.life = what.life;
    last.sequence = what.sequence;
    last.leaving = what.kind == departure_kind::leaving;
    const bool hosted_here = hosts(what.id);
    const bool departed = table_.depart(last, what.kind == departure_kind::lapsed, now, events);
    if (!departed) {
        if (hosted_here)
            assert_hosting(what.id);
        return;
    }
    if (hosted_here)
        release(what.id, departure_kind::moved, now);
    hosted_by_.erase(what.id);
    unvouched_.erase(what.id);
}

void upstream_directory::apply_arrival(member_key origin, const arrival& what, time_point now,
                                       table_events& events)
{
    const auto& id = what.said.id;
    const bool hosted_here = hosts(id);
    const auto outcome = table_.hear(what.said, now, now + vouch_ttl, events);
    const bool later =
        outcome == announcement_outcome::news || outcome == announcement_outcome::refreshed;
    if (hosted_here && !later) {
        assert_hosting(id);
        return;
    }
    if (outcome == announcement_outcome::late || outcome == announcement_outcome::left_before)
        return;
    if (hosted_here)
        release(id, departure_kind::moved, now);
    hosted_by_.erase(id);
    if (table_.find(id)->state != "announced")
        return;
    hosted_by_[id] = origin;
    unvouched_.erase(id);
    by_hash_[hash_of(id)] = id;
}

void upstream_directory::apply(const load_update& update, table_events& events)
{
    const auto known = by_hash_.find(update.upstream);
    if (known == by_hash_.end())
        return;
    const auto host = hosted_by_.find(known->second);
    if (host != hosted_by_.end() && host->second != self_)
        table_.set_load(known->second, update.sequence, update.busy_slots, events);
}

void upstream_directory::apply(const std::vector<origin_digest>& digests, time_point now,
                               table_events& events)
{
    for (const auto& digest : digests) {
        const auto known = origins_.find(digest.origin);
        if (known == origins_.end() || digest.origin == self_)
            continue;
        auto& lists = known->second;
        const auto said = now - std::chrono::milliseconds{digest.age};
        // A list that lacks a departure must not keep the departed alive.
        const bool current =
            lists.boot == digest.boot && lists.departures_version >= digest.departures;
        if (current && said > lists.vouched)
            vouch(digest.origin, lists, said, now, events);
    }
}

void upstream_directory::vouch(member_key origin, origin_lists& lists, time_point said,
                               time_point now, table_events& events)
{
    lists.vouched = said;
    const auto expires = said + vouch_ttl;
    if (expires < now)
        return;
    for (const auto& [id, version] : lists.arrival_of) {
        const auto host = hosted_by_.find(id);
        if (host != hosted_by_.end() && host->second == origin)
            table_.refresh(id, expires);
        const auto unvouched = unvouched_.find(id);
        if (unvouched == unvouched_.end() || unvouched->second != origin)
            continue;
        unvouched_.erase(unvouched);
        hosted_by_[id] = origin;
        by_hash_[hash_of(id)] = id;
        if (table_.find(id) != nullptr)
            table_.revive(id, expires, events);
        else
            table_.hear(lists.arrivals.at(version).said, said, expires, events);
    }
}

origin_digest upstream_directory::digest_of(member_key origin, time_point now) const
{
    constexpr std::int64_t largest_age = std::numeric_limits<std::uint16_t>::max();
    const auto known = origins_.find(origin);
    if (known == origins_.end())
        return {origin, 0, 0, 0, static_cast<std::uint16_t>(largest_age)};
    const auto& lists = known->second;
    const auto age = origin == self_ ? duration{} : duration{now - lists.vouched};
    const auto age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return {origin, lists.boot, lists.departures_version, lists.arrivals_version,
            static_cast<std::uint16_t>(std::min<std::int64_t>(age_ms, largest_age))};
}

std::vector<origin_digest> upstream_directory::digests(time_point now) const
{
    std::vector<origin_digest> all;
    for (const auto& [origin, lists] : origins_) {
        if (origin == self_ || now - lists.vouched <= longest_digest_age)
            all.push_back(digest_of(origin, now));
    }
    return all;
}

std::size_t upstream_directory::collect_departures(member_key origin, const origin_lists& lists,
                                                   known_versions& known, std::size_t room,
                                                   gossip_message& message)
{
    if (known.boot < lists.boot)
        known = {lists.boot, 0, 0};
    if (known.boot > lists.boot)
        return room;
    return collect_changes(
        origin, lists.boot, lists.departures_version, known.departures, lists.departures,
        [](const dated_departure& dated) -> const departure& { return dated.what; }, room,
        message.departures);
}

std::size_t upstream_directory::collect_arrivals(member_key origin, const origin_lists& lists,
                                                 known_versions& known, std::size_t room,
                                                 gossip_message& message)
{
    if (known.boot != lists.boot)
        return room;
    return collect_changes(
        origin, lists.boot, lists.arrivals_version, known.arrivals, lists.arrivals,
        [](const arrival& what) -> const arrival& { return what; }, room, message.arrivals);
}

std::size_t upstream_directory::collect_departures(member_key receiver, knowledge& known,
                                                   std::size_t room, gossip_message& message) const
{
    for (const auto& [origin, lists] : origins_) {
        if (origin != receiver)
            room = collect_departures(origin, lists, known[origin], room, message);
    }
    return room;
}

std::size_t upstream_directory::collect_arrivals(member_key receiver, knowledge& known,
                                                 std::size_t room, gossip_message& message) const
{
    room = collect_arrivals(self_, origins_.at(self_), known[self_], room, message);
    for (const auto& [origin, lists] : origins_) {
        if (origin != receiver && origin != self_)
            room = collect_arrivals(origin, lists, known[origin], room, message);
    }
    return room;
}

std::size_t upstream_directory::collect_own(knowledge& known, std::size_t room,
                                            gossip_message& message) const
{
    const auto& own = origins_.at(self_);
    room = collect_departures(self_, own, known[self_], room, message);
    return collect_arrivals(self_, own, known[self_], room, message);
}

bool upstream_directory::lacks_departure(member_key receiver, const knowledge& known) const
{
    return std::any_of(origins_.begin(), origins_.end(), [&](const auto& item) {
        const auto& lists = item.second;
        const auto at = known.find(item.first);
        if (item.first == receiver)
            return false;
        if (at == known.end() || at->second.boot < lists.boot)
            return lists.departures_version > 0;
        return at->second.boot == lists.boot && at->second.departures < lists.departures_version;
    });
}

bool upstream_directory::lacks_own(const knowledge& known) const
{
    const auto& own = origins_.at(self_);
    const auto at = known.find(self_);
    if (at == known.end() || at->second.boot < own.boot)
        return own.departures_version + own.arrivals_version > 0;
    return at->second.departures < own.departures_version ||
           at->second.arrivals < own.arrivals_version;
}

bool upstream_directory::lacks_anything(member_key receiver, const knowledge& known) const
{
    return std::any_of(origins_.begin(), origins_.end(), [&](const auto& item) {
        const auto& lists = item.second;
        const auto at = known.find(item.first);
        if (item.first == receiver)
            return false;
        if (at == known.end() || at->second.boot < lists.boot)
            return lists.departures_version + lists.arrivals_version > 0;
        return at->second.boot == lists.boot && (at->second.departures < lists.departures_version ||
                                                 at->second.arrivals < lists.arrivals_version);
    });
}

void upstream_directory::collect_loads(std::map<upstream_id, std::uint32_t>& sent, std::size_t room,
                                       gossip_message& message) const
{
    struct change {
        std::uint32_t size;
        const wire::upstream_announcement* said;
    };
    std::vector<change> changes;
    for (const auto& [id, version] : origins_.at(self_).arrival_of) {
        const auto& said = table_.find(id)->last;
        const auto last = sent.find(id);
        const auto before = last == sent.end() ? 0 : last->second;
        if (said.busy_slots != before)
            changes.push_back(
                {said.busy_slots > before ? said.busy_slots - before : before - said.busy_slots,
                 &said});
    }
    const auto count = std::min({changes.size(), room / load_update_size, std::size_t{32}});
    std::partial_sort(
        changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(count), changes.end(),
        [](const change& left, const change& right) { return left.size > right.size; });
    for (std::size_t index = 0; index < count; ++index) {
        const auto& said = *changes[index].said;
        message.loads.items.push_back(
            {hash_of(said.id), said.sequence, static_cast<std::uint16_t>(said.busy_slots)});
        sent[said.id] = said.busy_slots;
    }
}

std::size_t upstream_directory::hosted() const
{
    return origins_.at(self_).arrival_of.size();
}

} // namespace galenaturn::membership
