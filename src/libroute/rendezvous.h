#pragma once

#include <galenaturn/core.h>

#include <span>
#include <vector>

namespace galenaturn::route {

/**
 * Returns the index of the process that is home to `upstream` among `processes`, by rendezvous
 * hash: when a process comes or goes, only the upstreams that it gains or loses move.
 */
std::size_t home_of(const upstream_id& upstream, std::span<const process_id> processes);

/**
 * Returns how many connections without a request one of `entries` processes may keep open to an
 * upstream, so that all of them together stay below its connections with every slot in use.
 */
std::size_t idle_connection_limit(std::uint32_t slots, std::uint32_t connections,
                                  std::size_t entries);

} // namespace galenaturn::route
