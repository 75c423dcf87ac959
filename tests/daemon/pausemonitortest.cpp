#include <galenaturn/daemon.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::daemon {

using std::chrono::milliseconds;

/** Tests how pauses of a process are told apart. */
class pause_monitor_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pause_monitor_test);
    CPPUNIT_TEST(check_that_is_a_little_late_is_no_pause);
    CPPUNIT_TEST(process_that_was_stopped_was_not_suspended);
    CPPUNIT_TEST(suspension_of_the_vm_is_reported_with_its_length);
    CPPUNIT_TEST(input_read_after_a_pause_may_have_waited_since_its_begin);
    CPPUNIT_TEST_SUITE_END();

    static constexpr time_point start{std::chrono::hours{1}};
    static constexpr time_point due{start + milliseconds{250}};

public:
    void check_that_is_a_little_late_is_no_pause()
    {
        const clock_check before{start, milliseconds{5000}};
        CPPUNIT_ASSERT(!find_pause(before, due, {due + milliseconds{90}, milliseconds{5000}}));
    }

    void process_that_was_stopped_was_not_suspended()
    {
        const clock_check before{start, milliseconds{5000}};
        const auto pause = find_pause(before, due, {due + milliseconds{6000}, milliseconds{5000}});
        CPPUNIT_ASSERT(pause.has_value());
        CPPUNIT_ASSERT(pause->late == milliseconds{6000});
        CPPUNIT_ASSERT(pause->suspended == duration{});
    }

    void suspension_of_the_vm_is_reported_with_its_length()
    {
        const clock_check before{start, {}};
        const auto pause = find_pause(before, due, {due + milliseconds{5900}, milliseconds{6000}});
        CPPUNIT_ASSERT(pause.has_value());
        CPPUNIT_ASSERT(pause->suspended == milliseconds{6000});
    }

    /** Submissions counted as new when they were read, seconds after they had arrived. */
    void input_read_after_a_pause_may_have_waited_since_its_begin()
    {
        const auto while_running = due + milliseconds{90};
        CPPUNIT_ASSERT(input_waits_since(start, due, {}, while_running) == while_running);
        // Before the check that will find the pause, and between that check and the next one.
        const auto resumed = due + milliseconds{6000};
        CPPUNIT_ASSERT(input_waits_since(start, due, {}, resumed) == start);
        CPPUNIT_ASSERT(input_waits_since(resumed, resumed + milliseconds{250}, start,
                                         resumed + milliseconds{100}) == start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pause_monitor_test);

} // namespace galenaturn::daemon
