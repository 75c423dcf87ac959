#include "jobfaultsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace galenaturn::schedule {

using std::chrono::milliseconds;

/** Tests that bad input and a slow processor of the leader delay no decision of other jobs. */
class bad_input_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bad_input_test);
    CPPUNIT_TEST(bad_input_happens);
    CPPUNIT_TEST(runs_of_cancelled_jobs_end_in_time_with_a_slow_leader);
    CPPUNIT_TEST(slow_leader_is_not_voted_out);
    CPPUNIT_TEST(no_task_runs_twice_with_a_slow_leader);
    CPPUNIT_TEST(stops_arrive_within_50_ms);
    CPPUNIT_TEST(urgent_jobs_start_within_100_ms_where_there_is_room);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seeds = 20;
    /** Shares of a processor. */
    static constexpr double usual_share = 0.4;
    static constexpr double low_share = 0.22;

    /** Returns the counts of each seed, from one run for all tests. */
    static const std::vector<job_fault_counts>& counts_with(double share)
    {
        static std::map<double, std::vector<job_fault_counts>> counts;
        auto& runs = counts[share];
        for (std::uint64_t seed = 1; runs.size() < seeds; ++seed)
            runs.push_back(run_job_fault_simulation(bad_input_options(seed, share)));
        return runs;
    }

    static void check_no_seed_has(std::uint64_t job_fault_counts::*count, double share)
    {
        const auto& runs = counts_with(share);
        for (std::size_t run = 0; run < runs.size(); ++run)
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(run + 1), std::uint64_t{0},
                                         runs[run].*count);
    }

    static void check_delays(std::vector<duration> job_fault_counts::*delays, duration bound)
    {
        std::vector<duration> all;
        for (const auto& counts : counts_with(usual_share))
            all.insert(all.end(), (counts.*delays).begin(), (counts.*delays).end());
        CPPUNIT_ASSERT(all.size() > 10 * seeds);
        const auto delay = quantile(all, 99);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(delay.count()) + " us", delay <= bound);
    }

public:
    void bad_input_happens()
    {
        std::uint64_t refused_stops = 0;
        std::uint64_t unanswered_stops = 0;
        for (const auto& counts : counts_with(low_share)) {
            CPPUNIT_ASSERT(counts.cancels > 1000);
            CPPUNIT_ASSERT(counts.orphan_stops > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.leader_losses);
            refused_stops += counts.refused_stops;
            unanswered_stops += counts.unanswered_stops;
        }
        CPPUNIT_ASSERT(refused_stops > seeds);
        CPPUNIT_ASSERT(unanswered_stops > seeds);
    }

    /** A stop waited for passes, and the stop of an orphan was sent only once. */
    void runs_of_cancelled_jobs_end_in_time_with_a_slow_leader()
    {
        check_no_seed_has(&job_fault_counts::late_stops, low_share);
        check_no_seed_has(&job_fault_counts::late_stops, usual_share);
    }

    void slow_leader_is_not_voted_out()
    {
        check_no_seed_has(&job_fault_counts::leaders_lost_while_busy, low_share);
        check_no_seed_has(&job_fault_counts::leaders_lost_while_busy, usual_share);
    }

    void no_task_runs_twice_with_a_slow_leader()
    {
        check_no_seed_has(&job_fault_counts::doubled_starts, low_share);
        check_no_seed_has(&job_fault_counts::oversized_starts, low_share);
        check_no_seed_has(&job_fault_counts::starts_after_cancel, low_share);
    }

    /** A cancellation waited until a pass over all open jobs had ended. */
    void stops_arrive_within_50_ms()
    {
        check_delays(&job_fault_counts::stop_delays, milliseconds{50});
    }

    /** An urgent job waited for a pause that grew with the cost of the pass before. */
    void urgent_jobs_start_within_100_ms_where_there_is_room()
    {
        check_delays(&job_fault_counts::urgent_start_delays, milliseconds{100});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_input_test);

} // namespace galenaturn::schedule
