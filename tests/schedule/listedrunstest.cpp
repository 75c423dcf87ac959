#include "jobschedulerfixture.h"

namespace galenaturn::schedule {

/** Tests which of several runs of a task is kept, when workers list more than one. */
class listed_runs_test : public job_scheduler_fixture {
    CPPUNIT_TEST_SUITE(listed_runs_test);
    CPPUNIT_TEST(run_is_kept_while_the_end_of_an_earlier_one_is_recorded_again);
    CPPUNIT_TEST(run_is_kept_in_any_order_of_the_reports);
    CPPUNIT_TEST(newer_run_replaces_an_older_one_that_was_listed_first);
    CPPUNIT_TEST(older_run_is_stopped_beside_a_newer_one);
    CPPUNIT_TEST(planned_start_gives_way_to_a_listed_run);
    CPPUNIT_TEST(run_of_a_task_that_has_succeeded_is_stopped);
    CPPUNIT_TEST_SUITE_END();

    /** Run 1 has failed on the first worker and is recorded; run 2 is under way on the other. */
    std::pair<std::string, std::string> fail_and_start_again()
    {
        add_worker("w1");
        add_worker("w2");
        submit();
        const auto first = start_one();
        const auto failed_on = first.worker.value();
        record(failed_on, report(failed_on, ends(1, task(), 1, run_outcome::failed)));
        const auto second = start_one();
        CPPUNIT_ASSERT_EQUAL(2U, second.run);
        CPPUNIT_ASSERT(second.worker != first.worker);
        return {failed_on, second.worker.value()};
    }

    void check_that_run_2_goes_on(const std::string& worker)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stop_due());
        CPPUNIT_ASSERT(open().run);
        CPPUNIT_ASSERT_EQUAL(2U, open().run->number);
        CPPUNIT_ASSERT_EQUAL(worker, open().run->worker.value());
        CPPUNIT_ASSERT(plan().empty());
    }

    /** The sound run was stopped, and started elsewhere before it had ended. */
    void run_is_kept_while_the_end_of_an_earlier_one_is_recorded_again()
    {
        const auto [failed_on, worker] = fail_and_start_again();
        change_leader();
        const auto items = report(failed_on, ends(1, task(), 1, run_outcome::failed));
        report(worker, runs(task(), 2));
        check_that_run_2_goes_on(worker);
        record(failed_on, items);
        check_that_run_2_goes_on(worker);
    }

    void run_is_kept_in_any_order_of_the_reports()
    {
        const auto [failed_on, worker] = fail_and_start_again();
        change_leader();
        report(worker, runs(task(), 2));
        const auto items = report(failed_on, ends(1, task(), 1, run_outcome::failed));
        check_that_run_2_goes_on(worker);
        record(failed_on, items);
        check_that_run_2_goes_on(worker);
    }

    /** The order of the reports decided which of two runs was stopped. */
    void newer_run_replaces_an_older_one_that_was_listed_first()
    {
        add_worker("w1");
        add_worker("w2");
        submit();
        change_leader();
        report("w1", runs(task(), 1));
        report("w2", runs(task(), 2));
        const auto stops = plan_stops(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"w1"}, stops.front().worker.value());
        CPPUNIT_ASSERT_EQUAL(1U, stops.front().run);
        CPPUNIT_ASSERT_EQUAL(2U, open().run->number);
    }

    void older_run_is_stopped_beside_a_newer_one()
    {
        add_worker("w1");
        add_worker("w2");
        submit();
        change_leader();
        report("w2", runs(task(), 2));
        report("w1", runs(task(), 1));
        const auto stops = plan_stops(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"w1"}, stops.front().worker.value());
        CPPUNIT_ASSERT_EQUAL(2U, open().run->number);
    }

    /** A start that had not been sent was sent beside a run that a worker had meanwhile listed. */
    void planned_start_gives_way_to_a_listed_run()
    {
        add_worker("w1");
        submit();
        const auto planned = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planned.size());
        announce("w2");
        report("w2", runs(task(), 1));
        CPPUNIT_ASSERT(reason_to_drop(state_, planned.front()));
        CPPUNIT_ASSERT_EQUAL(std::string{"w2"}, open().run->worker.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stop_due());
    }

    void run_of_a_task_that_has_succeeded_is_stopped()
    {
        add_worker("w1");
        add_worker("w2");
        submit();
        change_leader();
        report("w1", ends(1, task(), 1, run_outcome::succeeded));
        report("w2", runs(task(), 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stop_due());
        CPPUNIT_ASSERT(plan().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listed_runs_test);

} // namespace galenaturn::schedule
