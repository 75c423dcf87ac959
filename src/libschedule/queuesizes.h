#pragma once

#include <array>
#include <cstdint>

namespace galenaturn::schedule {

/** The largest jobs of a queue, and how many of them complete while they are useful. */
struct size_group {
    /** Share of the jobs of the queue that belong to the group. */
    double share{0};
    /** Estimate of the least work of a job of the group. */
    double min_work{0};
    /** Moving average: 1 for a useful completion, 0 otherwise. */
    double served{1};
};

/**
 * Work of the jobs of a queue, in processor seconds, and how many complete while they are useful.
 * Less work comes first among equal jobs; under overload that starves the largest, so their share
 * is watched.
 */
struct queue_sizes {
    double average_work{0};
    std::uint64_t jobs{0};
    double served{1};
    std::array<size_group, 2> largest{size_group{.share = 0.1}, size_group{.share = 0.3}};
};

/** Counts a new job. */
void count_arrival(queue_sizes& queue, double work);
/** Counts a job that has completed while it was useful, or that is not expected to. */
void count_outcome(queue_sizes& queue, double work, bool useful);
/** Returns whether jobs with this work complete much less often than all jobs of the queue. */
bool is_underserved(const queue_sizes& queue, double work);

} // namespace galenaturn::schedule
