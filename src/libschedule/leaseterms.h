#pragma once

#include <galenaturn/core.h>

#include <cstdint>

namespace galenaturn::schedule {

/** Durations of worker leases and stewardships. Every process must use the same values. */
struct lease_terms {
    /** How long a worker may run a task after sending the heartbeat that renewed the lease. */
    duration worker_lease{std::chrono::seconds{6}};
    /** Maximum drift between two clocks, as a share of the elapsed time. */
    double clock_margin{0.01};
    /**
     * Another process of the domain may become steward once the current one is silent for longer.
     */
    duration stewardship_limit{std::chrono::seconds{30}};
};

/**
 * Returns `span` extended by the clock margin: how long the grantor of a lease must wait to be sure
 * that the lease has expired on the holder's clock.
 */
duration grantor_span(const lease_terms& terms, duration span);

/**
 * Returns how long a partitioned failure domain may keep running a task: `hold`, but at least two
 * worker leases.
 */
duration effective_hold(const lease_terms& terms, duration hold);

/**
 * Returns the epoch that fences a worker's commands. It combines, from the highest bits down, the
 * ledger's assignment, the stewardship and the number of the placement, so that every later
 * placement of a task has a higher epoch.
 */
epoch placement_epoch(epoch assignment, epoch stewardship, std::uint32_t placements);
/** Returns the ledger's assignment that is contained in a placement epoch. */
epoch assignment_of(epoch placement);

/** Maximum number of placements of one assignment under one stewardship. */
constexpr std::uint32_t max_placements = (1U << 14) - 1;

} // namespace galenaturn::schedule
