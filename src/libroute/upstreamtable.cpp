#include "upstreamtable.h"

#include <algorithm>
#include <bit>

namespace galenaturn::route {

namespace {

/** How many upstreams of one level are compared by their latency. */
constexpr int compared_upstreams = 4;
constexpr double latency_step = 0.1;
constexpr std::uint32_t top_level = slot_levels - 1;

/** Returns whether the upstream may get new work at all. */
bool takes_work(const upstream_record& upstream)
{
    return upstream.present && upstream.home && !upstream.leaving &&
           upstream.health.state != health_state::ejected;
}

std::uint8_t level_of(const upstream_record& upstream)
{
    const auto free = free_slots(upstream);
    if (free == 0)
        return 0;
    return static_cast<std::uint8_t>(std::max(1U, free * top_level / upstream.slots));
}

void unlink(upstream_table& table, upstream_index place)
{
    auto& upstream = table.records[place];
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
        pool.filled &= ~(std::uint64_t{1} << (level - 1U));
    upstream.level = 0;
    upstream.previous = no_upstream;
    upstream.next = no_upstream;
}

void link(upstream_table& table, upstream_index place, std::uint8_t level)
{
    if (level == 0)
        return;
    auto& upstream = table.records[place];
    auto& pool = table.pools[upstream.service];
    upstream.level = level;
    upstream.previous = pool.tails[level];
    upstream.next = no_upstream;
    if (upstream.previous != no_upstream)
        table.records[upstream.previous].next = place;
    else
        pool.heads[level] = place;
    pool.tails[level] = place;
    pool.filled |= std::uint64_t{1} << (level - 1U);
}

/** Puts the upstream into the list that its free slots call for. */
void relink(upstream_table& table, upstream_index place)
{
    const auto level = level_of(table.records[place]);
    unlink(table, place);
    link(table, place, level);
}

/** Changes an upstream by `change` and keeps the sums of its pool and its list right. */
template <class Change>
void update(upstream_table& table, upstream_index place, Change change)
{
    auto& upstream = table.records[place];
    auto& pool = table.pools[upstream.service];
    const auto before = takes_work(upstream) ? upstream.slots : 0;
    const auto was_present = upstream.present;
    const auto was_ejected = was_present && upstream.health.state != health_state::healthy;
    change(upstream);
    const auto after = takes_work(upstream) ? upstream.slots : 0;
    const auto is_ejected = upstream.present && upstream.health.state != health_state::healthy;
    pool.slots += static_cast<std::int64_t>(after) - static_cast<std::int64_t>(before);
    pool.present += (upstream.present ? 1U : 0U) - (was_present ? 1U : 0U);
    pool.ejected += (is_ejected ? 1U : 0U) - (was_ejected ? 1U : 0U);
    relink(table, place);
}

upstream_index add_record(upstream_table& table, std::uint32_t service, const upstream_id& id)
{
    const auto place = static_cast<upstream_index>(table.records.size());
    upstream_record record;
    record.id = id;
    record.service = service;
    table.records.push_back(record);
    pool_of(table, service).members.push_back(place);
    table.places.emplace(id, place);
    return place;
}

bool is_newer(const upstream_record& known, const wire::upstream_announcement& news)
{
    if (news.life != known.life)
        return news.life > known.life;
    return news.sequence > known.sequence;
}

void take_over(upstream_record& upstream, const wire::upstream_announcement& news)
{
    const bool new_life = news.life != upstream.life;
    if (new_life)
        upstream.health = upstream_health{};
    upstream.address = news.address;
    upstream.life = news.life;
    upstream.sequence = news.sequence;
    upstream.slots = std::min(news.slots, news.connections);
    upstream.connections = news.connections;
    upstream.leaving = news.leaving;
    upstream.present = true;
    // The report counts what this entry handed out as well; the rest is an earlier home's.
    const auto others =
        news.busy_slots > upstream.handed_out ? news.busy_slots - upstream.handed_out : 0;
    upstream.withheld = new_life ? others : std::min(upstream.withheld, others);
}

bool contains(std::span<const upstream_index> places, upstream_index place)
{
    return std::find(places.begin(), places.end(), place) != places.end();
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
                       const wire::upstream_announcement& news)
{
    const auto known = table.places.find(news.id);
    if (known != table.places.end()) {
        auto& record = table.records[known->second];
        if (record.present && !is_newer(record, news))
            return false;
        if (record.service != service) {
            // The old record stays for the slots that are still to be returned to it.
            update(table, known->second, [](upstream_record& old) { old.present = false; });
            table.places.erase(known);
        }
    }
    const auto found = table.places.find(news.id);
    const auto place =
        found == table.places.end() ? add_record(table, service, news.id) : found->second;
    update(table, place, [&](upstream_record& upstream) { take_over(upstream, news); });
    return true;
}

void lapse_upstream(upstream_table& table, const upstream_id& id)
{
    const auto known = table.places.find(id);
    if (known == table.places.end())
        return;
    update(table, known->second, [](upstream_record& upstream) { upstream.present = false; });
}

void set_home(upstream_table& table, upstream_index place, bool home)
{
    if (table.records.at(place).home == home)
        return;
    update(table, place, [&](upstream_record& upstream) {
        upstream.home = home;
        // A former home may have handed out all slots; its next reports say what is free.
        const auto rest = upstream.slots - std::min(upstream.slots, upstream.handed_out);
        upstream.withheld = home ? rest : 0;
    });
}

void withhold_slots(upstream_table& table, upstream_index place, std::uint32_t slots)
{
    update(table, place,
           [&](upstream_record& upstream) { upstream.withheld = std::min(slots, upstream.slots); });
}

std::uint32_t free_slots(const upstream_record& upstream)
{
    if (!takes_work(upstream))
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
    for (auto levels = pool.filled; levels != 0;) {
        const auto level = static_cast<std::uint8_t>(std::bit_width(levels));
        levels &= ~(std::uint64_t{1} << (level - 1U));
        std::optional<upstream_index> best;
        int compared = 0;
        for (auto place = pool.heads[level]; place != no_upstream && compared < compared_upstreams;
             place = table.records[place].next) {
            if (contains(excluded, place))
                continue;
            ++compared;
            if (!best || table.records[place].latency_us < table.records[*best].latency_us)
                best = place;
        }
        if (best)
            return best;
    }
    return {};
}

void take_slot(upstream_table& table, upstream_index place)
{
    update(table, place, [](upstream_record& upstream) {
        ++upstream.handed_out;
        if (upstream.health.state == health_state::probing)
            upstream.health.probe_in_progress = true;
    });
    const auto& upstream = table.records[place];
    GN_INVARIANT(upstream.handed_out <= upstream.slots, {"upstream", upstream.id},
                 {"handed_out", upstream.handed_out}, {"slots", upstream.slots});
    GN_INVARIANT(!upstream.leaving, {"upstream", upstream.id});
}

void return_slot(upstream_table& table, upstream_index place)
{
    GN_INVARIANT(table.records.at(place).handed_out > 0, {"upstream", table.records[place].id});
    update(table, place, [](upstream_record& upstream) {
        // A probe that came back without a verdict makes room for another one.
        if (--upstream.handed_out == 0)
            upstream.health.probe_in_progress = false;
    });
}

health_change record_attempt(upstream_table& table, upstream_index place, bool failed,
                             duration took, time_point now)
{
    auto& pool = table.pools[table.records.at(place).service];
    const bool may_eject = pool.ejected < ejection_cap(pool.present);
    auto change = health_change::none;
    update(table, place, [&](upstream_record& upstream) {
        change = record_answer(upstream.health, failed, may_eject, now);
        if (failed)
            return;
        const auto sample = static_cast<double>(took.count());
        upstream.latency_us +=
            upstream.latency_us <= 0 ? sample : latency_step * (sample - upstream.latency_us);
    });
    return change;
}

std::size_t end_ejections(upstream_table& table, std::uint32_t service, time_point now)
{
    std::size_t ended = 0;
    if (service >= table.pools.size() || table.pools[service].ejected == 0)
        return ended;
    for (const auto place : table.pools[service].members) {
        if (table.records[place].health.state != health_state::ejected)
            continue;
        update(table, place, [&](upstream_record& upstream) {
            ended += end_ejection(upstream.health, now) ? 1 : 0;
        });
    }
    return ended;
}

std::optional<upstream_index> find_upstream(const upstream_table& table, const upstream_id& id)
{
    const auto known = table.places.find(id);
    if (known == table.places.end())
        return {};
    return known->second;
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
    for (const auto place : table.pools[service].members) {
        const auto& upstream = table.records[place];
        if (upstream.present && !upstream.leaving)
            slots += upstream.slots;
    }
    return slots;
}

} // namespace galenaturn::route
