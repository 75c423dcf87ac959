#include "upstreamdirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace galenaturn::membership {

namespace {

/** Origins whose latest confirmation is older than this are left out of digests. */
constexpr std::chrono::seconds max_digest_age{10};
/** Maximum number of deltas of one list of an origin that wait for an earlier delta. */
constexpr std::size_t max_deferred_deltas = 64;
/** Encoded size of a load_update. */
constexpr std::size_t load_update_bytes = 14;

std::uint32_t hash_of(const upstream_id& id)
{
    return XXH32(id.value().data(), id.value().size(), 0);
}

bool only_load_differs(wire::upstream_announcement left, const wire::upstream_announcement& right)
{
    left.busy_slots = right.busy_slots;
    return !content_differs(left, right);
}

} // namespace

upstream_directory::upstream_directory(state_chart chart, member_key self,
                                       std::uint64_t start_number)
    : table_{std::move(chart)}, self_{self}
{
    origins_[self_].start_number = start_number;
}

void upstream_directory::restart_lists_after(std::uint64_t start_number)
{
    auto& own = origins_.at(self_);
    if (start_number > own.start_number)
        own.start_number = start_number + 1;
}

announcement_outcome
upstream_directory::on_announcement(const wire::upstream_announcement& announcement, time_point now,
                                    upstream_events& events)
{
    const auto* previous = table_.find(announcement.id);
    const bool was_leaving = previous != nullptr && previous->last_announcement.leaving;
    const bool was_expired = previous != nullptr && previous->state == "lapsed";
    const bool hosted_here = hosts(announcement.id);
    const bool same_content =
        previous != nullptr && only_load_differs(previous->last_announcement, announcement);
    const auto outcome = table_.on_announcement(announcement, now, now + announcement_ttl, events);
    if (outcome != announcement_outcome::changed && outcome != announcement_outcome::refreshed)
        return outcome;
    if (announcement.leaving) {
        host_of_[announcement.id] = self_;
        if (!was_leaving || !hosted_here)
            stop_hosting(announcement.id, departure_kind::leaving, now);
        return outcome;
    }
    if (!hosted_here || !same_content || was_expired)
        start_hosting(announcement);
    return outcome;
}

void upstream_directory::start_hosting(const wire::upstream_announcement& announcement)
{
    auto& own = origins_.at(self_);
    host_of_[announcement.id] = self_;
    unconfirmed_.erase(announcement.id);
    id_by_hash_[hash_of(announcement.id)] = announcement.id;
    add_arrival(own, {own.arrivals_version + 1, announcement});
}

void upstream_directory::stop_hosting(const upstream_id& id, departure_kind kind, time_point now)
{
    auto& own = origins_.at(self_);
    const auto& last = table_.find(id)->last_announcement;
    add_departure(
        own, {own.departures_version + 1, id, last.incarnation_number, last.sequence, kind}, now);
}

void upstream_directory::add_arrival(origin_lists& lists, const arrival& item)
{
    GN_INVARIANT(item.version > lists.arrivals_version, {"version", item.version});
    remove_arrival(lists, item.announcement.id);
    lists.arrivals_version = item.version;
    lists.arrival_version_of[item.announcement.id] = item.version;
    lists.arrivals[item.version] = item;
}

void upstream_directory::add_departure(origin_lists& lists, const departure& item, time_point now)
{
    GN_INVARIANT(item.version > lists.departures_version, {"version", item.version});
    remove_arrival(lists, item.id);
    lists.departures_version = item.version;
    lists.departures[item.version] = {item, now};
}

void upstream_directory::remove_arrival(origin_lists& lists, const upstream_id& id)
{
    const auto found = lists.arrival_version_of.find(id);
    if (found == lists.arrival_version_of.end())
        return;
    lists.arrivals.erase(found->second);
    lists.arrival_version_of.erase(found);
}

void upstream_directory::republish_arrival(const upstream_id& id)
{
    const auto last = table_.find(id)->last_announcement;
    if (!last.leaving)
        start_hosting(last);
}

bool upstream_directory::hosts(const upstream_id& id) const
{
    const auto host = host_of_.find(id);
    return host != host_of_.end() && host->second == self_;
}

void upstream_directory::expire(time_point now, upstream_events& events)
{
    const auto first_new = events.expired.size();
    table_.expire(now, events);
    for (auto index = first_new; index < events.expired.size(); ++index) {
        const auto& id = events.expired[index];
        const auto host = host_of_.find(id);
        if (host == host_of_.end())
            continue;
        if (host->second != self_)
            unconfirmed_[id] = host->second;
        else if (!table_.find(id)->last_announcement.leaving)
            stop_hosting(id, departure_kind::expired, now);
        host_of_.erase(host);
    }
    prune(now);
}

void upstream_directory::prune(time_point now)
{
    for (auto& [origin, lists] : origins_)
        std::erase_if(lists.departures, [now](const auto& item) {
            return now > item.second.recorded_at + expired_retention;
        });
    if (id_by_hash_.size() > 2 * table_.records().size())
        std::erase_if(id_by_hash_,
                      [this](const auto& item) { return table_.find(item.second) == nullptr; });
}

upstream_directory::origin_lists* upstream_directory::lists_for(member_key origin,
                                                                std::uint64_t start_number)
{
    if (origin == self_)
        return nullptr;
    auto& lists = origins_[origin];
    if (start_number < lists.start_number)
        return nullptr;
    if (start_number > lists.start_number) {
        lists = {};
        lists.start_number = start_number;
    }
    return &lists;
}

template <class Delta>
void upstream_directory::apply_or_defer(origin_lists& lists, std::vector<Delta>& deferred,
                                        list_version& version, const Delta& delta, time_point now,
                                        upstream_events& events)
{
    if (delta.base > version) {
        if (deferred.size() < max_deferred_deltas)
            deferred.push_back(delta);
        else
            ++gaps_;
        return;
    }
    apply_in_order(lists, delta, now, events);
    const auto ready = [&version](const Delta& waiting) { return waiting.base <= version; };
    for (auto next = std::find_if(deferred.begin(), deferred.end(), ready); next != deferred.end();
         next = std::find_if(deferred.begin(), deferred.end(), ready)) {
        const auto waiting = std::move(*next);
        deferred.erase(next);
        apply_in_order(lists, waiting, now, events);
    }
}

void upstream_directory::apply(const departure_delta& delta, time_point now,
                               upstream_events& events)
{
    if (auto* lists = lists_for(delta.origin, delta.start_number); lists != nullptr)
        apply_or_defer(*lists, lists->deferred_departures, lists->departures_version, delta, now,
                       events);
}

void upstream_directory::apply(const arrival_delta& delta, time_point now, upstream_events& events)
{
    if (auto* lists = lists_for(delta.origin, delta.start_number); lists != nullptr)
        apply_or_defer(*lists, lists->deferred_arrivals, lists->arrivals_version, delta, now,
                       events);
}

void upstream_directory::apply_in_order(origin_lists& lists, const departure_delta& delta,
                                        time_point now, upstream_events& events)
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
                                        time_point now, upstream_events& events)
{
    for (const auto& item : delta.items()) {
        if (item.version <= lists.arrivals_version)
            continue;
        add_arrival(lists, item);
        apply_arrival(delta.origin, item, now, events);
    }
    lists.arrivals_version = std::max(lists.arrivals_version, delta.up_to);
}

void upstream_directory::apply_departure(member_key origin, const departure& item, time_point now,
                                         upstream_events& events)
{
    const auto host = host_of_.find(item.id);
    const auto unconfirmed = unconfirmed_.find(item.id);
    if (unconfirmed != unconfirmed_.end() && unconfirmed->second == origin)
        unconfirmed_.erase(unconfirmed);
    if (item.kind == departure_kind::moved) {
        if (host != host_of_.end() && host->second == origin)
            host_of_.erase(host);
        return;
    }
    wire::upstream_announcement last;
    last.id = item.id;
    last.incarnation_number = item.incarnation_number;
    last.sequence = item.sequence;
    last.leaving = item.kind == departure_kind::leaving;
    const bool hosted_here = hosts(item.id);
    const bool is_latest =
        table_.on_departure(last, item.kind == departure_kind::expired, now, events);
    if (!is_latest) {
        if (hosted_here)
            republish_arrival(item.id);
        return;
    }
    if (hosted_here)
        stop_hosting(item.id, departure_kind::moved, now);
    host_of_.erase(item.id);
    unconfirmed_.erase(item.id);
}

void upstream_directory::apply_arrival(member_key origin, const arrival& item, time_point now,
                                       upstream_events& events)
{
    const auto& id = item.announcement.id;
    const bool hosted_here = hosts(id);
    const auto outcome =
        table_.on_announcement(item.announcement, now, now + confirmation_ttl, events);
    const bool later =
        outcome == announcement_outcome::changed || outcome == announcement_outcome::refreshed;
    if (hosted_here && !later) {
        republish_arrival(id);
        return;
    }
    if (outcome == announcement_outcome::outdated ||
        outcome == announcement_outcome::already_leaving)
        return;
    if (hosted_here)
        stop_hosting(id, departure_kind::moved, now);
    host_of_.erase(id);
    if (table_.find(id)->state != "announced")
        return;
    host_of_[id] = origin;
    unconfirmed_.erase(id);
    id_by_hash_[hash_of(id)] = id;
}

void upstream_directory::apply(const load_update& update, upstream_events& events)
{
    const auto found = id_by_hash_.find(update.upstream_hash);
    if (found == id_by_hash_.end())
        return;
    const auto host = host_of_.find(found->second);
    if (host != host_of_.end() && host->second != self_)
        table_.update_load(found->second, update.sequence, update.busy_slots, events);
}

void upstream_directory::apply(const std::vector<origin_digest>& digests, time_point now,
                               upstream_events& events)
{
    for (const auto& digest : digests) {
        const auto found = origins_.find(digest.origin);
        if (found == origins_.end() || digest.origin == self_)
            continue;
        auto& lists = found->second;
        const auto stated_at = now - std::chrono::milliseconds{digest.age_ms};
        // A list that lacks a departure must not extend the expiry of the departed upstream.
        const bool current = lists.start_number == digest.start_number &&
                             lists.departures_version >= digest.departures;
        if (current && stated_at > lists.confirmed_at)
            confirm(digest.origin, lists, stated_at, now, events);
    }
}

void upstream_directory::confirm(member_key origin, origin_lists& lists, time_point stated_at,
                                 time_point now, upstream_events& events)
{
    lists.confirmed_at = stated_at;
    const auto expires = stated_at + confirmation_ttl;
    if (expires < now)
        return;
    for (const auto& [id, version] : lists.arrival_version_of) {
        const auto host = host_of_.find(id);
        if (host != host_of_.end() && host->second == origin)
            table_.extend_expiry(id, expires);
        const auto unconfirmed = unconfirmed_.find(id);
        if (unconfirmed == unconfirmed_.end() || unconfirmed->second != origin)
            continue;
        unconfirmed_.erase(unconfirmed);
        host_of_[id] = origin;
        id_by_hash_[hash_of(id)] = id;
        if (table_.find(id) != nullptr)
            table_.reactivate(id, expires, events);
        else
            table_.on_announcement(lists.arrivals.at(version).announcement, stated_at, expires,
                                   events);
    }
}

origin_digest upstream_directory::digest_of(member_key origin, time_point now) const
{
    constexpr std::int64_t max_age_ms = std::numeric_limits<std::uint16_t>::max();
    const auto found = origins_.find(origin);
    if (found == origins_.end())
        return {origin, 0, 0, 0, static_cast<std::uint16_t>(max_age_ms)};
    const auto& lists = found->second;
    const auto age = origin == self_ ? duration{} : duration{now - lists.confirmed_at};
    const auto age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return {origin, lists.start_number, lists.departures_version, lists.arrivals_version,
            static_cast<std::uint16_t>(std::min<std::int64_t>(age_ms, max_age_ms))};
}

std::vector<origin_digest> upstream_directory::digests(time_point now) const
{
    std::vector<origin_digest> all;
    for (const auto& [origin, lists] : origins_) {
        if (origin == self_ || now - lists.confirmed_at <= max_digest_age)
            all.push_back(digest_of(origin, now));
    }
    return all;
}

void upstream_directory::collect_loads(std::map<upstream_id, std::uint32_t>& sent,
                                       std::size_t free_bytes, gossip_message& message) const
{
    struct load_change {
        std::uint32_t size;
        const wire::upstream_announcement* announcement;
    };
    std::vector<load_change> changes;
    for (const auto& [id, version] : origins_.at(self_).arrival_version_of) {
        const auto& announcement = table_.find(id)->last_announcement;
        const auto last = sent.find(id);
        const auto before = last == sent.end() ? 0 : last->second;
        if (announcement.busy_slots != before)
            changes.push_back({announcement.busy_slots > before ? announcement.busy_slots - before
                                                                : before - announcement.busy_slots,
                               &announcement});
    }
    const auto count = std::min({changes.size(), free_bytes / load_update_bytes, std::size_t{32}});
    std::partial_sort(
        changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(count), changes.end(),
        [](const load_change& left, const load_change& right) { return left.size > right.size; });
    for (std::size_t index = 0; index < count; ++index) {
        const auto& announcement = *changes[index].announcement;
        message.loads.items.push_back({hash_of(announcement.id), announcement.sequence,
                                       static_cast<std::uint16_t>(announcement.busy_slots)});
        sent[announcement.id] = announcement.busy_slots;
    }
}

std::size_t upstream_directory::hosted_count() const
{
    return origins_.at(self_).arrival_version_of.size();
}

} // namespace galenaturn::membership
