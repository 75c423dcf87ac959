#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** Tests that planned, sent and begun starts are told apart. */
class starts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(starts_test);
    CPPUNIT_TEST(job_with_a_planned_start_is_counted_as_waiting);
    CPPUNIT_TEST(job_whose_starts_did_not_begin_is_counted_as_waiting);
    CPPUNIT_TEST(job_whose_start_was_lost_with_its_worker_is_counted_as_waiting);
    CPPUNIT_TEST(job_of_which_a_run_was_listed_has_started);
    CPPUNIT_TEST(job_of_which_a_run_has_ended_has_started_for_the_next_leader);
    CPPUNIT_TEST(start_of_a_run_that_was_cleared_is_not_sent);
    CPPUNIT_TEST(start_of_a_cancelled_job_is_not_sent);
    CPPUNIT_TEST(start_is_sent_once);
    CPPUNIT_TEST(stop_that_was_refused_is_sent_again);
    CPPUNIT_TEST(start_that_found_no_connection_is_placed_elsewhere_at_once);
    CPPUNIT_TEST(worker_gets_no_lease_while_a_cleared_start_may_still_begin);
    CPPUNIT_TEST(confirmed_runs_that_expire_leave_no_start_in_doubt);
    CPPUNIT_TEST(stop_of_a_run_that_has_ended_is_not_sent);
    CPPUNIT_TEST(pace_of_a_run_that_is_being_stopped_is_not_sent);
    CPPUNIT_TEST_SUITE_END();

    const submission_id job_id_{"0123456789abcdef"};
    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};

public:
    void setUp() override { state_.settings.lease = std::chrono::seconds{8}; }

private:
    void add_worker(const std::string& id)
    {
        wire::worker_presence announcement;
        announcement.worker.id = worker_id{id};
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {millicores{4000}, bytes{std::int64_t{64} << 30}, {}};
        on_worker_announcement(state_, announcement);
        admit_worker(state_, announcement.worker.id);
        report(id, {});
        extend_lease(state_, announcement.worker.id, now_);
    }

    void report(const std::string& id, const worker_report& reported)
    {
        record_reply(state_, worker_id{id}, now_);
        on_worker_report(state_, worker_id{id}, reported, now_, now_);
    }

    [[nodiscard]] wire::job_record job() const
    {
        wire::job_record record;
        record.id = job_id_;
        record.queue.name = "q";
        record.queue.service = service_id{"desk"};
        record.queue.max_attempts = 3;
        record.queue.latency = std::chrono::seconds{1};
        wire::job_step step;
        step.demand.processors = millicores{4000};
        step.estimate = std::chrono::seconds{1};
        record.spec.steps.push_back(step);
        record.tasks.resize(1);
        return record;
    }

    start_command plan_one()
    {
        const auto commands = plan_starts(state_, now_, wall_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        return commands.front();
    }

    void check_waits(const std::string& message)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{1}, jobs_waiting(state_, "q"));
        CPPUNIT_ASSERT_MESSAGE(message, !has_started(state_, job_id_));
    }

    void check_has_started(const std::string& message)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, jobs_waiting(state_, "q"));
        CPPUNIT_ASSERT_MESSAGE(message, has_started(state_, job_id_));
    }

    void job_with_a_planned_start_is_counted_as_waiting()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        const auto command = plan_one();
        check_waits("planned");
        on_start_result(state_, command, command_result::accepted, now_);
        check_has_started("accepted");
    }

    void job_whose_starts_did_not_begin_is_counted_as_waiting()
    {
        for (const auto result :
             {command_result::no_capacity, command_result::too_late, command_result::unhealthy,
              command_result::refused, command_result::not_sent, command_result::unreachable,
              command_result::none}) {
            state_ = {};
            setUp();
            add_worker("w1");
            add_job(state_, job(), now_);
            on_start_result(state_, plan_one(), result, now_);
            check_waits(to_string(result));
        }
    }

    void job_whose_start_was_lost_with_its_worker_is_counted_as_waiting()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        plan_one();
        on_worker_crash(state_, worker_id{"w1"}, {}, now_);
        check_waits("lost");
    }

    void job_of_which_a_run_was_listed_has_started()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        const auto command = plan_one();
        on_start_result(state_, command, command_result::none, now_);
        now_ += std::chrono::milliseconds{10};
        worker_report reported;
        reported.running.push_back({command.task, command.run, "", 0, 0});
        report("w1", reported);
        check_has_started("listed");
    }

    void job_of_which_a_run_has_ended_has_started_for_the_next_leader()
    {
        auto record = job();
        record.tasks[0].failures = 1;
        record.tasks[0].last_run = 1;
        state_ = take_over({{record.id, record}}, {}, state_.settings, now_, wall_);
        check_has_started("a failure is recorded");
    }
    /** Otherwise the task runs twice: the start waits in a queue while the task starts elsewhere.
     */
    void start_of_a_run_that_was_cleared_is_not_sent()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        const auto command = plan_one();
        now_ += std::chrono::seconds{10};
        expire_leases(state_, now_);
        CPPUNIT_ASSERT(reason_to_drop(state_, command) == drop_reason::outdated);
        add_worker("w2");
        const auto next = plan_one();
        on_start_sent(state_, next, now_);
        on_start_result(state_, next, command_result::accepted, now_);
        CPPUNIT_ASSERT(reason_to_drop(state_, command) == drop_reason::outdated);
        drop_start(state_, command, drop_reason::outdated, now_);
        check_has_started("the drop of the outdated start changes nothing");
    }

    void start_of_a_cancelled_job_is_not_sent()
    {
        add_worker("w1");
        auto record = job();
        add_job(state_, record, now_);
        const auto command = plan_one();
        record.phase = wire::job_phase::cancelled;
        on_job_record(state_, record, now_);
        CPPUNIT_ASSERT(reason_to_drop(state_, command) == drop_reason::outdated);
        CPPUNIT_ASSERT(plan_stops(state_, now_).empty());
        drop_start(state_, command, drop_reason::outdated, now_);
        CPPUNIT_ASSERT(state_.jobs.empty());
    }

    void start_is_sent_once()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        const auto command = plan_one();
        CPPUNIT_ASSERT(!reason_to_drop(state_, command));
        on_start_sent(state_, command, now_);
        CPPUNIT_ASSERT(reason_to_drop(state_, command) == drop_reason::outdated);
    }
    /** Otherwise the run goes on, or begins late, beside the next one. */
    void stop_that_was_refused_is_sent_again()
    {
        for (const auto result : {command_result::unhealthy, command_result::refused,
                                  command_result::fenced, command_result::none}) {
            state_ = {};
            setUp();
            add_worker("w1");
            add_job(state_, job(), now_);
            const auto command = plan_one();
            on_start_sent(state_, command, now_);
            on_start_result(state_, command, command_result::none, now_);
            now_ += std::chrono::milliseconds{10};
            report("w1", {});
            const auto stop = plan_stops(state_, now_).at(0);
            on_stop_result(state_, stop, result, now_);
            now_ += std::chrono::milliseconds{700};
            report("w1", {});
            const std::string message = to_string(result);
            CPPUNIT_ASSERT_MESSAGE(message, plan_starts(state_, now_, wall_).empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{1}, plan_stops(state_, now_).size());
            on_stop_result(state_, stop, command_result::accepted, now_);
            now_ += std::chrono::milliseconds{10};
            report("w1", {});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{1},
                                         plan_starts(state_, now_, wall_).size());
        }
    }
    /** Guards against waiting for the lease of a worker that has received nothing. */
    void start_that_found_no_connection_is_placed_elsewhere_at_once()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        const auto command = plan_one();
        on_start_sent(state_, command, now_);
        add_worker("w2");
        on_start_result(state_, command, command_result::unreachable, now_);
        const auto next = plan_one();
        CPPUNIT_ASSERT(next.worker == worker_id{"w2"});
        CPPUNIT_ASSERT(next.run > command.run);
        CPPUNIT_ASSERT(may_extend_lease(state_, command.worker));
    }

    /** Otherwise the start is carried out late, under the new lease, beside the next run. */
    void worker_gets_no_lease_while_a_cleared_start_may_still_begin()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        const auto command = plan_one();
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::none, now_);
        now_ += std::chrono::seconds{10};
        expire_leases(state_, now_);
        report("w1", {});
        CPPUNIT_ASSERT(!may_extend_lease(state_, command.worker));
        CPPUNIT_ASSERT(plan_starts(state_, now_, wall_).empty());
        const auto stop = plan_stops(state_, now_).at(0);
        CPPUNIT_ASSERT_EQUAL(command.run, stop.run);
        on_stop_result(state_, stop, command_result::none, now_);
        CPPUNIT_ASSERT(!may_extend_lease(state_, command.worker));
        now_ += std::chrono::milliseconds{700};
        report("w1", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_stops(state_, now_).size());
        on_stop_result(state_, stop, command_result::accepted, now_);
        CPPUNIT_ASSERT(may_extend_lease(state_, command.worker));
        CPPUNIT_ASSERT(plan_stops(state_, now_).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_starts(state_, now_, wall_).size());
    }

    void confirmed_runs_that_expire_leave_no_start_in_doubt()
    {
        add_worker("w1");
        add_job(state_, job(), now_);
        const auto command = plan_one();
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::accepted, now_);
        now_ += std::chrono::seconds{10};
        expire_leases(state_, now_);
        CPPUNIT_ASSERT(may_extend_lease(state_, command.worker));
    }
    start_command start_one()
    {
        auto command = plan_one();
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::accepted, now_);
        now_ += std::chrono::milliseconds{10};
        return command;
    }

    void stop_of_a_run_that_has_ended_is_not_sent()
    {
        add_worker("w1");
        auto record = job();
        add_job(state_, record, now_);
        const auto command = start_one();
        record.phase = wire::job_phase::cancelled;
        on_job_record(state_, record, now_);
        const auto stop = plan_stops(state_, now_).at(0);
        CPPUNIT_ASSERT(is_due(state_, stop));
        worker_report reported;
        reported.ended.push_back({1, command.task, command.run, run_outcome::succeeded, ""});
        report("w1", reported);
        CPPUNIT_ASSERT(!is_due(state_, stop));
    }

    void pace_of_a_run_that_is_being_stopped_is_not_sent()
    {
        add_worker("w1");
        auto record = job();
        add_job(state_, record, now_);
        const auto command = start_one();
        const pace_command pace{command.task, command.run, command.worker, 100};
        CPPUNIT_ASSERT(is_due(state_, pace));
        const pace_command earlier{command.task, command.run, command.worker, 40};
        CPPUNIT_ASSERT(!is_due(state_, earlier));
        record.phase = wire::job_phase::cancelled;
        on_job_record(state_, record, now_);
        CPPUNIT_ASSERT(!is_due(state_, pace));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(starts_test);

} // namespace galenaturn::schedule
