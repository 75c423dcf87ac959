#include "simulation/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::ledger {

class simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(simulation_test);
    CPPUNIT_TEST(invariants_hold_under_every_kind_of_failure);
    CPPUNIT_TEST(nothing_acknowledged_is_lost_when_all_power_is_lost_with_a_disk);
    CPPUNIT_TEST(a_leader_is_elected_after_all_power_was_lost_with_disks);
    CPPUNIT_TEST(a_leader_is_elected_after_the_last_one_crashed_while_it_removed_itself);
    CPPUNIT_TEST(invariants_hold_when_disks_stall);
    CPPUNIT_TEST(a_delayed_append_does_not_mark_a_restarted_voter_as_caught_up);
    CPPUNIT_TEST(voting_twice_is_detected);
    CPPUNIT_TEST(acknowledging_before_the_sync_is_detected);
    CPPUNIT_TEST(leading_without_a_quorum_is_detected);
    CPPUNIT_TEST(accepting_an_old_term_is_detected);
    CPPUNIT_TEST(voting_for_a_shorter_log_is_detected);
    CPPUNIT_TEST(invariants_hold_while_processes_are_suspended);
    CPPUNIT_TEST(clocks_that_omit_suspensions_are_detected);
    CPPUNIT_TEST(reading_without_a_lease_is_detected);
    CPPUNIT_TEST(counting_a_lease_from_the_receipt_of_responses_is_detected);
    CPPUNIT_TEST(breaking_the_promise_to_a_leader_is_detected);
    CPPUNIT_TEST(trusting_appends_of_before_a_restart_is_detected);
    CPPUNIT_TEST(confirmed_reads_are_no_older_than_what_was_acknowledged);
    CPPUNIT_TEST(confirmed_reads_hold_although_no_clock_shows_suspensions);
    CPPUNIT_TEST(reading_without_a_round_is_detected);
    CPPUNIT_TEST_SUITE_END();

    static std::string text_of(const simulation_options& options, const simulation_result& result)
    {
        std::string text = "seed " + std::to_string(options.seed) + ": " + result.violation;
        for (const auto& line : result.trace)
            text += "\n" + line;
        return text;
    }

    void invariants_hold_under_every_kind_of_failure()
    {
        constexpr std::uint64_t seeds = 11;
        simulation_result sum;
        for (std::uint64_t seed = 101; seed < 101 + seeds; ++seed) {
            const auto options = options_for_seed(seed);
            const auto result = run_simulation(options);
            CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
            sum.steps += result.steps;
            sum.commits += result.commits;
            sum.snapshots_installed += result.snapshots_installed;
            sum.voter_changes += result.voter_changes;
            sum.disks_lost += result.disks_lost;
            sum.fresh_reads += result.fresh_reads;
        }
        CPPUNIT_ASSERT(sum.steps >= 200'000);
        // The runs prove something only if commits, failures and reads did occur in them.
        CPPUNIT_ASSERT(sum.commits > 1'000);
        CPPUNIT_ASSERT(sum.snapshots_installed > 5);
        CPPUNIT_ASSERT(sum.voter_changes > 5);
        CPPUNIT_ASSERT(sum.disks_lost > 5);
        CPPUNIT_ASSERT(sum.fresh_reads > 1'000);
    }

    void nothing_acknowledged_is_lost_when_all_power_is_lost_with_a_disk()
    {
        std::uint64_t power_losses = 0;
        for (std::uint64_t seed = 301; seed < 309; ++seed) {
            auto options = options_for_seed(seed);
            options.power_lost_with_disks = true;
            const auto result = run_simulation(options);
            CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
            power_losses += result.power_losses;
        }
        CPPUNIT_ASSERT(power_losses > 5);
    }

    void invariants_hold_when_disks_stall()
    {
        simulation_result sum;
        for (std::uint64_t seed = 401; seed < 431; ++seed) {
            auto options = options_for_seed(seed);
            options.stalled = 20;
            const auto result = run_simulation(options);
            CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
            sum.commits += result.commits;
            sum.leaders_with_hung_disk += result.leaders_with_hung_disk;
        }
        CPPUNIT_ASSERT(sum.commits > 1'000);
        CPPUNIT_ASSERT(sum.leaders_with_hung_disk > 5);
    }

    void a_leader_is_elected_after_all_power_was_lost_with_disks()
    {
        auto options = options_for_seed(329);
        options.power_lost_with_disks = true;
        const auto result = run_simulation(options);
        CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
    }

    void a_leader_is_elected_after_the_last_one_crashed_while_it_removed_itself()
    {
        auto options = options_for_seed(213);
        options.steps = 40'000;
        const auto result = run_simulation(options);
        CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
    }

    void a_delayed_append_does_not_mark_a_restarted_voter_as_caught_up()
    {
        auto options = options_for_seed(7);
        options.steps = 41'000;
        const auto result = run_simulation(options);
        CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
    }

    /** Asserts that a run with one of the first seeds detects the injected bug. */
    static void assert_detected(const replica_faults& faults)
    {
        constexpr std::uint64_t max_seeds = 30;
        for (std::uint64_t seed = 1; seed <= max_seeds; ++seed) {
            auto options = options_for_seed(seed);
            options.faults = faults;
            if (!run_simulation(options).violation.empty())
                return;
        }
        CPPUNIT_FAIL("no run detected the injected bug");
    }

    void voting_twice_is_detected()
    {
        replica_faults faults;
        faults.votes_twice = true;
        assert_detected(faults);
    }

    void acknowledging_before_the_sync_is_detected()
    {
        replica_faults faults;
        faults.acknowledges_before_sync = true;
        assert_detected(faults);
    }

    void leading_without_a_quorum_is_detected()
    {
        replica_faults faults;
        faults.skips_quorum_check = true;
        assert_detected(faults);
    }

    void accepting_an_old_term_is_detected()
    {
        replica_faults faults;
        faults.accepts_old_terms = true;
        assert_detected(faults);
    }

    void voting_for_a_shorter_log_is_detected()
    {
        replica_faults faults;
        faults.ignores_candidate_log = true;
        assert_detected(faults);
    }

    void invariants_hold_while_processes_are_suspended()
    {
        simulation_result sum;
        for (std::uint64_t seed = 501; seed < 541; ++seed) {
            const auto options = suspension_options(seed);
            const auto result = run_simulation(options);
            CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
            sum.commits += result.commits;
            sum.suspended_leaders += result.suspended_leaders;
            sum.fresh_reads += result.fresh_reads;
        }
        CPPUNIT_ASSERT(sum.commits > 1'000);
        CPPUNIT_ASSERT(sum.suspended_leaders > 100);
        CPPUNIT_ASSERT(sum.fresh_reads > 1'000);
    }

    /** Asserts that a run with suspensions detects an injected bug as a read that is too old. */
    static void assert_old_read(const replica_faults& faults, bool clocks_omit_suspensions = false)
    {
        constexpr std::uint64_t max_seeds = 40;
        for (std::uint64_t seed = 31; seed < 31 + max_seeds; ++seed) {
            auto options = suspension_options(seed);
            options.faults = faults;
            options.clocks_omit_suspensions = clocks_omit_suspensions;
            const auto result = run_simulation(options);
            if (result.violation.empty())
                continue;
            const bool reads = result.violation.starts_with("a read sees") ||
                               result.violation.starts_with("reads are monotonic");
            CPPUNIT_ASSERT_MESSAGE(text_of(options, result), reads);
            return;
        }
        CPPUNIT_FAIL("no run detected the injected bug");
    }

    void clocks_that_omit_suspensions_are_detected() { assert_old_read({}, true); }

    void reading_without_a_lease_is_detected()
    {
        replica_faults faults;
        faults.reads_without_lease = true;
        assert_old_read(faults);
    }

    void counting_a_lease_from_the_receipt_of_responses_is_detected()
    {
        replica_faults faults;
        faults.counts_lease_from_receipt = true;
        assert_old_read(faults);
    }

    void breaking_the_promise_to_a_leader_is_detected()
    {
        replica_faults faults;
        faults.ignores_leader_lease = true;
        assert_old_read(faults);
    }

    void trusting_appends_of_before_a_restart_is_detected()
    {
        replica_faults faults;
        faults.trusts_delayed_appends = true;
        assert_old_read(faults);
    }

    /** Returns the options of a run in which no clock shows the suspensions. */
    static simulation_options unseen_suspension_options(std::uint64_t seed)
    {
        auto options = suspension_options(seed);
        options.clocks_omit_suspensions = true;
        options.checks_leases = false;
        options.confirmed_reads = true;
        return options;
    }

    static void add_sound_run(const simulation_options& options, simulation_result& sum)
    {
        const auto result = run_simulation(options);
        CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
        sum.commits += result.commits;
        sum.suspended_leaders += result.suspended_leaders;
        sum.voter_changes += result.voter_changes;
        sum.confirmed_reads += result.confirmed_reads;
        sum.refused_reads += result.refused_reads;
    }

    void confirmed_reads_are_no_older_than_what_was_acknowledged()
    {
        simulation_result sum;
        for (std::uint64_t seed = 601; seed < 621; ++seed) {
            auto options = options_for_seed(seed);
            options.confirmed_reads = true;
            add_sound_run(options, sum);
        }
        CPPUNIT_ASSERT(sum.commits > 1'000);
        CPPUNIT_ASSERT(sum.voter_changes > 5);
        CPPUNIT_ASSERT(sum.confirmed_reads > 1'000);
    }

    void confirmed_reads_hold_although_no_clock_shows_suspensions()
    {
        simulation_result sum;
        for (std::uint64_t seed = 701; seed < 741; ++seed)
            add_sound_run(unseen_suspension_options(seed), sum);
        CPPUNIT_ASSERT(sum.commits > 1'000);
        CPPUNIT_ASSERT(sum.suspended_leaders > 100);
        CPPUNIT_ASSERT(sum.confirmed_reads > 1'000);
        CPPUNIT_ASSERT(sum.refused_reads > 20);
    }

    void reading_without_a_round_is_detected()
    {
        for (std::uint64_t seed = 31; seed < 71; ++seed) {
            auto options = unseen_suspension_options(seed);
            options.faults.reads_without_round = true;
            const auto result = run_simulation(options);
            if (result.violation.starts_with("a confirmed read sees"))
                return;
            CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
        }
        CPPUNIT_FAIL("no run detected the injected bug");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(simulation_test);

} // namespace galenaturn::ledger
