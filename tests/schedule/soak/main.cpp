#include "clustersimulation.h"
#include "placementsimulation.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int32(seconds, 10, "How long to run");
DEFINE_uint64(seed, 1, "First seed; each further run takes the next one");

/** Runs both simulations with consecutive seeds until the time is over. */
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
        ++seed;
    } while (monotonic_now() < end);
    std::cout << "runs=" << seed - FLAGS_seed << " finished=" << sum.finished
              << " starts=" << sum.starts << " moves=" << sum.moves
              << " steward_crashes=" << sum.steward_crashes
              << " worker_crashes=" << sum.worker_crashes << " partitions=" << sum.partitions
              << " job_starts=" << placements.starts << " remembered=" << placements.remembered
              << " missed_starts=" << placements.missed_starts
              << " oversized_starts=" << placements.oversized_starts << "\n";
    return placements.missed_starts + placements.oversized_starts == 0 ? 0 : 1;
}
