#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <vector>

namespace galenaturn::schedule {

struct job_fault_options {
    std::uint64_t seed{1};
    std::size_t workers{24};
    int seconds{30};
    /** Share of the finite jobs with a task that crashes every worker that starts it. */
    int crashing_job_percent{0};
    /** All tasks of such a job crash their workers, not only one of them. */
    bool all_tasks_crash{false};
    /** Mean number per minute of crashes that no task causes, of one or several workers at once. */
    int unrelated_crashes_per_minute{0};
    int leader_losses_per_minute{0};
    /** Partitions of single workers that keep their runs. */
    int partitions_per_minute{0};
    /** Suspensions of single workers, for up to 9 s. */
    int worker_suspensions_per_minute{0};
    /** An injected bug: the clocks of workers leave out suspensions. */
    bool worker_clocks_omit_suspensions{false};
    /** Workers that return have the id that they had before. */
    bool ids_are_kept{false};
    /** Capacities that shrink and grow again. */
    int capacity_changes_per_minute{0};
    /**
     * Commands to a worker wait for the response to the one before, as in the daemon. A command
     * that gets no response holds up those behind it until it times out.
     */
    bool commands_wait{false};
    /** Share of the commands that get no response and are carried out 2 to 12 s later. */
    int late_command_percent{0};
    int cancels_per_minute{0};
    /** Workers list this many ends at a time; 0: all. */
    std::size_t max_listed_ends{0};
    /** Pauses of the leader, during which it does nothing. */
    int leader_pauses_per_minute{0};
    /** Share of the polls that are lost: ends stay listed although they are recorded. */
    int lost_poll_percent{0};
    /** Share of the finite jobs of which each task fails once. */
    int failing_job_percent{0};
    /**
     * Share of a processor that the leader has. Its work then takes time, during which it does
     * nothing else. Zero: its work takes no time.
     */
    double processor_share{0};
    /** Workers of the fleet for each simulated one; a pass examines that many more. */
    int fleet_multiple{1};
    /** Time without submissions at the end. */
    int settling_seconds{15};
    bool bad_input{false};
};

/** What happened in a run, seen from the workers and the callers. */
struct job_fault_counts {
    std::uint64_t starts{0};
    std::uint64_t crashes_by_tasks{0};
    std::uint64_t unrelated_crashes{0};
    std::uint64_t leader_losses{0};
    std::uint64_t partitions{0};
    std::uint64_t worker_suspensions{0};
    std::uint64_t capacity_changes{0};
    std::uint64_t sound_jobs{0};
    std::uint64_t sound_jobs_succeeded{0};
    std::uint64_t sound_jobs_failed{0};
    std::uint64_t crashing_jobs{0};
    std::uint64_t crashing_jobs_failed{0};
    /** Sum of the times from submission to success of the sound jobs. */
    double sound_job_seconds{0};
    /** Starts of a task beyond the second one after three workers have crashed under it. */
    std::uint64_t starts_beyond_crash_limit{0};
    /**
     * Starts while another run of the task was alive, or after a success that was recorded, then
     * or later, without a lapse of the worker's lease between the two.
     */
    std::uint64_t doubled_starts{0};
    /** Starts that exceed the capacity which the worker announced 4 s before or later. */
    std::uint64_t oversized_starts{0};
    std::uint64_t late_commands{0};
    std::uint64_t incomplete_reports{0};
    std::uint64_t failed_runs{0};
    std::uint64_t cancels{0};
    /** Starts that were sent although the cancellation of the job was recorded. */
    std::uint64_t starts_after_cancel{0};
    /** Counts of the waiting jobs under half of those that have waited for 5 s. */
    std::uint64_t low_counts{0};
    /** Observations of a job that is said to have started before any task of it had. */
    std::uint64_t premature_starts{0};
    /** Leaders that sent no heartbeat in time, because they were busy. */
    std::uint64_t leaders_lost_while_busy{0};
    /**
     * Runs that were alive for longer than is tolerated after the cancellation of their job was
     * recorded, although the leader was in contact with the worker.
     */
    std::uint64_t late_stops{0};
    /** From the record of a cancellation to the first stop of each run, without leader losses. */
    std::vector<duration> stop_delays;
    /** From the submission of an urgent job, for which there is room, to its first start. */
    std::vector<duration> urgent_start_delays;
    /** The longest pause between two heartbeats of a leader. */
    duration longest_heartbeat_pause{};
    std::uint64_t refused_stops{0};
    std::uint64_t unanswered_stops{0};
    /** Stops of runs of jobs that had ended before the term of the leader began. */
    std::uint64_t orphan_stops{0};
};

/**
 * Runs the job scheduler and the ledger's state machine against workers that execute every start
 * they receive, crash, return and are partitioned, and against changes of the leader.
 */
job_fault_counts run_job_fault_simulation(const job_fault_options& options);

/** Options of a run in which commands wait behind others that get no response. */
job_fault_options late_command_options(std::uint64_t seed);

/**
 * Options of a run in which workers list a part of their ends, also to leaders to whom they have
 * listed them before.
 */
job_fault_options listed_ends_options(std::uint64_t seed);

/**
 * Options of a run with a leader short of processor time and bad input: a job of 5,000 tasks, a
 * step wider than the fleet, 1,000 cancellations within a second, a worker that refuses every stop,
 * one that answers none, and jobs that are cancelled while there is no leader.
 */
job_fault_options bad_input_options(std::uint64_t seed, double processor_share);

/** Returns the delay that `percent` of the delays do not exceed; zero without delays. */
duration quantile(std::vector<duration> delays, int percent);

} // namespace galenaturn::schedule
