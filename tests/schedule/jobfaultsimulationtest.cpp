#include "jobfaultsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace galenaturn::schedule {

/** Simulates workers that crash because of a task or without one, and changes of the leader. */
class job_fault_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_fault_simulation_test);
    CPPUNIT_TEST(a_task_that_crashes_its_workers_is_started_five_times_at_most);
    CPPUNIT_TEST(crashes_count_although_three_leaders_are_lost_in_a_row);
    CPPUNIT_TEST(sound_jobs_survive_unrelated_crashes);
    CPPUNIT_TEST(no_task_runs_twice_on_workers_that_restart_under_their_ids);
    CPPUNIT_TEST(tasks_crash_workers_that_restart_under_their_ids);
    CPPUNIT_TEST(no_start_exceeds_a_capacity_that_shrinks_and_grows);
    CPPUNIT_TEST(waiting_jobs_are_counted_while_starts_wait_and_are_carried_out_late);
    CPPUNIT_TEST(no_task_runs_twice_while_starts_wait_and_are_carried_out_late);
    CPPUNIT_TEST(nothing_starts_after_its_job_was_cancelled);
    CPPUNIT_TEST(no_task_runs_twice_while_ends_are_listed_in_parts_and_again);
    CPPUNIT_TEST(no_task_runs_twice_while_workers_are_suspended);
    CPPUNIT_TEST(clocks_of_workers_that_omit_suspensions_are_detected);
    CPPUNIT_TEST_SUITE_END();

    using count = std::uint64_t job_fault_counts::*;

    /** Runs six seeds, in each of which the fault must happen and no rule may be broken. */
    static void check_seeds(job_fault_options options, count fault)
    {
        for (options.seed = 1; options.seed <= 6; ++options.seed) {
            // One task of a job crashes its workers, or all tasks of its first step do.
            options.all_tasks_crash = options.seed % 2 == 0;
            const auto counts = run_job_fault_simulation(options);
            const auto seed = "seed " + std::to_string(options.seed);
            CPPUNIT_ASSERT_MESSAGE(seed, counts.*fault > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint64_t{0}, counts.starts_beyond_crash_limit);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint64_t{0}, counts.doubled_starts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint64_t{0}, counts.oversized_starts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, counts.sound_jobs, counts.sound_jobs_succeeded);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, counts.crashing_jobs, counts.crashing_jobs_failed);
        }
    }

    void a_task_that_crashes_its_workers_is_started_five_times_at_most()
    {
        job_fault_options options;
        options.crashing_job_percent = 10;
        options.leader_losses_per_minute = 3;
        check_seeds(options, &job_fault_counts::crashing_jobs);
    }

    void crashes_count_although_three_leaders_are_lost_in_a_row()
    {
        job_fault_options options;
        options.seed = 252;
        options.crashing_job_percent = 10;
        options.leader_losses_per_minute = 3;
        const auto counts = run_job_fault_simulation(options);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, counts.leader_losses);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.starts_beyond_crash_limit);
    }

    void sound_jobs_survive_unrelated_crashes()
    {
        job_fault_options options;
        options.unrelated_crashes_per_minute = 30;
        options.leader_losses_per_minute = 3;
        options.partitions_per_minute = 10;
        check_seeds(options, &job_fault_counts::unrelated_crashes);
    }

    void no_task_runs_twice_on_workers_that_restart_under_their_ids()
    {
        job_fault_options options;
        options.ids_are_kept = true;
        options.unrelated_crashes_per_minute = 30;
        options.leader_losses_per_minute = 3;
        check_seeds(options, &job_fault_counts::unrelated_crashes);
    }

    void tasks_crash_workers_that_restart_under_their_ids()
    {
        job_fault_options options;
        options.ids_are_kept = true;
        options.crashing_job_percent = 10;
        options.leader_losses_per_minute = 3;
        check_seeds(options, &job_fault_counts::crashing_jobs);
    }

    void no_start_exceeds_a_capacity_that_shrinks_and_grows()
    {
        job_fault_options options;
        options.capacity_changes_per_minute = 120;
        options.leader_losses_per_minute = 6;
        check_seeds(options, &job_fault_counts::capacity_changes);
    }
    void waiting_jobs_are_counted_while_starts_wait_and_are_carried_out_late()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            const auto counts = run_job_fault_simulation(late_command_options(seed));
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, counts.late_commands > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.low_counts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.premature_starts);
        }
    }

    void no_task_runs_twice_while_starts_wait_and_are_carried_out_late()
    {
        // With the last two seeds, workers get leases again before late starts arrive.
        for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8, 37, 43}) {
            const auto counts = run_job_fault_simulation(late_command_options(seed));
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.doubled_starts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.oversized_starts);
        }
    }

    /** Leaders change and pause while ends wait, and tasks fail that then run on other workers. */
    void no_task_runs_twice_while_ends_are_listed_in_parts_and_again()
    {
        std::uint64_t leader_losses = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            const auto counts = run_job_fault_simulation(listed_ends_options(seed));
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, counts.incomplete_reports > 0);
            CPPUNIT_ASSERT_MESSAGE(message, counts.failed_runs > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.doubled_starts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.oversized_starts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, counts.sound_jobs, counts.sound_jobs_succeeded);
            leader_losses += counts.leader_losses;
        }
        CPPUNIT_ASSERT(leader_losses > 0);
    }

    static job_fault_options worker_suspension_options()
    {
        job_fault_options options;
        options.worker_suspensions_per_minute = 60;
        options.leader_losses_per_minute = 3;
        return options;
    }

    void no_task_runs_twice_while_workers_are_suspended()
    {
        check_seeds(worker_suspension_options(), &job_fault_counts::worker_suspensions);
    }

    void clocks_of_workers_that_omit_suspensions_are_detected()
    {
        auto options = worker_suspension_options();
        options.worker_clocks_omit_suspensions = true;
        std::uint64_t doubled_starts = 0;
        for (options.seed = 1; options.seed <= 6; ++options.seed)
            doubled_starts += run_job_fault_simulation(options).doubled_starts;
        CPPUNIT_ASSERT(doubled_starts > 0);
    }

    void nothing_starts_after_its_job_was_cancelled()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            const auto counts = run_job_fault_simulation(late_command_options(seed));
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, counts.cancels > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.starts_after_cancel);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_fault_simulation_test);

} // namespace galenaturn::schedule
