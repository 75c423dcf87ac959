#include "jobfaultsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace galenaturn::schedule {

/** Simulates workers that crash because of a task or without one, and changes of the leader. */
class job_fault_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_fault_simulation_test);
    CPPUNIT_TEST(a_task_that_crashes_its_workers_is_started_five_times_at_most);
    CPPUNIT_TEST(sound_jobs_survive_unrelated_crashes);
    CPPUNIT_TEST(no_task_runs_twice_on_workers_that_restart_under_their_ids);
    CPPUNIT_TEST(no_start_exceeds_a_capacity_that_shrinks_and_grows);
    CPPUNIT_TEST_SUITE_END();

    static void check_rules(const job_fault_counts& counts, const std::string& seed)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint64_t{0}, counts.starts_beyond_crash_limit);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint64_t{0}, counts.doubled_starts);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint64_t{0}, counts.oversized_starts);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, counts.sound_jobs, counts.sound_jobs_succeeded);
    }

    void a_task_that_crashes_its_workers_is_started_five_times_at_most()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            job_fault_options options;
            options.seed = seed;
            options.crashing_job_percent = 10;
            options.all_tasks_crash = seed % 2 == 0;
            options.leader_losses_per_minute = 3;
            const auto counts = run_job_fault_simulation(options);
            const auto text = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(text, counts.crashing_jobs > 0);
            check_rules(counts, text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, counts.crashing_jobs, counts.crashing_jobs_failed);
        }
    }

    void sound_jobs_survive_unrelated_crashes()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            job_fault_options options;
            options.seed = seed;
            options.unrelated_crashes_per_minute = 30;
            options.leader_losses_per_minute = 3;
            options.partitions_per_minute = 10;
            const auto counts = run_job_fault_simulation(options);
            const auto text = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(text, counts.unrelated_crashes > 0);
            check_rules(counts, text);
        }
    }

    void no_task_runs_twice_on_workers_that_restart_under_their_ids()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            job_fault_options options;
            options.seed = seed;
            options.ids_are_kept = true;
            options.unrelated_crashes_per_minute = 30;
            options.leader_losses_per_minute = 3;
            options.crashing_job_percent = seed % 2 == 0 ? 5 : 0;
            const auto counts = run_job_fault_simulation(options);
            const auto text = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(text, counts.unrelated_crashes > 0);
            check_rules(counts, text);
        }
    }

    void no_start_exceeds_a_capacity_that_shrinks_and_grows()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            job_fault_options options;
            options.seed = seed;
            options.capacity_changes_per_minute = 120;
            options.leader_losses_per_minute = 6;
            const auto counts = run_job_fault_simulation(options);
            const auto text = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(text, counts.capacity_changes > 0);
            check_rules(counts, text);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_fault_simulation_test);

} // namespace galenaturn::schedule
