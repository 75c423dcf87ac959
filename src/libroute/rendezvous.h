#pragma once

#include <galenaturn/core.h>

#include <span>
#include <vector>

namespace galenaturn::route {

/**
 * Returns the index in `processes` of the home entry of `upstream`: the entry that owns and hands
 * out the slots of the upstream. It is chosen by rendezvous hashing: when an entry joins or leaves,
 * only the upstreams that it gains or loses change their home entry.
 */
std::size_t home_entry_index(const upstream_id& upstream, std::span<const process_id> processes);

/**
 * Returns the maximum number of idle connections that each of `entries` processes may keep open to
 * an upstream, so that all of them stay within its connection limit while every slot is in use.
 */
std::size_t idle_connection_limit(std::uint32_t slots, std::uint32_t connections,
                                  std::size_t entries);

} // namespace galenaturn::route
