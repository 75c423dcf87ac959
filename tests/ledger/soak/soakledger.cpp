#include "../simulation/simulation.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int64(seconds, 60, "How long to run");
DEFINE_uint64(seed, 1, "Seed of the first run; each later run uses the next one");
DEFINE_uint64(steps, 40000, "Steps per run");
DEFINE_uint32(stalled, 0, "Share of syncs that take seconds, in thousandths");
DEFINE_uint64(fault, 0, "Number of the injected bug, 0 for none");
DEFINE_bool(power_lost_with_disks, false, "All power is lost whenever a disk is lost");
DEFINE_bool(suspensions, false, "Processes are suspended");
DEFINE_bool(clocks_omit_suspensions, false, "Injected bug: clocks leave out suspensions");
DEFINE_bool(confirmed_reads, false, "Leaders confirm reads by rounds of heartbeats");
DEFINE_bool(checks_leases, true, "Check reads under a lease, which need true clocks");

namespace {

using namespace galenaturn;

ledger::replica_faults fault_of(std::uint64_t number)
{
    ledger::replica_faults faults;
    faults.votes_twice = number == 1;
    faults.acknowledges_before_sync = number == 2;
    faults.commits_earlier_terms = number == 3;
    faults.skips_quorum_check = number == 4;
    faults.accepts_old_terms = number == 5;
    faults.ignores_leader_lease = number == 6;
    faults.overlaps_voter_changes = number == 7;
    faults.ignores_candidate_log = number == 8;
    faults.reads_without_lease = number == 9;
    faults.counts_lease_from_receipt = number == 10;
    faults.ignores_own_promise = number == 11;
    faults.forgets_promise_at_start = number == 12;
    faults.trusts_delayed_appends = number == 13;
    faults.reads_without_round = number == 14;
    return faults;
}

void print_failure(const ledger::simulation_options& options,
                   const ledger::simulation_result& result)
{
    std::cout << "FAILED seed=" << options.seed << " processes=" << options.processes
              << " steps=" << result.steps << ": " << result.violation << '\n';
    for (const auto& line : result.trace)
        std::cout << "  " << line << '\n';
}

} // namespace

/** Runs simulations with consecutive seeds; stops at a violated invariant and prints the seed. */
int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    init_log(log_level::fatal);
    const auto deadline = monotonic_now() + std::chrono::seconds{FLAGS_seconds};
    ledger::simulation_result sum;
    std::uint64_t runs = 0;
    for (auto seed = FLAGS_seed; monotonic_now() < deadline; ++seed, ++runs) {
        auto options =
            FLAGS_suspensions ? ledger::suspension_options(seed) : ledger::options_for_seed(seed);
        options.steps = FLAGS_steps;
        options.stalled = FLAGS_stalled;
        options.faults = fault_of(FLAGS_fault);
        options.power_lost_with_disks = FLAGS_power_lost_with_disks;
        options.clocks_omit_suspensions = FLAGS_clocks_omit_suspensions;
        options.confirmed_reads = FLAGS_confirmed_reads;
        options.checks_leases = FLAGS_checks_leases;
        const auto result = ledger::run_simulation(options);
        if (!result.violation.empty()) {
            print_failure(options, result);
            return 1;
        }
        sum.steps += result.steps;
        sum.commits += result.commits;
        sum.elections += result.elections;
        sum.crashes += result.crashes;
        sum.snapshots_installed += result.snapshots_installed;
        sum.voter_changes += result.voter_changes;
        sum.disks_lost += result.disks_lost;
        sum.power_losses += result.power_losses;
        sum.leaders_with_hung_disk += result.leaders_with_hung_disk;
        sum.fresh_reads += result.fresh_reads;
        sum.confirmed_reads += result.confirmed_reads;
        sum.refused_reads += result.refused_reads;
        sum.write_races_won += result.write_races_won;
        sum.suspensions += result.suspensions;
        sum.suspended_leaders += result.suspended_leaders;
    }
    std::cout << "ok runs=" << runs << " steps=" << sum.steps << " commits=" << sum.commits
              << " elections=" << sum.elections << " crashes=" << sum.crashes
              << " images_installed=" << sum.snapshots_installed
              << " voter_changes=" << sum.voter_changes << " disks_lost=" << sum.disks_lost
              << " power_losses=" << sum.power_losses
              << " leaders_with_hung_disk=" << sum.leaders_with_hung_disk
              << " fresh_reads=" << sum.fresh_reads << " confirmed_reads=" << sum.confirmed_reads
              << " refused_reads=" << sum.refused_reads << " races_won=" << sum.write_races_won
              << " suspensions=" << sum.suspensions
              << " suspended_leaders=" << sum.suspended_leaders << '\n';
    return 0;
}
