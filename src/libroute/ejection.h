#pragma once

#include <galenaturn/core.h>

#include <cstdint>

namespace galenaturn::route {

/** Whether an upstream gets requests. */
enum class health_state : std::uint8_t {
    healthy,
    /** Gets nothing until `until`. */
    ejected,
    /** Gets one request at a time until enough have succeeded. */
    probing,
};

/** What recent answers say about one upstream. */
struct upstream_health {
    health_state state{health_state::healthy};
    std::uint32_t consecutive_failures{0};
    /** Moving share of failures among recent answers, 0 to 1. */
    double failure_share{0};
    std::uint32_t samples{0};
    /** Ejections without a healthy spell between them; each one lasts twice as long. */
    std::uint32_t ejections{0};
    time_point until;
    bool probe_in_progress{false};
    std::uint32_t probes_passed{0};
};

/** What became of an upstream's health after one more answer. */
enum class health_change : std::uint8_t { none, ejected, recovered };

/** Returns whether the health alone would have the upstream ejected. */
bool deserves_ejection(const upstream_health& health);

/**
 * Records an answer. `may_eject` is false while the cap on ejected upstreams is reached; the
 * upstream then stays in use.
 */
health_change record_answer(upstream_health& health, bool failed, bool may_eject, time_point now);

/** Moves an ejected upstream whose time is up to probing. Returns whether it did. */
bool end_ejection(upstream_health& health, time_point now);

/** Returns how many of `upstreams` may be ejected at once. */
constexpr std::uint32_t ejection_cap(std::uint32_t upstreams)
{
    // With two upstreams or fewer, ejecting one leaves too little to tell the outlier by.
    if (upstreams < 3)
        return 0;
    const std::uint32_t share = upstreams * 3 / 10;
    return share > 0 ? share : 1;
}

} // namespace galenaturn::route
