#include "jobschedulerfixture.h"

namespace galenaturn::schedule {

/** Tests that a report with a part of the ends is not taken for all that a worker has to tell. */
class incomplete_reports_test : public job_scheduler_fixture {
    CPPUNIT_TEST_SUITE(incomplete_reports_test);
    CPPUNIT_TEST(run_whose_end_is_not_listed_yet_does_not_start_again);
    CPPUNIT_TEST(new_leader_starts_nothing_until_all_ends_are_listed);
    CPPUNIT_TEST(orphan_whose_end_is_not_listed_yet_holds_its_task);
    CPPUNIT_TEST(unanswered_start_waits_for_a_complete_report);
    CPPUNIT_TEST(run_that_has_ended_is_no_suspect_of_a_later_crash);
    CPPUNIT_TEST(runs_of_a_worker_that_is_gone_start_again);
    CPPUNIT_TEST(run_keeps_its_place_until_its_end_is_listed);
    CPPUNIT_TEST(run_that_no_complete_report_lists_starts_again);
    CPPUNIT_TEST_SUITE_END();

    static worker_report part_of(worker_report reported)
    {
        reported.complete = false;
        return reported;
    }

    /** Both tasks of a job run on w1. */
    void start_two()
    {
        add_worker("w1", 8);
        wire::job_step step;
        step.count = 2;
        submit(step);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, start_planned().size());
        auto reported = runs(task(0), 1);
        reported.running.push_back({task(1), 1, "", 50});
        report("w1", reported);
    }

    void record_first_part()
    {
        record("w1", report("w1", part_of(ends(1, task(0), 1, run_outcome::succeeded))));
    }

    /** Its task started again although it had succeeded. */
    void run_whose_end_is_not_listed_yet_does_not_start_again()
    {
        start_two();
        add_worker("w2");
        record_first_part();
        CPPUNIT_ASSERT(plan().empty());
        record("w1", report("w1", ends(2, task(1), 1, run_outcome::succeeded)));
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(ledger_.jobs.at(job_id_).phase == wire::job_phase::succeeded);
    }

    /** The tasks whose ends were not listed first started again after a change of leader. */
    void new_leader_starts_nothing_until_all_ends_are_listed()
    {
        start_two();
        add_worker("w2");
        change_leader();
        report("w2", {});
        record_first_part();
        CPPUNIT_ASSERT(plan().empty());
        record("w1", report("w1", ends(2, task(1), 1, run_outcome::failed)));
        const auto commands = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT_EQUAL(1U, commands.front().task.index);
    }

    void orphan_whose_end_is_not_listed_yet_holds_its_task()
    {
        list_an_orphan();
        record("w2", report("w2", ends(1, task(), 2, run_outcome::failed)));
        report("w1", part_of({}));
        CPPUNIT_ASSERT(plan().empty());
        record("w1", report("w1", ends(9, task(), 1, run_outcome::succeeded)));
        CPPUNIT_ASSERT(plan().empty());
        CPPUNIT_ASSERT(ledger_.jobs.at(job_id_).phase == wire::job_phase::succeeded);
    }

    /** It may have begun and ended. */
    void unanswered_start_waits_for_a_complete_report()
    {
        add_worker("w1");
        submit();
        const auto command = plan().front();
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::none, now_);
        report("w1", part_of({}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stop_due());
        CPPUNIT_ASSERT(plan().empty());
        report("w1", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stop_due());
    }

    /** A sound job would be given up for crashes of which it is no cause. */
    void run_that_has_ended_is_no_suspect_of_a_later_crash()
    {
        start_two();
        record_first_part();
        CPPUNIT_ASSERT(on_worker_crash(state_, worker_id{"w1"}, {}, now_).empty());
    }

    /** The ends that were not read are lost with the worker. */
    void runs_of_a_worker_that_is_gone_start_again()
    {
        start_two();
        add_worker("w2");
        record_first_part();
        remove_worker(state_, worker_id{"w1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan().size());
    }

    void run_keeps_its_place_until_its_end_is_listed()
    {
        start_two();
        record_first_part();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.workers.at(worker_id{"w1"}).runs.size());
        report("w1", ends(2, task(1), 1, run_outcome::succeeded));
        CPPUNIT_ASSERT(state_.workers.at(worker_id{"w1"}).runs.empty());
    }

    void run_that_no_complete_report_lists_starts_again()
    {
        start_two();
        add_worker("w2");
        record_first_part();
        report("w1", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(incomplete_reports_test);

} // namespace galenaturn::schedule
