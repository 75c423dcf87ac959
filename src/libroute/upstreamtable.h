#pragma once

#include "ejection.h"

#include <galenaturn/messages.h>

#include <array>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace galenaturn::route {

/** Index of an upstream in the table. It stays valid after the upstream has left. */
using upstream_index = std::uint32_t;
constexpr upstream_index no_upstream = ~upstream_index{0};

/**
 * State of one upstream at this entry. The home entry of an upstream is the entry that owns and
 * hands out its slots.
 */
struct upstream_record {
    upstream_id id;
    std::uint32_t service{0};
    ip_endpoint address;
    incarnation incarnation_number;
    std::uint64_t sequence{0};
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    /** Slots handed out by this entry and not yet returned, including loans to other entries. */
    std::uint32_t handed_out{0};
    /** Slots not handed out here because a previous home entry may still have them in use. */
    std::uint32_t withheld{0};
    bool leaving{false};
    /** Whether this entry is the home entry. */
    bool home{false};
    /** False once the announcements have expired or the upstream moved to another service. */
    bool present{false};
    upstream_health health;
    /** Moving average of response times. */
    double latency_us{0};
    /** Position in the lists of `slot_pool`; level 0 is in no list. */
    std::uint8_t level{0};
    upstream_index previous{no_upstream};
    upstream_index next{no_upstream};
};

/** Levels of free slots in proportion to all slots; level 0 means no free slot. */
constexpr std::size_t slot_levels = 65;

/** The upstreams of one service, in one linked list for each level of free slots. */
struct slot_pool {
    std::array<upstream_index, slot_levels> heads{};
    std::array<upstream_index, slot_levels> tails{};
    /** Bit n is set where the list of level n + 1 is not empty. */
    std::uint64_t nonempty_levels{0};
    /** Number of upstreams whose announcements are current. */
    std::uint32_t present{0};
    /** Those of them that are ejected or probed. */
    std::uint32_t ejected{0};
    /** All slots, free or not, of the upstreams that accept requests from this entry. */
    std::int64_t slots{0};
    std::vector<upstream_index> members;

    slot_pool();
};

/** All upstreams that were announced to this entry, and the slots that it hands out. */
struct upstream_table {
    std::vector<upstream_record> records;
    std::vector<slot_pool> pools;
    std::unordered_map<upstream_id, upstream_index> index_by_id;
};

/** Returns the pool of a service, creating it where it is missing. */
slot_pool& pool_of(upstream_table& table, std::uint32_t service);

/** Applies an announcement. Returns false where the table has the same one or a newer one. */
bool announce_upstream(upstream_table& table, std::uint32_t service,
                       const wire::upstream_announcement& announcement);

/** Marks an upstream as absent after its announcements expired; it gets no more requests. */
void expire_upstream(upstream_table& table, const upstream_id& id);

/** Sets whether this entry is the home entry of an upstream. */
void set_home(upstream_table& table, upstream_index index, bool home);

/** Withholds `slots` of the upstream until its announcements report them as free. */
void withhold_slots(upstream_table& table, upstream_index index, std::uint32_t slots);

/** Returns how many slots of the upstream may be handed out now. */
std::uint32_t free_slots(const upstream_record& upstream);

/**
 * Returns the upstream with the most free slots in proportion to its size. Among the first few of
 * the same level it chooses the one with the lowest latency. `excluded` were tried before. Does not
 * allocate.
 */
std::optional<upstream_index> choose_upstream(upstream_table& table, std::uint32_t service,
                                              std::span<const upstream_index> excluded);

/** Hands out one slot. */
void take_slot(upstream_table& table, upstream_index index);

/** Returns a slot that was handed out. */
void return_slot(upstream_table& table, upstream_index index);

/** Records the result of an attempt that began `took` before `now`. */
health_change record_attempt(upstream_table& table, upstream_index index, bool failed,
                             duration took, time_point now);

/** Starts to probe the upstreams whose ejection is over. Returns their number. */
std::size_t end_ejections(upstream_table& table, std::uint32_t service, time_point now);

/** Returns the index of an upstream, or nothing where it was never announced. */
std::optional<upstream_index> find_upstream(const upstream_table& table, const upstream_id& id);

/** Returns whether an upstream of the service accepts requests from this entry, busy or not. */
bool has_upstream(const upstream_table& table, std::uint32_t service);

/** Returns the slots of all current upstreams of the service, whichever their home entry. */
std::int64_t known_slots(const upstream_table& table, std::uint32_t service);

} // namespace galenaturn::route
