#include "simulation/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::ledger {

class simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(simulation_test);
    CPPUNIT_TEST(invariants_hold_under_every_kind_of_failure);
    CPPUNIT_TEST(a_delayed_append_does_not_make_a_restarted_voter_look_caught_up);
    CPPUNIT_TEST(voting_twice_is_caught);
    CPPUNIT_TEST(acknowledging_before_the_sync_is_caught);
    CPPUNIT_TEST(leading_without_a_quorum_is_caught);
    CPPUNIT_TEST(accepting_an_old_term_is_caught);
    CPPUNIT_TEST(voting_for_a_shorter_log_is_caught);
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
            const auto options = options_of(seed);
            const auto result = run_simulation(options);
            CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
            sum.steps += result.steps;
            sum.commits += result.commits;
            sum.images_installed += result.images_installed;
            sum.voter_changes += result.voter_changes;
            sum.disks_lost += result.disks_lost;
            sum.fresh_reads += result.fresh_reads;
        }
        CPPUNIT_ASSERT(sum.steps >= 200'000);
        // The run counts only if what it is meant for did happen.
        CPPUNIT_ASSERT(sum.commits > 1'000);
        CPPUNIT_ASSERT(sum.images_installed > 5);
        CPPUNIT_ASSERT(sum.voter_changes > 5);
        CPPUNIT_ASSERT(sum.disks_lost > 5);
        CPPUNIT_ASSERT(sum.fresh_reads > 1'000);
    }

    void a_delayed_append_does_not_make_a_restarted_voter_look_caught_up()
    {
        auto options = options_of(7);
        options.steps = 41'000;
        const auto result = run_simulation(options);
        CPPUNIT_ASSERT_MESSAGE(text_of(options, result), result.violation.empty());
    }

    /** Asserts that the run of one of the first seeds finds the bug. */
    static void assert_caught(const replica_faults& faults)
    {
        constexpr std::uint64_t most_seeds = 30;
        for (std::uint64_t seed = 1; seed <= most_seeds; ++seed) {
            auto options = options_of(seed);
            options.faults = faults;
            if (!run_simulation(options).violation.empty())
                return;
        }
        CPPUNIT_FAIL("no run found the seeded bug");
    }

    void voting_twice_is_caught()
    {
        replica_faults faults;
        faults.votes_twice = true;
        assert_caught(faults);
    }

    void acknowledging_before_the_sync_is_caught()
    {
        replica_faults faults;
        faults.acknowledges_before_sync = true;
        assert_caught(faults);
    }

    void leading_without_a_quorum_is_caught()
    {
        replica_faults faults;
        faults.skips_quorum_check = true;
        assert_caught(faults);
    }

    void accepting_an_old_term_is_caught()
    {
        replica_faults faults;
        faults.accepts_old_terms = true;
        assert_caught(faults);
    }

    void voting_for_a_shorter_log_is_caught()
    {
        replica_faults faults;
        faults.ignores_candidate_log = true;
        assert_caught(faults);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(simulation_test);

} // namespace galenaturn::ledger
