#include "control/departingworker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::controld {

/** Tests workers that are lost without a sign of it, or cut off for long. */
class silent_workers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(silent_workers_test);
    CPPUNIT_TEST(the_next_leader_does_not_wait_for_a_worker_that_was_lost_long_before);
    CPPUNIT_TEST(a_worker_that_was_cut_off_for_long_gets_tasks_again);
    CPPUNIT_TEST(no_task_runs_twice_where_a_silent_worker_is_retired);
    CPPUNIT_TEST_SUITE_END();

    static void assert_none_doubled(const departing_worker& test)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.workers->doubled().size());
    }

    /** Until then a worker that is alive has announced itself. */
    static constexpr duration long_silence = max_announcement_age + std::chrono::seconds{2};

    /** Each new leader waited for it before it started any task that it had taken over. */
    void the_next_leader_does_not_wait_for_a_worker_that_was_lost_long_before()
    {
        departing_worker test;
        test.workers->cut_off("b", true);
        CPPUNIT_ASSERT(test.leader.run_until([&] { return !test.leader.knows(worker_id{"b"}); },
                                             long_silence + lease_limit));
        // There is no room for it until a run ends.
        test.leader.submit_tasks("taken over", 1, processors_per_task);
        test.leader.run_for(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{tasks}, test.workers->starts("a"));
        test.leader.begin_next_term();
        test.workers->end_runs("a", 1);
        CPPUNIT_ASSERT(test.leader.run_until([&] { return test.workers->starts("a") > tasks; },
                                             std::chrono::seconds{2}));
        assert_none_doubled(test);
    }

    void a_worker_that_was_cut_off_for_long_gets_tasks_again()
    {
        departing_worker test;
        test.workers->cut_off("b", true);
        CPPUNIT_ASSERT(test.leader.run_until([&] { return !test.leader.knows(worker_id{"b"}); },
                                             long_silence + lease_limit));
        test.workers->cut_off("b", false);
        test.leader.announce(make_worker("b"));
        test.leader.submit_tasks("more", tasks, processors_per_task);
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(std::chrono::seconds{2}));
        assert_none_doubled(test);
    }

    void no_task_runs_twice_where_a_silent_worker_is_retired()
    {
        departing_worker test;
        test.workers->cut_off("a", true);
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(3 * lease_limit));
        CPPUNIT_ASSERT(test.leader.run_until([&] { return !test.leader.knows(worker_id{"a"}); },
                                             std::chrono::seconds{45}));
        test.workers->cut_off("a", false);
        test.leader.announce(make_worker("a"));
        test.leader.run_for(std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, test.workers->running("b"));
        assert_none_doubled(test);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_workers_test);

} // namespace galenaturn::controld
