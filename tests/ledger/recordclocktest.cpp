#include <galenaturn/ledger.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::ledger {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/** Tests the clock by which the records of the ledger age. */
class record_clock_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(record_clock_test);
    CPPUNIT_TEST(a_new_ledger_takes_the_time_of_day);
    CPPUNIT_TEST(the_clock_follows_a_true_time_of_day);
    CPPUNIT_TEST(a_jump_of_the_time_of_day_removes_no_record_early);
    CPPUNIT_TEST(a_leader_whose_time_of_day_is_behind_removes_records_too);
    CPPUNIT_TEST(time_without_a_leader_counts);
    CPPUNIT_TEST(records_of_a_leader_whose_time_of_day_is_wrong_are_kept_as_long);
    CPPUNIT_TEST_SUITE_END();

    static constexpr wall_time shown{hours{10'000}};
    static constexpr time_point seen{hours{1}};

    static ledger_state state_at(wall_time clock)
    {
        ledger_state state;
        state.clock = clock;
        return state;
    }

    static record_clock observed()
    {
        record_clock clock;
        observe_clock(clock, state_at(shown), seen);
        return clock;
    }

public:
    void a_new_ledger_takes_the_time_of_day()
    {
        CPPUNIT_ASSERT(next_clock({}, shown, seen) == shown);
        CPPUNIT_ASSERT(record_time({}, shown) == shown);
    }

    void the_clock_follows_a_true_time_of_day()
    {
        const auto next = shown + seconds{5};
        CPPUNIT_ASSERT(next_clock(observed(), next, seen + seconds{5}) == next);
    }

    /** Ended jobs and cancelled submissions were forgotten, and late submissions of them ran. */
    void a_jump_of_the_time_of_day_removes_no_record_early()
    {
        CPPUNIT_ASSERT(next_clock(observed(), shown + hours{1}, seen + seconds{5}) ==
                       shown + seconds{10});
        CPPUNIT_ASSERT(next_clock(observed(), shown + hours{1}, seen) == shown);
    }

    void a_leader_whose_time_of_day_is_behind_removes_records_too()
    {
        CPPUNIT_ASSERT(next_clock(observed(), shown - hours{1}, seen + seconds{10}) ==
                       shown + seconds{5});
    }

    void time_without_a_leader_counts()
    {
        auto clock = observed();
        // A command that leaves the clock as it is.
        observe_clock(clock, state_at(shown), seen + hours{1});
        CPPUNIT_ASSERT(next_clock(clock, shown + hours{2}, seen + hours{2}) == shown + hours{2});
    }

    void records_of_a_leader_whose_time_of_day_is_wrong_are_kept_as_long()
    {
        CPPUNIT_ASSERT(record_time(state_at(shown), shown - minutes{15}) == shown);
        CPPUNIT_ASSERT(record_time(state_at(shown), shown + minutes{15}) == shown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_clock_test);

} // namespace galenaturn::ledger
