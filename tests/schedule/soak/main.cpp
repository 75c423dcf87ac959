#include "clustersimulation.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int32(seconds, 10, "How long to run");
DEFINE_uint64(seed, 1, "First seed; each further run takes the next one");

/** Runs cluster simulations with consecutive seeds until the time is over. */
int main(int argc, char** argv)
{
    using namespace galenaturn;
    gflags::SetUsageMessage("[--seconds N] [--seed S]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    init_log(log_level::error);
    const auto end = monotonic_now() + std::chrono::seconds{FLAGS_seconds};
    std::uint64_t seed = FLAGS_seed;
    schedule::simulation_counts sum;
    do {
        std::cout << "seed " << seed << std::endl;
        schedule::simulation_options options;
        options.seed = seed++;
        options.charts_folder = GALENATURN_SOURCE_DIR "/charts";
        const auto counts = schedule::cluster_simulation{options}.run();
        sum.finished += counts.finished;
        sum.starts += counts.starts;
        sum.moves += counts.moves;
        sum.steward_crashes += counts.steward_crashes;
        sum.worker_crashes += counts.worker_crashes;
        sum.partitions += counts.partitions;
    } while (monotonic_now() < end);
    std::cout << "runs=" << seed - FLAGS_seed << " finished=" << sum.finished
              << " starts=" << sum.starts << " moves=" << sum.moves
              << " steward_crashes=" << sum.steward_crashes
              << " worker_crashes=" << sum.worker_crashes << " partitions=" << sum.partitions
              << "\n";
    return 0;
}
