#pragma once

#include "ejection.h"

#include <galenaturn/messages.h>

#include <array>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace galenaturn::route {

/** An upstream's place in the table; valid as long as the table, also after the upstream left. */
using upstream_index = std::uint32_t;
constexpr upstream_index no_upstream = ~upstream_index{0};

/** One upstream as its home entry sees it. */
struct upstream_record {
    upstream_id id;
    std::uint32_t service{0};
    ip_endpoint address;
    incarnation life;
    std::uint64_t sequence{0};
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    /** Slots handed out here and not yet returned, loans to other entries included. */
    std::uint32_t handed_out{0};
    /** Slots that an earlier home may still have handed out. */
    std::uint32_t withheld{0};
    bool leaving{false};
    /** Whether this entry is the home and hands out the slots. */
    bool home{false};
    bool present{false};
    upstream_health health;
    /** Moving mean of answer times. */
    double latency_us{0};
    /** Position in the lists of `slot_pool`. */
    std::uint8_t level{0};
    upstream_index previous{no_upstream};
    upstream_index next{no_upstream};
};

/** Levels of free slots; 0 means none. */
constexpr std::size_t slot_levels = 65;

/** The upstreams of one service, in lists by the level of their free slots. */
struct slot_pool {
    std::array<upstream_index, slot_levels> heads{};
    std::array<upstream_index, slot_levels> tails{};
    /** Bit n is set where the list of level n + 1 has upstreams. */
    std::uint64_t filled{0};
    std::uint32_t present{0};
    std::uint32_t ejected{0};
    /** Slots and handed-out slots of the upstreams at home here that take work. */
    std::int64_t slots{0};
    std::vector<upstream_index> members;

    slot_pool();
};

/** Every upstream that this entry knows of, and the slots that it hands out. */
struct upstream_table {
    std::vector<upstream_record> records;
    std::vector<slot_pool> pools;
    std::unordered_map<upstream_id, upstream_index> places;
};

/** Returns the pool of a service, made where it is missing. */
slot_pool& pool_of(upstream_table& table, std::uint32_t service);

/** Takes over an announcement. Returns false where it is older than what the table has. */
bool announce_upstream(upstream_table& table, std::uint32_t service,
                       const wire::upstream_announcement& news);

/** Drops an upstream whose announcements have lapsed; it gets nothing new from now on. */
void lapse_upstream(upstream_table& table, const upstream_id& id);

/** Makes this entry the home of an upstream, or takes that away. */
void set_home(upstream_table& table, upstream_index place, bool home);

/** Keeps `slots` of the upstream back until its reports show them free. */
void withhold_slots(upstream_table& table, upstream_index place, std::uint32_t slots);

/** Returns how many slots of the upstream may be handed out now. */
std::uint32_t free_slots(const upstream_record& upstream);

/**
 * Returns the upstream with the most free slots in relation to its size, the quicker one where
 * several have as many. `excluded` were tried before. Does not allocate.
 */
std::optional<upstream_index> choose_upstream(upstream_table& table, std::uint32_t service,
                                              std::span<const upstream_index> excluded);

/** Hands out one slot. */
void take_slot(upstream_table& table, upstream_index place);

/** Takes a slot back. */
void return_slot(upstream_table& table, upstream_index place);

/** Records how an attempt ended; `took` is the time of a whole answer. */
health_change record_attempt(upstream_table& table, upstream_index place, bool failed,
                             duration took, time_point now);

/** Lets ejected upstreams whose time is up be probed. Returns how many. */
std::size_t end_ejections(upstream_table& table, std::uint32_t service, time_point now);

/** Returns the place of an upstream, or nothing where the table has never had it. */
std::optional<upstream_index> find_upstream(const upstream_table& table, const upstream_id& id);

/** Returns whether the service has an upstream here that takes new work, busy or not. */
bool has_upstream(const upstream_table& table, std::uint32_t service);

/** Returns the slots of all upstreams of the service that are known here, at home or not. */
std::int64_t known_slots(const upstream_table& table, std::uint32_t service);

} // namespace galenaturn::route
