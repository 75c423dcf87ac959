#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <map>

namespace galenaturn::schedule {

/** What was learned of a job's tasks. Used for order and packing; a limit is never passed by it. */
struct job_size {
    std::uint64_t uses{0};
    /** Moving average of the processors that a task uses. */
    double processors{0};
    std::uint64_t runs{0};
    /** Moving average of the time from start to success, in seconds. */
    double run_seconds{0};
    /** Least memory to reserve, raised by each kill for lack of it. */
    bytes memory_floor;
};

using job_sizes = std::map<job_id, job_size>;

void learn_use(job_sizes& sizes, const job_id& job, const resources& used);
void learn_run_time(job_sizes& sizes, const job_id& job, duration run_time);
/** Raises what the next task of the job reserves after one with `reserved` was killed. */
void raise_memory(job_sizes& sizes, const job_id& job, bytes reserved);

/** Returns the processors that a task of the job uses, or `declared` while nothing is known. */
millicores expected_processors(const job_sizes& sizes, const job_id& job, millicores declared);
/** Returns how long a task of the job runs, or `declared` while nothing is known. */
duration expected_run_time(const job_sizes& sizes, const job_id& job, duration declared);
/** Returns what a task with `declared` sizes must reserve. */
resources needed_reservation(const job_sizes& sizes, const job_id& job, resources declared);

} // namespace galenaturn::schedule
