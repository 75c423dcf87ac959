#pragma once

#include <galenaturn/core.h>

#include <cstdint>

namespace galenaturn::route {

/** Whether an upstream receives requests. */
enum class health_state : std::uint8_t {
    healthy,
    /** Receives no requests before `ejected_until`. */
    ejected,
    /** Receives one request at a time until enough of them have succeeded. */
    probing,
};

/** Health of one upstream, derived from its recent responses. */
struct upstream_health {
    health_state state{health_state::healthy};
    std::uint32_t consecutive_failures{0};
    /** Moving average of the fraction of attempts that failed, 0 to 1. */
    double failure_share{0};
    /** Attempts recorded while healthy. */
    std::uint32_t samples{0};
    /** Number of ejections, halved on recovery. Each one doubles the next, up to a limit. */
    std::uint32_t ejections{0};
    /** Start of the last ejection, kept after the recovery. */
    time_point ejected_at;
    time_point ejected_until;
    bool probe_in_progress{false};
    std::uint32_t successful_probes{0};
};

/** How the health of an upstream changed with one more attempt. */
enum class health_change : std::uint8_t { none, ejected, recovered };

/** Returns whether the upstream fails often enough to be ejected, whatever the cap. */
bool should_eject(const upstream_health& health);

/**
 * Records the result of an attempt. `may_eject` is false while the maximum number of upstreams is
 * ejected; a failing upstream then stays in use.
 */
health_change record_result(upstream_health& health, bool failed, bool may_eject, time_point now);

/** Starts to probe an upstream whose ejection is over. Returns whether the state changed. */
bool end_ejection(upstream_health& health, time_point now);

/** Returns the maximum number of `upstreams` that may be ejected at once. */
constexpr std::uint32_t max_ejected(std::uint32_t upstreams)
{
    // With two upstreams or fewer, too few others remain to identify an outlier.
    if (upstreams < 3)
        return 0;
    const std::uint32_t limit = upstreams * 3 / 10;
    return limit > 0 ? limit : 1;
}

} // namespace galenaturn::route
