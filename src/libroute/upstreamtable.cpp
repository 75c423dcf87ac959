#include "upstreamtable.h"

#include <algorithm>
#include <bit>

namespace galenaturn::route {

namespace {

/** Maximum number of upstreams of one level that are compared by latency. */
constexpr int max_compared_upstreams = 4;
constexpr double latency_smoothing_factor = 0.1;
constexpr std::uint32_t top_level = slot_levels - 1;

/** Returns whether this entry may send new requests to the upstream. */
bool accepts_requests(const upstream_record& upstream)
{
    return upstream.present && upstream.home && !upstream.leaving &&
           upstream.health.state != health_state::ejected;
}

std::uint8_t free_slot_level(const upstream_record& upstream)
{
    const auto free = free_slots(upstream);
    if (free == 0)
        return 0;
    return static_cast<std::uint8_t>(std::max(1U, free * top_level / upstream.slots));
}

void unlink(upstream_table& table, upstream_index index)
{
    auto& upstream = table.records[index];
    auto& pool = table.pools[upstream.service];
    const auto level = upstream.level;
    if (level == 0)
        return;
    if (upstream.previous != no_upstream)
        table.records[upstream.previous].next = upstream.next;
    else
        pool.heads[level] = upstream.next;
    if (upstream.next != no_upstream)
        table.records[upstream.next].previous = upstream.previous;
    else
        pool.tails[level] = upstream.previous;
    if (pool.heads[level] == no_upstream)
        pool.nonempty_levels &= ~(std::uint64_t{1} << (level - 1U));
    upstream.level = 0;
    upstream.previous = no_upstream;
    upstream.next = no_upstream;
}

void link(upstream_table& table, upstream_index index, std::uint8_t level)
{
    if (level == 0)
        return;
    auto& upstream = table.records[index];
    auto& pool = table.pools[upstream.service];
    upstream.level = level;
    upstream.previous = pool.tails[level];
    upstream.next = no_upstream;
    if (upstream.previous != no_upstream)
        table.records[upstream.previous].next = index;
    else
        pool.heads[level] = index;
    pool.tails[level] = index;
    pool.nonempty_levels |= std::uint64_t{1} << (level - 1U);
}

/** Moves the upstream to the list of its current level of free slots. */
void relink(upstream_table& table, upstream_index index)
{
    const auto level = free_slot_level(table.records[index]);
    unlink(table, index);
    link(table, index, level);
}

/** Applies `change` to an upstream and updates the totals and lists of its pool. */
template <class Change>
void update(upstream_table& table, upstream_index index, Change change)
{
    auto& upstream = table.records[index];
    auto& pool = table.pools[upstream.service];
    const auto before = accepts_requests(upstream) ? upstream.slots : 0;
    const auto was_present = upstream.present;
    const auto was_unhealthy = was_present && upstream.health.state != health_state::healthy;
    change(upstream);
    const auto after = accepts_requests(upstream) ? upstream.slots : 0;
    const auto is_unhealthy = upstream.present && upstream.health.state != health_state::healthy;
    pool.slots += static_cast<std::int64_t>(after) - static_cast<std::int64_t>(before);
    pool.present += (upstream.present ? 1U : 0U) - (was_present ? 1U : 0U);
    pool.ejected += (is_unhealthy ? 1U : 0U) - (was_unhealthy ? 1U : 0U);
    relink(table, index);
}

upstream_index add_record(upstream_table& table, std::uint32_t service, const upstream_id& id)
{
    const auto index = static_cast<upstream_index>(table.records.size());
    upstream_record record;
    record.id = id;
    record.service = service;
    table.records.push_back(record);
    pool_of(table, service).members.push_back(index);
    table.index_by_id.emplace(id, index);
    return index;
}

bool is_newer(const upstream_record& record, const wire::upstream_announcement& announcement)
{
    if (announcement.incarnation_number != record.incarnation_number)
        return announcement.incarnation_number > record.incarnation_number;
    return announcement.sequence > record.sequence;
}

void apply_announcement(upstream_record& upstream, const wire::upstream_announcement& announcement)
{
    const bool new_incarnation = announcement.incarnation_number != upstream.incarnation_number;
    if (new_incarnation)
        upstream.health = upstream_health{};
    upstream.address = announcement.address;
    upstream.incarnation_number = announcement.incarnation_number;
    upstream.sequence = announcement.sequence;
    upstream.slots = std::min(announcement.slots, announcement.connections);
    upstream.connections = announcement.connections;
    upstream.leaving = announcement.leaving;
    upstream.present = true;
    // Busy slots beyond those that this entry handed out belong to a previous home entry.
    const auto busy_elsewhere = announcement.busy_slots > upstream.handed_out
                                    ? announcement.busy_slots - upstream.handed_out
                                    : 0;
    upstream.withheld =
        new_incarnation ? busy_elsewhere : std::min(upstream.withheld, busy_elsewhere);
}

bool contains(std::span<const upstream_index> indices, upstream_index index)
{
    return std::find(indices.begin(), indices.end(), index) != indices.end();
}

} // namespace

slot_pool::slot_pool()
{
    heads.fill(no_upstream);
    tails.fill(no_upstream);
}

slot_pool& pool_of(upstream_table& table, std::uint32_t service)
{
    if (service >= table.pools.size())
        table.pools.resize(service + 1);
    return table.pools[service];
}

bool announce_upstream(upstream_table& table, std::uint32_t service,
                       const wire::upstream_announcement& announcement)
{
    const auto existing = table.index_by_id.find(announcement.id);
    if (existing != table.index_by_id.end()) {
        auto& record = table.records[existing->second];
        if (record.present && !is_newer(record, announcement))
            return false;
        if (record.service != service) {
            // Slots that are still in use are returned to the old record, so it stays.
            update(table, existing->second, [](upstream_record& old) { old.present = false; });
            table.index_by_id.erase(existing);
        }
    }
    const auto found = table.index_by_id.find(announcement.id);
    const auto index = found == table.index_by_id.end()
                           ? add_record(table, service, announcement.id)
                           : found->second;
    update(table, index,
           [&](upstream_record& upstream) { apply_announcement(upstream, announcement); });
    return true;
}

void expire_upstream(upstream_table& table, const upstream_id& id)
{
    const auto found = table.index_by_id.find(id);
    if (found == table.index_by_id.end())
        return;
    update(table, found->second, [](upstream_record& upstream) { upstream.present = false; });
}

void set_home(upstream_table& table, upstream_index index, bool home)
{
    if (table.records.at(index).home == home)
        return;
    update(table, index, [&](upstream_record& upstream) {
        upstream.home = home;
        // The previous home entry may have handed out all slots. Later announcements report which
        // of them are free.
        const auto not_handed_out = upstream.slots - std::min(upstream.slots, upstream.handed_out);
        upstream.withheld = home ? not_handed_out : 0;
    });
}

void withhold_slots(upstream_table& table, upstream_index index, std::uint32_t slots)
{
    update(table, index,
           [&](upstream_record& upstream) { upstream.withheld = std::min(slots, upstream.slots); });
}

std::uint32_t free_slots(const upstream_record& upstream)
{
    if (!accepts_requests(upstream))
        return 0;
    if (upstream.health.state == health_state::probing)
        return upstream.health.probe_in_progress || upstream.handed_out >= upstream.slots ? 0 : 1;
    const auto used = upstream.handed_out + upstream.withheld;
    return used >= upstream.slots ? 0 : upstream.slots - used;
}

std::optional<upstream_index> choose_upstream(upstream_table& table, std::uint32_t service,
                                              std::span<const upstream_index> excluded)
{
    if (service >= table.pools.size())
        return {};
    auto& pool = table.pools[service];
    for (auto levels = pool.nonempty_levels; levels != 0;) {
        const auto level = static_cast<std::uint8_t>(std::bit_width(levels));
        levels &= ~(std::uint64_t{1} << (level - 1U));
        std::optional<upstream_index> best;
        int compared = 0;
        for (auto index = pool.heads[level];
             index != no_upstream && compared < max_compared_upstreams;
             index = table.records[index].next) {
            if (contains(excluded, index))
                continue;
            ++compared;
            if (!best || table.records[index].latency_us < table.records[*best].latency_us)
                best = index;
        }
        if (best)
            return best;
    }
    return {};
}

void take_slot(upstream_table& table, upstream_index index)
{
    update(table, index, [](upstream_record& upstream) {
        ++upstream.handed_out;
        if (upstream.health.state == health_state::probing)
            upstream.health.probe_in_progress = true;
    });
    const auto& upstream = table.records[index];
    GN_INVARIANT(upstream.handed_out <= upstream.slots, {"upstream", upstream.id},
                 {"handed_out", upstream.handed_out}, {"slots", upstream.slots});
    GN_INVARIANT(!upstream.leaving, {"upstream", upstream.id});
}

void return_slot(upstream_table& table, upstream_index index)
{
    GN_INVARIANT(table.records.at(index).handed_out > 0, {"upstream", table.records[index].id});
    update(table, index, [](upstream_record& upstream) {
        // A probe that ended without a result is replaced by another one.
        if (--upstream.handed_out == 0)
            upstream.health.probe_in_progress = false;
    });
}

health_change record_attempt(upstream_table& table, upstream_index index, bool failed,
                             duration took, time_point now)
{
    auto& pool = table.pools[table.records.at(index).service];
    const bool may_eject = pool.ejected < max_ejected(pool.present);
    auto change = health_change::none;
    update(table, index, [&](upstream_record& upstream) {
        // An attempt from before the last ejection does not show the state of the upstream now.
        if (now - took >= upstream.health.ejected_at)
            change = record_result(upstream.health, failed, may_eject, now);
        if (failed)
            return;
        const auto sample = static_cast<double>(took.count());
        upstream.latency_us += upstream.latency_us <= 0
                                   ? sample
                                   : latency_smoothing_factor * (sample - upstream.latency_us);
    });
    return change;
}

std::size_t end_ejections(upstream_table& table, std::uint32_t service, time_point now)
{
    std::size_t ended = 0;
    if (service >= table.pools.size() || table.pools[service].ejected == 0)
        return ended;
    for (const auto index : table.pools[service].members) {
        if (table.records[index].health.state != health_state::ejected)
            continue;
        update(table, index, [&](upstream_record& upstream) {
            ended += end_ejection(upstream.health, now) ? 1 : 0;
        });
    }
    return ended;
}

std::optional<upstream_index> find_upstream(const upstream_table& table, const upstream_id& id)
{
    const auto found = table.index_by_id.find(id);
    if (found == table.index_by_id.end())
        return {};
    return found->second;
}

bool has_upstream(const upstream_table& table, std::uint32_t service)
{
    return service < table.pools.size() && table.pools[service].slots > 0;
}

std::int64_t known_slots(const upstream_table& table, std::uint32_t service)
{
    std::int64_t slots = 0;
    if (service >= table.pools.size())
        return slots;
    for (const auto index : table.pools[service].members) {
        const auto& upstream = table.records[index];
        if (upstream.present && !upstream.leaving)
            slots += upstream.slots;
    }
    return slots;
}

} // namespace galenaturn::route
