#include "jobschedulerfixture.h"

namespace galenaturn::schedule {

/** Tests that the checkpoint of an older run does not replace that of a newer one. */
class checkpoints_test : public job_scheduler_fixture {
    CPPUNIT_TEST_SUITE(checkpoints_test);
    CPPUNIT_TEST(older_end_that_is_listed_later_does_not_set_the_task_back);
    CPPUNIT_TEST(end_that_the_ledger_has_recorded_does_not_set_the_task_back);
    CPPUNIT_TEST(gang_starts_from_the_newest_checkpoint_of_its_members);
    CPPUNIT_TEST_SUITE_END();

    [[nodiscard]] std::string checkpoint_of_next_start()
    {
        const auto commands = plan();
        CPPUNIT_ASSERT(!commands.empty());
        return commands.front().checkpoint;
    }

    /** The task lost the work of its newer run. */
    void older_end_that_is_listed_later_does_not_set_the_task_back()
    {
        add_worker("w1");
        add_worker("w2");
        submit();
        change_leader();
        report("w2", ends(1, task(), 2, run_outcome::stopped, "newer"));
        report("w1", ends(1, task(), 1, run_outcome::stopped, "older"));
        CPPUNIT_ASSERT_EQUAL(std::string{"newer"}, checkpoint_of_next_start());
    }

    void end_that_the_ledger_has_recorded_does_not_set_the_task_back()
    {
        add_worker("w1");
        add_worker("w2");
        submit();
        record("w2", report("w2", ends(1, task(), 2, run_outcome::failed, "newer")));
        change_leader();
        report("w2", ends(1, task(), 2, run_outcome::failed, "newer"));
        report("w1", ends(1, task(), 1, run_outcome::stopped, "older"));
        CPPUNIT_ASSERT_EQUAL(std::string{"newer"}, checkpoint_of_next_start());
    }

    void gang_starts_from_the_newest_checkpoint_of_its_members()
    {
        add_worker("w1");
        add_worker("w2");
        wire::job_step step;
        step.count = 2;
        step.gang = true;
        submit(step);
        change_leader();
        report("w1", ends(1, task(0), 1, run_outcome::stopped, "older"));
        report("w2", ends(1, task(1), 2, run_outcome::broken, "newer"));
        CPPUNIT_ASSERT_EQUAL(std::string{"newer"}, checkpoint_of_next_start());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(checkpoints_test);

} // namespace galenaturn::schedule
