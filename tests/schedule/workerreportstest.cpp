#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** Tests what the leader takes from the reports and announcements of a worker. */
class worker_reports_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_reports_test);
    CPPUNIT_TEST(run_listed_twice_does_not_hide_one_that_is_not_listed);
    CPPUNIT_TEST(suspect_is_cleared_whether_it_runs_has_ended_or_is_not_listed);
    CPPUNIT_TEST(announcement_with_nothing_new_is_no_change);
    CPPUNIT_TEST_SUITE_END();

    const worker_id worker_{"w"};
    const submission_id job_id_{"0123456789abcdef"};
    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};

public:
    void setUp() override
    {
        state_ = {};
        state_.settings.lease = std::chrono::seconds{8};
        on_worker_announcement(state_, announcement());
        admit_worker(state_, worker_);
        report({});
    }

private:
    [[nodiscard]] wire::worker_presence announcement() const
    {
        wire::worker_presence presence;
        presence.worker.id = worker_;
        presence.worker.service = service_id{"desk"};
        presence.worker.capacity = {millicores{4000}, bytes{std::int64_t{64} << 30}, {}};
        return presence;
    }

    void report(const worker_report& reported)
    {
        record_reply(state_, worker_, now_);
        on_worker_report(state_, worker_, reported, now_, now_);
        extend_lease(state_, worker_, now_);
    }

    /** Adds a job of `count` tasks under which workers crashed, and starts all of them. */
    std::vector<start_command> start_job(std::uint32_t count, std::uint32_t crashes)
    {
        wire::job_record record;
        record.id = job_id_;
        record.queue.service = service_id{"desk"};
        record.queue.max_attempts = 3;
        wire::job_step step;
        step.count = count;
        step.demand.processors = millicores{1000};
        step.estimate = std::chrono::seconds{1};
        record.spec.steps.push_back(step);
        record.tasks.resize(count);
        if (crashes > 0)
            record.crashes[0].count = crashes;
        add_job(state_, record, now_);
        auto commands = plan_starts(state_, now_, wall_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, commands.size());
        for (const auto& command : commands)
            on_start_result(state_, command, command_result::accepted, now_);
        now_ += std::chrono::seconds{2};
        return commands;
    }

    void run_listed_twice_does_not_hide_one_that_is_not_listed()
    {
        const auto commands = start_job(2, 0);
        worker_report reported;
        for (int row = 0; row < 2; ++row)
            reported.running.push_back({commands[0].task, commands[0].run, "", 50, 0});
        report(reported);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state_.counts.unlisted);
        const auto& tasks = state_.jobs.at(job_id_).tasks;
        CPPUNIT_ASSERT(tasks[commands[0].task.index].run.has_value());
        CPPUNIT_ASSERT(!tasks[commands[1].task.index].run.has_value());
    }

    void suspect_is_cleared_whether_it_runs_has_ended_or_is_not_listed()
    {
        for (const char* as : {"running", "ended", "unlisted"}) {
            setUp();
            const auto command = start_job(1, 1).front();
            worker_report reported;
            if (as == std::string{"running"})
                reported.running.push_back({command.task, command.run, "", 50, 0});
            if (as == std::string{"ended"})
                reported.ended.push_back({1, command.task, command.run, run_outcome::stopped, ""});
            report(reported);
            CPPUNIT_ASSERT_MESSAGE(as, state_.jobs.at(job_id_).tasks.front().cleared);
        }
    }

    void announcement_with_nothing_new_is_no_change()
    {
        const auto before = state_.last_change;
        on_worker_announcement(state_, announcement());
        CPPUNIT_ASSERT_EQUAL(before, state_.last_change);
        auto larger = announcement();
        larger.worker.capacity.processors = millicores{8000};
        on_worker_announcement(state_, larger);
        CPPUNIT_ASSERT(before < state_.last_change);
        CPPUNIT_ASSERT(state_.workers.at(worker_).record == larger.worker);
        const auto larger_change = state_.last_change;
        larger.leaving = true;
        on_worker_announcement(state_, larger);
        CPPUNIT_ASSERT(larger_change < state_.last_change);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_reports_test);

} // namespace galenaturn::schedule
