#include "departingworker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::controld {

/** Tests workers that announce their end, and are gone at once, later, or without a sign of it. */
class departures_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(departures_test);
    CPPUNIT_TEST(no_task_runs_twice_where_a_worker_runs_on_after_it_has_announced_its_end);
    CPPUNIT_TEST(no_task_runs_twice_where_a_worker_is_cut_off_after_it_has_announced_its_end);
    CPPUNIT_TEST(no_task_runs_twice_where_the_next_leader_has_heard_of_the_end);
    CPPUNIT_TEST(tasks_start_elsewhere_at_once_where_the_address_refuses_connections);
    CPPUNIT_TEST(the_next_leader_retires_a_worker_that_had_announced_its_end);
    CPPUNIT_TEST(a_retirement_that_the_ledger_refuses_is_repeated);
    CPPUNIT_TEST(a_worker_that_returns_during_its_retirement_is_recorded_before_it_gets_tasks);
    CPPUNIT_TEST_SUITE_END();

    static void assert_none_doubled(const departing_worker& test)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.workers->doubled().size());
    }

    /** Its tasks are stopped by order, so they need not wait for its lease. */
    void no_task_runs_twice_where_a_worker_runs_on_after_it_has_announced_its_end()
    {
        departing_worker test;
        test.leader.announce_end(worker_id{"a"});
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(std::chrono::seconds{1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.workers->running("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{tasks}, test.workers->starts("a"));
        assert_none_doubled(test);
    }

    void no_task_runs_twice_where_a_worker_is_cut_off_after_it_has_announced_its_end()
    {
        departing_worker test;
        test.leader.announce_end(worker_id{"a"});
        test.workers->cut_off("a", true);
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(3 * lease_limit));
        assert_none_doubled(test);
        CPPUNIT_ASSERT(!test.leader.knows(worker_id{"a"}));
    }

    /** Guards against a mark in the ledger that is taken for the end of the runs. */
    void no_task_runs_twice_where_the_next_leader_has_heard_of_the_end()
    {
        departing_worker test;
        test.leader.announce_end(worker_id{"a"});
        test.workers->cut_off("a", true);
        test.leader.run_for(std::chrono::milliseconds{100});
        test.leader.begin_next_term();
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(3 * lease_limit));
        assert_none_doubled(test);
    }

    void tasks_start_elsewhere_at_once_where_the_address_refuses_connections()
    {
        departing_worker test;
        test.leader.announce_end(worker_id{"a"});
        test.workers->end_life("a");
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(std::chrono::milliseconds{500}));
        CPPUNIT_ASSERT(!test.leader.knows(worker_id{"a"}));
    }

    /** Otherwise each later leader waits for it. */
    void the_next_leader_retires_a_worker_that_had_announced_its_end()
    {
        departing_worker test;
        test.workers->cut_off("a", true);
        test.leader.announce_end(worker_id{"a"});
        test.leader.begin_next_term();
        test.workers->end_life("a");
        test.workers->cut_off("a", false);
        CPPUNIT_ASSERT(test.leader.run_until([&] { return !test.leader.knows(worker_id{"a"}); },
                                             3 * lease_limit));
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(std::chrono::seconds{1}));
    }
    /** Otherwise each later leader waits for the worker. */
    void a_retirement_that_the_ledger_refuses_is_repeated()
    {
        departing_worker test;
        test.leader.announce_end(worker_id{"a"});
        test.leader.refuse_next_workers();
        test.workers->end_life("a");
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(std::chrono::seconds{1}));
        CPPUNIT_ASSERT(test.leader.knows(worker_id{"a"}));
        CPPUNIT_ASSERT(test.leader.run_until([&] { return !test.leader.knows(worker_id{"a"}); }));
    }
    /** Otherwise the next leader does not know of its tasks. */
    void a_worker_that_returns_during_its_retirement_is_recorded_before_it_gets_tasks()
    {
        departing_worker test;
        test.leader.hold_commands(true);
        test.leader.retire(worker_id{"b"});
        test.leader.submit_tasks("more", tasks, processors_per_task);
        test.leader.run_for(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.workers->running("b"));
        test.leader.hold_commands(false);
        CPPUNIT_ASSERT(test.run_until_all_run_on_b(std::chrono::seconds{2}));
        CPPUNIT_ASSERT(test.leader.knows(worker_id{"b"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departures_test);

} // namespace galenaturn::controld
