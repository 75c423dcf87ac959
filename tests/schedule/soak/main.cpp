#include "clustersimulation.h"
#include "jobfaultsimulation.h"
#include "placementsimulation.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int32(seconds, 10, "How long to run");
DEFINE_uint64(seed, 1, "First seed; each further run takes the next one");

namespace {

using galenaturn::schedule::job_fault_counts;

/** Adds what went wrong in a run with late commands to the sum, and prints it. */
void add_late_commands(job_fault_counts& sum, std::uint64_t seed)
{
    using count = std::uint64_t job_fault_counts::*;
    const auto counts = run_job_fault_simulation(galenaturn::schedule::late_command_options(seed));
    const std::pair<const char*, count> broken[] = {
        {"doubled_starts", &job_fault_counts::doubled_starts},
        {"oversized_starts", &job_fault_counts::oversized_starts},
        {"starts_after_cancel", &job_fault_counts::starts_after_cancel},
        {"low_counts", &job_fault_counts::low_counts},
        {"premature_starts", &job_fault_counts::premature_starts},
        {"sound_jobs_failed", &job_fault_counts::sound_jobs_failed}};
    for (const auto& [name, member] : broken) {
        sum.*member += counts.*member;
        if (counts.*member > 0)
            std::cout << "seed " << seed << ": " << name << "=" << counts.*member << std::endl;
    }
    sum.starts += counts.starts;
    sum.late_commands += counts.late_commands;
    sum.cancels += counts.cancels;
    sum.sound_jobs += counts.sound_jobs;
    sum.sound_jobs_succeeded += counts.sound_jobs_succeeded;
    sum.sound_job_seconds += counts.sound_job_seconds;
}

} // namespace

/** Runs the simulations with consecutive seeds until the time is over. */
int main(int argc, char** argv)
{
    using namespace galenaturn;
    gflags::SetUsageMessage("[--seconds N] [--seed S]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    init_log(log_level::error);
    const auto end = monotonic_now() + std::chrono::seconds{FLAGS_seconds};
    std::uint64_t seed = FLAGS_seed;
    constexpr int placement_steps = 1000;
    schedule::simulation_counts sum;
    schedule::placement_counts placements;
    schedule::job_fault_counts faults;
    do {
        std::cout << "seed " << seed << std::endl;
        schedule::simulation_options options;
        options.seed = seed;
        options.charts_folder = GALENATURN_SOURCE_DIR "/charts";
        const auto counts = schedule::cluster_simulation{options}.run();
        sum.finished += counts.finished;
        sum.starts += counts.starts;
        sum.moves += counts.moves;
        sum.steward_crashes += counts.steward_crashes;
        sum.worker_crashes += counts.worker_crashes;
        sum.partitions += counts.partitions;
        const auto placed = schedule::run_placement_simulation(seed, placement_steps);
        placements.starts += placed.starts;
        placements.remembered += placed.remembered;
        placements.missed_starts += placed.missed_starts;
        placements.oversized_starts += placed.oversized_starts;
        if (placed.missed_starts + placed.oversized_starts > 0)
            std::cout << "seed " << seed << ": missed_starts=" << placed.missed_starts
                      << " oversized_starts=" << placed.oversized_starts << std::endl;
        add_late_commands(faults, seed);
        ++seed;
    } while (monotonic_now() < end);
    std::cout << "runs=" << seed - FLAGS_seed << " finished=" << sum.finished
              << " starts=" << sum.starts << " moves=" << sum.moves
              << " steward_crashes=" << sum.steward_crashes
              << " worker_crashes=" << sum.worker_crashes << " partitions=" << sum.partitions
              << " job_starts=" << placements.starts << " remembered=" << placements.remembered
              << " missed_starts=" << placements.missed_starts
              << " oversized_starts=" << placements.oversized_starts << "\n"
              << "late_commands=" << faults.late_commands << " starts=" << faults.starts
              << " cancels=" << faults.cancels << " sound_jobs=" << faults.sound_jobs
              << " succeeded=" << faults.sound_jobs_succeeded
              << " sound_job_seconds=" << faults.sound_job_seconds
              << " doubled_starts=" << faults.doubled_starts
              << " oversized_starts=" << faults.oversized_starts
              << " starts_after_cancel=" << faults.starts_after_cancel
              << " low_counts=" << faults.low_counts
              << " premature_starts=" << faults.premature_starts << "\n";
    const bool sound = placements.missed_starts + placements.oversized_starts +
                           faults.doubled_starts + faults.oversized_starts +
                           faults.starts_after_cancel + faults.low_counts +
                           faults.premature_starts + faults.sound_jobs_failed ==
                       0;
    return sound ? 0 : 1;
}
