#include "clustersimulation.h"
#include "jobfaultsimulation.h"
#include "placementsimulation.h"

#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

DEFINE_int32(seconds, 10, "How long to run");
DEFINE_uint64(seed, 1, "First seed; each further run takes the next one");
DEFINE_double(bad_input_share, 0,
              "Runs only bad input, with a leader that has this share of a processor");

namespace {

using galenaturn::schedule::job_fault_counts;

/** Runs the workers of jobs with faults, adds what went wrong to the sum, and prints it. */
void add_job_faults(job_fault_counts& sum, const galenaturn::schedule::job_fault_options& options)
{
    using count = std::uint64_t job_fault_counts::*;
    const auto seed = options.seed;
    const auto counts = run_job_fault_simulation(options);
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
    sum.incomplete_reports += counts.incomplete_reports;
    sum.leader_losses += counts.leader_losses;
    sum.sound_jobs += counts.sound_jobs;
    sum.sound_jobs_succeeded += counts.sound_jobs_succeeded;
    sum.sound_job_seconds += counts.sound_job_seconds;
}

/** Half of the delays, 99 of 100 and all of them are within these times, in milliseconds. */
std::string summary(const std::vector<galenaturn::duration>& delays)
{
    std::string text;
    for (const int percent : {50, 99, 100})
        text += std::to_string(galenaturn::schedule::quantile(delays, percent) /
                               std::chrono::milliseconds{1}) +
                (percent < 100 ? "/" : "");
    return text;
}

/** Runs bad input until the time is over. Returns whether all decisions were in time. */
bool run_bad_input()
{
    const auto end = galenaturn::monotonic_now() + std::chrono::seconds{FLAGS_seconds};
    job_fault_counts sum;
    auto seed = FLAGS_seed;
    do {
        const auto counts = run_job_fault_simulation(
            galenaturn::schedule::bad_input_options(seed, FLAGS_bad_input_share));
        sum.late_stops += counts.late_stops;
        sum.leaders_lost_while_busy += counts.leaders_lost_while_busy;
        sum.doubled_starts += counts.doubled_starts;
        sum.oversized_starts += counts.oversized_starts;
        sum.starts_after_cancel += counts.starts_after_cancel;
        std::cout << "seed " << seed << ": late_stops=" << counts.late_stops
                  << " leaders_lost_while_busy=" << counts.leaders_lost_while_busy
                  << " stop_delay_ms=" << summary(counts.stop_delays)
                  << " urgent_start_delay_ms=" << summary(counts.urgent_start_delays)
                  << " heartbeat_pause_ms="
                  << counts.longest_heartbeat_pause / std::chrono::milliseconds{1}
                  << " starts=" << counts.starts << " cancels=" << counts.cancels
                  << " refused_stops=" << counts.refused_stops
                  << " unanswered_stops=" << counts.unanswered_stops
                  << " orphan_stops=" << counts.orphan_stops
                  << " doubled_starts=" << counts.doubled_starts
                  << " oversized_starts=" << counts.oversized_starts
                  << " starts_after_cancel=" << counts.starts_after_cancel << std::endl;
        ++seed;
    } while (galenaturn::monotonic_now() < end);
    std::cout << "runs=" << seed - FLAGS_seed << " late_stops=" << sum.late_stops
              << " leaders_lost_while_busy=" << sum.leaders_lost_while_busy
              << " doubled_starts=" << sum.doubled_starts
              << " oversized_starts=" << sum.oversized_starts
              << " starts_after_cancel=" << sum.starts_after_cancel << "\n";
    return sum.late_stops + sum.leaders_lost_while_busy + sum.doubled_starts +
               sum.oversized_starts + sum.starts_after_cancel ==
           0;
}

} // namespace

/** Runs the simulations with consecutive seeds until the time is over. */
int main(int argc, char** argv)
{
    using namespace galenaturn;
    gflags::SetUsageMessage("[--seconds N] [--seed S] [--bad_input_share SHARE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    init_log(log_level::error);
    if (FLAGS_bad_input_share > 0)
        return run_bad_input() ? 0 : 1;
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
        add_job_faults(faults, schedule::late_command_options(seed));
        add_job_faults(faults, schedule::listed_ends_options(seed));
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
              << " cancels=" << faults.cancels
              << " incomplete_reports=" << faults.incomplete_reports
              << " leader_losses=" << faults.leader_losses << " sound_jobs=" << faults.sound_jobs
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
