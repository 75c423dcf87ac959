#pragma once

#include <galenaturn/core.h>

#include <cstdint>

namespace galenaturn::schedule {

/** Lengths of the leases below the ledger's quorum. Every process uses the same terms. */
struct lease_terms {
    /** How long a worker may run a task after it sent the heartbeat that renewed it. */
    duration worker_lease{std::chrono::seconds{6}};
    /** Two clocks drift apart by at most this share of the time that passes. */
    double clock_margin{0.01};
    /** A steward that is silent for longer may be succeeded by another process of its domain. */
    duration stewardship_limit{std::chrono::seconds{30}};
};

/** Returns `span` as the one who granted it must count it, so that the holder's clock ends first.
 */
duration grantor_span(const lease_terms& terms, duration span);

/** Returns how long a cut-off domain may go on with a task; no hold is shorter than the leases. */
duration effective_hold(const lease_terms& terms, duration hold);

/**
 * The epoch in a worker's commands: the ledger's assignment, then the stewardship, then the count
 * of placements, so that any later placement of a task has a higher epoch.
 */
epoch placement_epoch(epoch assignment, epoch stewardship, std::uint32_t placements);
/** Returns the ledger's assignment that a worker's epoch belongs to. */
epoch assignment_of(epoch placement);

/** Placements of one assignment under one stewardship; then the task goes back to the ledger. */
constexpr std::uint32_t most_placements = (1U << 14) - 1;

} // namespace galenaturn::schedule
