#include "upstreamdirectory.h"

#include <algorithm>
#include <utility>

namespace galenaturn::membership {

namespace {

/** Encoded size of a delta without items: origin, start number, versions and two counts. */
constexpr std::size_t delta_header_bytes = 22;
/**
 * Adds a delta with the changes after version `known` to `deltas`, as many as fit into
 * `free_bytes`, and advances `known` to the last version added. Returns the bytes that remain free.
 */
template <class Delta, class Changes, class Getter>
std::size_t collect_changes(member_key origin, std::uint64_t start_number, list_version latest,
                            list_version& known, const Changes& changes, Getter get_item,
                            std::size_t free_bytes, short_list<Delta>& deltas)
{
    if (known >= latest || free_bytes < delta_header_bytes || deltas.full())
        return free_bytes;
    Delta delta;
    delta.origin = origin;
    delta.start_number = start_number;
    delta.base = known;
    delta.up_to = known;
    auto remaining_bytes = free_bytes - delta_header_bytes;
    auto next = changes.upper_bound(known);
    for (; next != changes.end(); ++next) {
        const auto& item = get_item(next->second);
        const auto size = delta.size_with(item);
        if (size > remaining_bytes || !delta.add(item))
            break;
        remaining_bytes -= size;
        delta.up_to = next->first;
    }
    if (next == changes.end())
        delta.up_to = latest;
    if (delta.up_to == known)
        return free_bytes;
    known = delta.up_to;
    deltas.items.push_back(std::move(delta));
    return remaining_bytes;
}

} // namespace

std::size_t upstream_directory::collect_departures(member_key origin, const origin_lists& lists,
                                                   origin_versions& known, std::size_t free_bytes,
                                                   gossip_message& message)
{
    if (known.start_number < lists.start_number)
        known = {lists.start_number, 0, 0};
    if (known.start_number > lists.start_number)
        return free_bytes;
    return collect_changes(
        origin, lists.start_number, lists.departures_version, known.departures, lists.departures,
        [](const dated_departure& dated) -> const departure& { return dated.item; }, free_bytes,
        message.departures);
}

std::size_t upstream_directory::collect_arrivals(member_key origin, const origin_lists& lists,
                                                 origin_versions& known, std::size_t free_bytes,
                                                 gossip_message& message)
{
    if (known.start_number != lists.start_number)
        return free_bytes;
    return collect_changes(
        origin, lists.start_number, lists.arrivals_version, known.arrivals, lists.arrivals,
        [](const arrival& item) -> const arrival& { return item; }, free_bytes, message.arrivals);
}

std::size_t upstream_directory::collect_departures(member_key receiver, version_vector& known,
                                                   std::size_t free_bytes,
                                                   gossip_message& message) const
{
    for (const auto& [origin, lists] : origins_) {
        if (origin != receiver)
            free_bytes = collect_departures(origin, lists, known[origin], free_bytes, message);
    }
    return free_bytes;
}

std::size_t upstream_directory::collect_arrivals(member_key receiver, version_vector& known,
                                                 std::size_t free_bytes,
                                                 gossip_message& message) const
{
    free_bytes = collect_arrivals(self_, origins_.at(self_), known[self_], free_bytes, message);
    for (const auto& [origin, lists] : origins_) {
        if (origin != receiver && origin != self_)
            free_bytes = collect_arrivals(origin, lists, known[origin], free_bytes, message);
    }
    return free_bytes;
}

std::size_t upstream_directory::collect_own(version_vector& known, std::size_t free_bytes,
                                            gossip_message& message) const
{
    const auto& own = origins_.at(self_);
    free_bytes = collect_departures(self_, own, known[self_], free_bytes, message);
    return collect_arrivals(self_, own, known[self_], free_bytes, message);
}

bool upstream_directory::lacks_departure(member_key receiver, const version_vector& known) const
{
    return std::any_of(origins_.begin(), origins_.end(), [&](const auto& item) {
        const auto& lists = item.second;
        const auto versions = known.find(item.first);
        if (item.first == receiver)
            return false;
        if (versions == known.end() || versions->second.start_number < lists.start_number)
            return lists.departures_version > 0;
        return versions->second.start_number == lists.start_number &&
               versions->second.departures < lists.departures_version;
    });
}

bool upstream_directory::lacks_own_changes(const version_vector& known) const
{
    const auto& own = origins_.at(self_);
    const auto versions = known.find(self_);
    if (versions == known.end() || versions->second.start_number < own.start_number)
        return own.departures_version + own.arrivals_version > 0;
    return versions->second.departures < own.departures_version ||
           versions->second.arrivals < own.arrivals_version;
}

bool upstream_directory::lacks_any_change(member_key receiver, const version_vector& known) const
{
    return std::any_of(origins_.begin(), origins_.end(), [&](const auto& item) {
        const auto& lists = item.second;
        const auto versions = known.find(item.first);
        if (item.first == receiver)
            return false;
        if (versions == known.end() || versions->second.start_number < lists.start_number)
            return lists.departures_version + lists.arrivals_version > 0;
        return versions->second.start_number == lists.start_number &&
               (versions->second.departures < lists.departures_version ||
                versions->second.arrivals < lists.arrivals_version);
    });
}

} // namespace galenaturn::membership
