#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace galenaturn::suspension {

/** Name of the environment variable with the path of the table's file. */
inline constexpr const char* table_variable = "GALENATURN_SUSPENSION_TABLE";

/** State of all suspensions of a test; a file that the test and its processes map. */
struct suspension_table {
    static constexpr std::size_t slots = 1U << 16U;
    static constexpr std::size_t link_slots = 1U << 8U;

    /** By the low 16 bits of the process id: the time that its CLOCK_MONOTONIC has left out. */
    std::atomic<std::int64_t> steady_behind_ns[slots];
    /** The same of its CLOCK_BOOTTIME. */
    std::atomic<std::int64_t> boot_behind_ns[slots];
    /** The same: how far its time of day is ahead. */
    std::atomic<std::int64_t> time_of_day_ahead_ns[slots];
    /** By the low 16 bits of the IPv4 address: whether what is sent there is lost. */
    std::atomic<bool> is_away[slots];
    /** By `link_slot` of the sender and of the receiver: whether what is sent is lost. */
    std::atomic<bool> is_cut[link_slots][link_slots];
};

/** Returns the slot of an IPv4 address in host order: of its domain and its host. */
constexpr std::size_t link_slot(std::uint32_t address)
{
    constexpr std::uint32_t hosts = 64;
    return (address >> 8U) % (suspension_table::link_slots / hosts) * hosts + address % hosts;
}

/** Maps the file at `path`, which is created if `create` is set. Returns null on failure. */
suspension_table* map_table(const char* path, bool create);

} // namespace galenaturn::suspension
