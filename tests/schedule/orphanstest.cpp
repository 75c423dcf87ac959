#include "jobschedulerfixture.h"

namespace galenaturn::schedule {

/** Tests that a task is not started beside a run of it that is still being stopped. */
class orphans_test : public job_scheduler_fixture {
    CPPUNIT_TEST_SUITE(orphans_test);
    CPPUNIT_TEST(task_waits_for_the_end_of_an_orphan_that_is_stopped);
    CPPUNIT_TEST(task_waits_until_the_lease_of_a_silent_worker_has_expired);
    CPPUNIT_TEST(task_does_not_wait_for_a_worker_that_is_gone);
    CPPUNIT_TEST(job_handed_in_again_waits_for_the_runs_of_the_earlier_one);
    CPPUNIT_TEST(orphan_is_not_adopted_after_its_stop_was_sent);
    CPPUNIT_TEST_SUITE_END();

    /** Run 1 on w1 is an orphan, because run 2 is kept; run 2 then fails. */
    void leave_an_orphan()
    {
        list_an_orphan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stop_due());
        record("w2", report("w2", ends(1, task(), 2, run_outcome::failed)));
    }

    /** The stop of a run takes its time, during which the next run was started elsewhere. */
    void task_waits_for_the_end_of_an_orphan_that_is_stopped()
    {
        leave_an_orphan();
        CPPUNIT_ASSERT(plan().empty());
        report("w1", runs(task(), 1));
        CPPUNIT_ASSERT(plan().empty());
        report("w1", ends(1, task(), 1, run_outcome::stopped));
        CPPUNIT_ASSERT(has_urgent_changes(state_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan().size());
    }

    void task_waits_until_the_lease_of_a_silent_worker_has_expired()
    {
        leave_an_orphan();
        record_contact_loss(state_, worker_id{"w1"}, now_, false);
        now_ += std::chrono::seconds{7};
        report("w3", {});
        expire_leases(state_, now_);
        CPPUNIT_ASSERT(plan().empty());
        now_ += std::chrono::seconds{2};
        expire_leases(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan().size());
    }

    void task_does_not_wait_for_a_worker_that_is_gone()
    {
        leave_an_orphan();
        CPPUNIT_ASSERT(plan().empty());
        remove_worker(state_, worker_id{"w1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan().size());
    }

    /** The scheduler had forgotten the cancelled job, but a worker still had a run of it. */
    void job_handed_in_again_waits_for_the_runs_of_the_earlier_one()
    {
        add_worker("w1");
        add_worker("w2");
        report("w1", runs(task(), 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stop_due());
        submit();
        CPPUNIT_ASSERT(plan().empty());
        report("w1", ends(1, task(), 1, run_outcome::stopped));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan().size());
    }

    void orphan_is_not_adopted_after_its_stop_was_sent()
    {
        leave_an_orphan();
        report("w1", runs(task(), 1));
        CPPUNIT_ASSERT(!open().run);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orphans_test);

} // namespace galenaturn::schedule
