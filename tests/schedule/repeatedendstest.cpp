#include "jobschedulerfixture.h"

namespace galenaturn::schedule {

/** Tests that an end which workers list again to the next leader is applied once. */
class repeated_ends_test : public job_scheduler_fixture {
    CPPUNIT_TEST_SUITE(repeated_ends_test);
    CPPUNIT_TEST(failures_listed_again_do_not_pause_their_worker);
    CPPUNIT_TEST(failures_that_were_not_recorded_pause_their_worker);
    CPPUNIT_TEST(failures_of_long_running_tasks_listed_again_do_not_pause_their_worker);
    CPPUNIT_TEST(recorded_ends_are_not_recorded_again);
    CPPUNIT_TEST(ends_listed_again_are_not_counted_again);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t tasks = 3;

    static worker_report failures(run_outcome outcome = run_outcome::failed)
    {
        worker_report reported;
        for (std::uint32_t index = 0; index < tasks; ++index)
            reported.ended.push_back(
                {index + 1, {submission_id{"0123456789abcdef"}, 0, 0, index}, 1, outcome, ""});
        return reported;
    }

    /** All tasks of a job have ended on one worker. */
    completions end_all(bool long_running, run_outcome outcome = run_outcome::failed)
    {
        add_worker("w1", 16);
        wire::job_step step;
        step.count = tasks;
        step.long_running = long_running;
        submit(step);
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, start_planned().size());
        return report("w1", failures(outcome));
    }

    [[nodiscard]] bool is_paused() { return state_.workers.at(worker_id{"w1"}).avoid_until > now_; }

    /** A worker got no tasks for 6 s, because each new leader counted its old failures anew. */
    void failures_listed_again_do_not_pause_their_worker()
    {
        record("w1", end_all(false));
        change_leader();
        report("w1", failures());
        CPPUNIT_ASSERT(!is_paused());
    }

    void failures_that_were_not_recorded_pause_their_worker()
    {
        end_all(false);
        change_leader();
        report("w1", failures());
        CPPUNIT_ASSERT(is_paused());
    }

    void failures_of_long_running_tasks_listed_again_do_not_pause_their_worker()
    {
        end_all(true);
        CPPUNIT_ASSERT(is_paused());
        change_leader();
        report("w1", failures());
        CPPUNIT_ASSERT(!is_paused());
    }

    /** Each leader recorded them again, and held the tasks back meanwhile. */
    void recorded_ends_are_not_recorded_again()
    {
        record("w1", end_all(false));
        change_leader();
        CPPUNIT_ASSERT(report("w1", failures()).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, plan().size());
    }

    /** Failures and successes were counted once for each leader that read them. */
    void ends_listed_again_are_not_counted_again()
    {
        for (const auto outcome : {run_outcome::failed, run_outcome::succeeded}) {
            state_ = {};
            ledger_ = {};
            setUp();
            record("w1", end_all(false, outcome));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{tasks},
                                 state_.counts.failed + state_.counts.succeeded);
            change_leader();
            report("w1", failures(outcome));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state_.counts.failed + state_.counts.succeeded);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_ends_test);

} // namespace galenaturn::schedule
