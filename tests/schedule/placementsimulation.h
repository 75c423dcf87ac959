#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace galenaturn::schedule {

/** What happened in a run; each must happen for the run to show anything. */
struct placement_counts {
    std::uint64_t starts{0};
    std::uint64_t ends{0};
    std::uint64_t refusals{0};
    std::uint64_t unanswered{0};
    std::uint64_t departures{0};
    std::uint64_t silences{0};
    std::uint64_t cancellations{0};
    /** Placements that would have failed again without a comparison. */
    std::uint64_t remembered{0};
    /** Starts that were possible in a pass, but not made because a failure was remembered. */
    std::uint64_t missed_starts{0};
    /** Starts beyond the capacity of a worker. */
    std::uint64_t oversized_starts{0};
    /** Starts of best-effort tasks beside latency-critical ones to learn, and below full speed. */
    std::uint64_t trials{0};
    std::uint64_t slowed_starts{0};
    /** Workers that were examined. */
    std::uint64_t examined{0};
};

/** All starts of a run, in order, as text. */
using placement_decisions = std::vector<std::string>;

/**
 * Runs the job scheduler on a small fleet with random jobs, refusals, silences and departures. Each
 * pass is followed by one that remembers no failed placements, which must start nothing more.
 */
placement_counts run_placement_simulation(std::uint64_t seed, int steps);

/**
 * Runs it with latency-critical tasks, whose tails best-effort tasks lengthen, and appends what was
 * decided. `examine_all`: each task is compared with each worker.
 */
placement_counts run_tail_simulation(std::uint64_t seed, int steps, bool examine_all,
                                     placement_decisions& decisions);

} // namespace galenaturn::schedule
