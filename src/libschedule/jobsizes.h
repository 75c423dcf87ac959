#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <map>

namespace galenaturn::schedule {

/**
 * Resource use learned from the tasks of a job. Used for ordering and packing; never raises a
 * limit.
 */
struct job_size {
    /** Number of samples of the processor use. */
    std::uint64_t uses{0};
    /** Moving average of the processors that a task uses. */
    double processors{0};
    /** Number of samples of the run time. */
    std::uint64_t runs{0};
    /** Moving average of the time from start to success, in seconds. */
    double run_seconds{0};
    /** Minimum memory to reserve, raised each time a task is killed for lack of memory. */
    bytes memory_floor;
};

using job_sizes = std::map<job_id, job_size>;

void learn_use(job_sizes& sizes, const job_id& job, const resources& used);
void learn_run_time(job_sizes& sizes, const job_id& job, duration run_time);
/**
 * Raises the memory reserved for later tasks of the job after one that had reserved `reserved` was
 * killed.
 */
void raise_memory(job_sizes& sizes, const job_id& job, bytes reserved);

/**
 * Returns the processors that a task of the job uses, or `declared` until enough runs were
 * observed.
 */
millicores expected_processors(const job_sizes& sizes, const job_id& job, millicores declared);
/**
 * Returns the expected run time of a task of the job, or `declared` until enough runs were
 * observed.
 */
duration expected_run_time(const job_sizes& sizes, const job_id& job, duration declared);
/** Returns what a task with the `declared` sizes has to reserve. */
resources needed_reservation(const job_sizes& sizes, const job_id& job, resources declared);

} // namespace galenaturn::schedule
