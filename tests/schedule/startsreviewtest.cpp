#include "stewardfixture.h"

#include <galenaturn/ledger.h>
#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** Tests of a review: commands that are taken for carried out, and plans for what is. */
class starts_review_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(starts_review_test);
    CPPUNIT_TEST(pace_that_was_refused_is_sent_again);
    CPPUNIT_TEST(next_leader_assigns_higher_run_numbers_after_dropped_starts);
    CPPUNIT_TEST(run_of_a_cancelled_job_is_stopped_in_the_next_life_of_its_worker);
    CPPUNIT_TEST(gang_is_not_started_after_a_member_was_withdrawn);
    CPPUNIT_TEST(gang_is_stopped_after_a_member_was_dropped);
    CPPUNIT_TEST(start_without_a_lease_is_not_planned_at_once_on_the_same_worker);
    CPPUNIT_TEST(start_is_not_sent_to_a_worker_that_leaves);
    CPPUNIT_TEST(suspect_is_not_sent_beside_a_start_of_another_job);
    CPPUNIT_TEST(leaving_worker_stops_no_more_runs_than_fit_elsewhere);
    CPPUNIT_TEST(place_of_a_moving_run_is_kept_until_its_next_run);
    CPPUNIT_TEST(success_is_recorded_although_an_earlier_leader_numbered_higher);
    CPPUNIT_TEST(task_waits_until_all_its_ends_are_recorded);
    CPPUNIT_TEST(start_of_a_worker_that_left_is_in_doubt_in_its_next_life);
    CPPUNIT_TEST(departed_starts_are_forgotten_once_they_can_no_longer_be_carried_out);
    CPPUNIT_TEST(listed_run_is_kept_when_its_queued_start_is_dropped);
    CPPUNIT_TEST(steward_repeats_that_a_task_may_run_at_full_speed);
    CPPUNIT_TEST(next_steward_lets_an_adopted_task_run_at_full_speed);
    CPPUNIT_TEST_SUITE_END();

    const submission_id job_id_{"0123456789abcdef"};
    const submission_id other_id_{"fedcba9876543210"};
    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};
    std::uint64_t index_{0};

public:
    void setUp() override { state_.settings.lease = std::chrono::seconds{8}; }

private:
    [[nodiscard]] wire::worker_presence presence(const std::string& id) const
    {
        wire::worker_presence announcement;
        announcement.worker.id = worker_id{id};
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {millicores{4000}, bytes{std::int64_t{64} << 30}, {}};
        return announcement;
    }

    void add_worker(const std::string& id)
    {
        on_worker_announcement(state_, presence(id));
        admit_worker(state_, worker_id{id});
        report(id, {});
        extend_lease(state_, worker_id{id}, now_);
    }

    void report(const std::string& id, const worker_report& reported)
    {
        record_reply(state_, worker_id{id}, now_);
        on_worker_report(state_, worker_id{id}, reported, now_, now_);
    }

    [[nodiscard]] wire::job_record job(const submission_id& id, std::uint32_t count = 1) const
    {
        wire::job_record record;
        record.id = id;
        record.queue.name = "q";
        record.queue.service = service_id{"desk"};
        record.queue.max_attempts = 3;
        record.queue.latency = std::chrono::seconds{1};
        wire::job_step step;
        step.count = count;
        step.demand.processors = millicores{4000};
        step.estimate = std::chrono::seconds{1};
        record.spec.steps.push_back(step);
        record.tasks.resize(count);
        return record;
    }

    start_command plan_one()
    {
        const auto commands = plan_starts(state_, now_, wall_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        return commands.front();
    }

    void start(const start_command& command)
    {
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::accepted, now_);
    }

    /** Otherwise a run that works at full speed is taken for one that is slowed. */
    void pace_that_was_refused_is_sent_again()
    {
        for (const auto result :
             {command_result::unhealthy, command_result::refused, command_result::fenced}) {
            state_ = {};
            setUp();
            add_worker("w1");
            add_job(state_, job(job_id_), now_);
            const auto command = plan_one();
            start(command);
            state_.jobs.at(job_id_).tasks[0].run->pace_percent = 20;
            state_.paces_due.set(command.task, now_);
            const auto pace = plan_paces(state_, now_).at(0);
            on_pace_result(state_, pace, result);
            now_ += std::chrono::milliseconds{400};
            CPPUNIT_ASSERT_EQUAL_MESSAGE(to_string(result), std::size_t{1},
                                         plan_paces(state_, now_).size());
        }
    }

    /** Otherwise the ledger takes the end of the later run for a duplicate. */
    void next_leader_assigns_higher_run_numbers_after_dropped_starts()
    {
        add_worker("w1");
        const auto record = job(job_id_);
        add_job(state_, record, now_);
        auto command = plan_one();
        for (int dropped = 0; dropped < 8; ++dropped) {
            drop_start(state_, command, drop_reason::no_lease, now_);
            now_ += std::chrono::milliseconds{500};
            report("w1", {});
            command = plan_one();
        }
        start(command);
        // The worker is lost together with the leader.
        now_ += std::chrono::seconds{1};
        state_ = take_over({{record.id, record}}, {}, state_.settings, now_, wall_);
        now_ += std::chrono::seconds{20};
        add_worker("w2");
        const auto next = plan_one();
        CPPUNIT_ASSERT_MESSAGE("sent " + std::to_string(command.run) + ", then " +
                                   std::to_string(next.run),
                               next.run > command.run);
    }

    /** Otherwise it runs on after the cancellation: nothing plans its stop again. */
    void run_of_a_cancelled_job_is_stopped_in_the_next_life_of_its_worker()
    {
        add_worker("w1");
        auto record = job(job_id_);
        add_job(state_, record, now_);
        const auto command = plan_one();
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::none, now_);
        record.phase = wire::job_phase::cancelled;
        on_job_record(state_, record, now_);
        const auto stop = plan_stops(state_, now_).at(0);
        on_stop_result(state_, stop, command_result::none, now_);
        const auto next = make_worker_id("w1", incarnation{2});
        on_worker_announcement(state_, presence(next.value()));
        admit_worker(state_, next);
        on_worker_crash(state_, worker_id{"w1"}, next, now_);
        for (int polls = 0; polls < 3; ++polls) {
            now_ += std::chrono::seconds{1};
            worker_report reported;
            reported.running.push_back({command.task, command.run, "", 10, 0});
            report(next.value(), reported);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_stops(state_, now_).size());
    }

    [[nodiscard]] wire::job_record gang(bool best_effort) const
    {
        auto record = job(job_id_, 2);
        auto& step = record.spec.steps[0];
        step.gang = true;
        step.best_effort = best_effort;
        step.max_per_worker = 1;
        step.demand.memory = bytes{std::int64_t{40} << 30};
        return record;
    }

    /** Otherwise the other members run alone until their time-out. */
    void gang_is_not_started_after_a_member_was_withdrawn()
    {
        add_worker("w1");
        add_worker("w2");
        add_job(state_, gang(true), now_);
        const auto commands = plan_starts(state_, now_, wall_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, commands.size());
        auto lasting = job(other_id_);
        auto& step = lasting.spec.steps[0];
        step.long_running = true;
        step.demand.memory = bytes{std::int64_t{40} << 30};
        add_job(state_, lasting, now_);
        now_ += std::chrono::milliseconds{200};
        CPPUNIT_ASSERT(plan_starts(state_, now_, wall_).empty());
        const bool first = reason_to_drop(state_, commands[0]).has_value();
        const bool second = reason_to_drop(state_, commands[1]).has_value();
        CPPUNIT_ASSERT_MESSAGE("one is preempted", first || second);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("both or none", first, second);
    }

    void gang_is_stopped_after_a_member_was_dropped()
    {
        add_worker("w1");
        add_worker("w2");
        add_job(state_, gang(false), now_);
        const auto commands = plan_starts(state_, now_, wall_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, commands.size());
        start(commands[0]);
        drop_start(state_, commands[1], drop_reason::no_lease, now_);
        now_ += std::chrono::milliseconds{10};
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the other member has nobody to work with", std::size_t{1},
                                     plan_stops(state_, now_).size());
    }

    /** Otherwise each pass plans a start and drops it, although another worker is free. */
    void start_without_a_lease_is_not_planned_at_once_on_the_same_worker()
    {
        add_worker("w1");
        add_worker("w2");
        add_job(state_, job(job_id_), now_);
        const auto command = plan_one();
        drop_start(state_, command, drop_reason::no_lease, now_);
        now_ += std::chrono::milliseconds{10};
        CPPUNIT_ASSERT(plan_one().worker != command.worker);
    }

    void start_is_not_sent_to_a_worker_that_leaves()
    {
        add_worker("w1");
        add_job(state_, job(job_id_), now_);
        const auto command = plan_one();
        auto announcement = presence("w1");
        announcement.leaving = true;
        on_worker_announcement(state_, announcement);
        CPPUNIT_ASSERT(reason_to_drop(state_, command).has_value());
    }

    /** Otherwise a crash makes a suspect of the other job. */
    void suspect_is_not_sent_beside_a_start_of_another_job()
    {
        add_worker("w1");
        auto record = job(job_id_);
        record.spec.steps[0].demand.processors = millicores{1000};
        record.crashes[0].count = 1;
        add_job(state_, record, now_);
        const auto suspect = plan_one();
        CPPUNIT_ASSERT(suspect.suspect);
        // The ledger takes up to 1.5 s to record the start.
        now_ += std::chrono::milliseconds{1100};
        auto other = job(other_id_);
        other.spec.steps[0].demand.processors = millicores{1000};
        add_job(state_, other, now_);
        report("w1", {});
        start(plan_one());
        now_ += std::chrono::milliseconds{100};
        CPPUNIT_ASSERT(reason_to_drop(state_, suspect).has_value());
    }

    /** The capacity elsewhere serves one of them only. */
    void leaving_worker_stops_no_more_runs_than_fit_elsewhere()
    {
        add_worker("w1");
        auto record = job(job_id_, 2);
        record.spec.steps[0].long_running = true;
        record.spec.steps[0].demand.processors = millicores{2000};
        add_job(state_, record, now_);
        const auto commands = plan_starts(state_, now_, wall_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, commands.size());
        for (const auto& command : commands)
            start(command);
        auto small = presence("w2");
        small.worker.capacity.processors = millicores{2000};
        add_worker("w2");
        on_worker_announcement(state_, small);
        auto leaving = presence("w1");
        leaving.leaving = true;
        on_worker_announcement(state_, leaving);
        drain_leaving_workers(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_stops(state_, now_).size());
        // The place stays promised until the run that moves has ended.
        drain_leaving_workers(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plan_stops(state_, now_).size());
        // Promised places are reserved only while moves are planned.
        CPPUNIT_ASSERT(state_.workers.at(worker_id{"w2"}).reserved.processors == millicores{});
    }

    /** Records the items in the ledger, and passes the result to the scheduler. */
    void record(ledger::ledger_state& ledger,
                const std::vector<wire::record_completions::item>& items)
    {
        wire::record_completions body;
        body.items = items;
        apply(ledger, wire::command{body});
        on_job_record(state_, ledger.jobs.at(job_id_), now_);
        on_completions_recorded(state_, items);
    }

    void apply(ledger::ledger_state& ledger, wire::command body)
    {
        wire::command_request request;
        request.id = request_id{"r" + std::to_string(++index_)};
        request.body = std::move(body);
        ledger::applied_change change;
        ledger::apply_command(ledger, request, log_index{index_}, change);
    }

    std::vector<wire::record_completions::item>
    report_end(const std::string& id, const start_command& command, run_outcome outcome)
    {
        worker_report reported;
        reported.ended.push_back({1, command.task, command.run, outcome, ""});
        record_reply(state_, worker_id{id}, now_);
        return on_worker_report(state_, worker_id{id}, reported, now_, now_);
    }

    /** Otherwise the task starts again after it has succeeded. */
    void success_is_recorded_although_an_earlier_leader_numbered_higher()
    {
        ledger::ledger_state ledger;
        wire::submit_job body;
        body.id = job_id_;
        body.queue = job(job_id_).queue;
        body.spec = job(job_id_).spec;
        apply(ledger, wire::command{body});
        add_worker("w1");
        add_job(state_, ledger.jobs.at(job_id_), now_);
        auto first = plan_one();
        for (int dropped = 0; dropped < 8; ++dropped) {
            drop_start(state_, first, drop_reason::no_lease, now_);
            now_ += std::chrono::milliseconds{500};
            report("w1", {});
            first = plan_one();
        }
        start(first);
        // The next leader reaches the first worker only after its lease has expired.
        state_ = take_over(ledger.jobs, {}, state_.settings, now_, wall_);
        now_ += std::chrono::seconds{20};
        add_worker("w2");
        const auto second = plan_one();
        start(second);
        add_worker("w1");
        record(ledger, report_end("w1", first, run_outcome::failed));
        now_ += std::chrono::seconds{1};
        record(ledger, report_end("w2", second, run_outcome::succeeded));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plan_starts(state_, now_, wall_).size());
    }

    /** Otherwise the task starts again while its success is being recorded. */
    void task_waits_until_all_its_ends_are_recorded()
    {
        add_worker("w1");
        add_job(state_, job(job_id_), now_);
        const auto first = plan_one();
        start(first);
        // It runs for too long to be a suspect of a crash.
        now_ += std::chrono::seconds{2};
        worker_report reported;
        reported.running.push_back({first.task, first.run, "", 0, 0});
        report("w1", reported);
        now_ += std::chrono::seconds{20};
        expire_leases(state_, now_);
        add_worker("w2");
        const auto second = plan_one();
        start(second);
        now_ += std::chrono::milliseconds{100};
        const auto failed = report_end("w1", first, run_outcome::failed);
        const auto succeeded = report_end("w2", second, run_outcome::succeeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failed.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, succeeded.size());
        on_completions_recorded(state_, failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plan_starts(state_, now_, wall_).size());
    }

    /** A command names the worker only, so that the next life may carry the start out. */
    void start_of_a_worker_that_left_is_in_doubt_in_its_next_life()
    {
        const auto life = make_worker_id("w1", incarnation{1});
        const auto next = make_worker_id("w1", incarnation{2});
        add_worker(life.value());
        add_job(state_, job(job_id_), now_);
        const auto command = plan_one();
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::none, now_);
        auto left = presence(life.value());
        left.left = true;
        on_worker_announcement(state_, left);
        remove_worker(state_, life);
        on_worker_announcement(state_, presence(next.value()));
        admit_worker(state_, next);
        CPPUNIT_ASSERT(!may_extend_lease(state_, next));
    }

    /** No start is carried out later than 60 s after it was sent. */
    void departed_starts_are_forgotten_once_they_can_no_longer_be_carried_out()
    {
        const auto life = make_worker_id("w1", incarnation{1});
        const auto next = make_worker_id("w1", incarnation{2});
        add_worker(life.value());
        add_job(state_, job(job_id_), now_);
        const auto command = plan_one();
        on_start_sent(state_, command, now_);
        on_start_result(state_, command, command_result::none, now_);
        auto left = presence(life.value());
        left.left = true;
        on_worker_announcement(state_, left);
        remove_worker(state_, life);
        now_ += std::chrono::hours{1};
        add_worker("w2");
        plan_starts(state_, now_, wall_);
        on_worker_announcement(state_, presence(next.value()));
        admit_worker(state_, next);
        CPPUNIT_ASSERT(may_extend_lease(state_, next));
    }

    /** Otherwise the next run of a leaving worker is stopped for the same place. */
    void place_of_a_moving_run_is_kept_until_its_next_run()
    {
        add_worker("w1");
        auto record = job(job_id_, 2);
        record.spec.steps[0].long_running = true;
        record.spec.steps[0].demand.processors = millicores{2000};
        add_job(state_, record, now_);
        for (const auto& command : plan_starts(state_, now_, wall_))
            start(command);
        auto small = presence("w2");
        small.worker.capacity.processors = millicores{2000};
        add_worker("w2");
        on_worker_announcement(state_, small);
        auto leaving = presence("w1");
        leaving.leaving = true;
        on_worker_announcement(state_, leaving);
        drain_leaving_workers(state_, now_);
        const auto stops = plan_stops(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        on_stop_result(state_, stops[0], command_result::accepted, now_);
        now_ += std::chrono::milliseconds{100};
        worker_report reported;
        for (const auto& [ref, number] : state_.workers.at(worker_id{"w1"}).runs) {
            if (ref != stops[0].task)
                reported.running.push_back({ref, number, "", 100, 0});
        }
        reported.ended.push_back({1, stops[0].task, stops[0].run, run_outcome::stopped, ""});
        report("w1", reported);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.workers.at(worker_id{"w1"}).runs.size());
        drain_leaving_workers(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plan_stops(state_, now_).size());
    }

    /** Otherwise the next start runs beside it. */
    void listed_run_is_kept_when_its_queued_start_is_dropped()
    {
        add_worker("w1");
        add_job(state_, job(job_id_), now_);
        const auto command = plan_one();
        worker_report reported;
        reported.running.push_back({command.task, command.run, "", 0, 0});
        now_ += std::chrono::milliseconds{10};
        report("w1", reported);
        const auto reason = reason_to_drop(state_, command);
        CPPUNIT_ASSERT(reason == drop_reason::outdated);
        drop_start(state_, command, *reason, now_);
        add_worker("w2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plan_starts(state_, now_, wall_).size());
    }

    /** A response may be lost, or its commands removed; the worker keeps the lower speed then. */
    void steward_repeats_that_a_task_may_run_at_full_speed()
    {
        steward_fixture fixture;
        fixture.add_task("batch");
        const auto started = fixture.beat("w1").commands.at(0);
        const auto running = steward_fixture::report(started, wire::worker_task_state::running);
        fixture.beat("w1", {running});
        auto& task = fixture.steward.tasks.at(task_id{"batch"});
        CPPUNIT_ASSERT(apply_task_event(fixture.steward, task, "throttle", fixture.now));
        CPPUNIT_ASSERT(apply_task_event(fixture.steward, task, "unthrottle", fixture.now));
        const auto lost = fixture.beat("w1", {running});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             steward_fixture::count(lost, wire::worker_command_kind::throttle));
        const auto next = fixture.beat("w1", {running});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             steward_fixture::count(next, wire::worker_command_kind::throttle));
    }

    /** The earlier steward may have throttled it; the next one takes it for unthrottled. */
    void next_steward_lets_an_adopted_task_run_at_full_speed()
    {
        steward_fixture fixture;
        const auto& record = fixture.add_task("batch");
        const auto started = fixture.beat("w1").commands.at(0);
        const auto running = steward_fixture::report(started, wire::worker_task_state::running);
        fixture.beat("w1", {running});
        auto& task = fixture.steward.tasks.at(task_id{"batch"});
        CPPUNIT_ASSERT(apply_task_event(fixture.steward, task, "throttle", fixture.now));
        fixture.beat("w1", {running});
        begin_stewardship(fixture.steward, epoch{2}, fixture.now);
        on_task_record(fixture.steward, record.id, &record, true, fixture.now);
        fixture.advance_time(std::chrono::seconds{1});
        const auto response = fixture.beat("w1", {running});
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, fixture.task("batch").state);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             steward_fixture::count(response, wire::worker_command_kind::throttle));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(starts_review_test);

} // namespace galenaturn::schedule
