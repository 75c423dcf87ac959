#include "jobsizes.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** Weight of the newest sample in a moving average. */
constexpr double newest_weight = 0.1;
constexpr std::int64_t memory_growth_percent = 150;
constexpr std::uint64_t trusted_runs = 3;

double averaged(double average, std::uint64_t samples, double sample)
{
    // Plain average at first, so that the first sample alone does not dominate for long.
    const double weight = std::max(newest_weight, 1.0 / static_cast<double>(samples));
    return average + weight * (sample - average);
}

} // namespace

void learn_use(job_sizes& sizes, const job_id& job, const resources& used)
{
    if (used.processors <= millicores{})
        return;
    auto& size = sizes[job];
    ++size.uses;
    size.processors =
        averaged(size.processors, size.uses, static_cast<double>(used.processors.value()));
}

void learn_run_time(job_sizes& sizes, const job_id& job, duration run_time)
{
    auto& size = sizes[job];
    ++size.runs;
    size.run_seconds =
        averaged(size.run_seconds, size.runs, std::chrono::duration<double>(run_time).count());
}

void raise_memory(job_sizes& sizes, const job_id& job, bytes reserved)
{
    auto& floor = sizes[job].memory_floor;
    floor = std::max(floor, bytes{reserved.value() * memory_growth_percent / 100});
}

millicores expected_processors(const job_sizes& sizes, const job_id& job, millicores declared)
{
    const auto found = sizes.find(job);
    if (found == sizes.end() || found->second.uses < trusted_runs)
        return declared;
    return millicores{static_cast<std::int64_t>(found->second.processors)};
}

duration expected_run_time(const job_sizes& sizes, const job_id& job, duration declared)
{
    const auto found = sizes.find(job);
    if (found == sizes.end() || found->second.runs < trusted_runs)
        return declared;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(found->second.run_seconds));
}

resources needed_reservation(const job_sizes& sizes, const job_id& job, resources declared)
{
    const auto found = sizes.find(job);
    if (found != sizes.end())
        declared.memory = std::max(declared.memory, found->second.memory_floor);
    return declared;
}

} // namespace galenaturn::schedule
