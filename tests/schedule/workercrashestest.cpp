#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** Tests which tasks are suspected after the crash of a worker, and where suspects start again. */
class worker_crashes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_crashes_test);
    CPPUNIT_TEST(only_tasks_that_have_just_started_are_suspected);
    CPPUNIT_TEST(workers_lost_together_blame_no_task);
    CPPUNIT_TEST(unconfirmed_run_is_not_blamed_alone);
    CPPUNIT_TEST(start_that_was_not_sent_is_not_suspected);
    CPPUNIT_TEST(start_that_was_not_sent_is_not_suspected_after_a_silence);
    CPPUNIT_TEST(start_that_was_not_sent_does_not_continue_in_the_next_life);
    CPPUNIT_TEST(task_waits_until_the_crash_is_recorded);
    CPPUNIT_TEST(nothing_starts_beside_a_suspect);
    CPPUNIT_TEST(suspect_waits_until_other_starts_have_survived);
    CPPUNIT_TEST(suspect_starts_soon_while_all_workers_get_other_starts);
    CPPUNIT_TEST(suspected_gang_starts_soon_while_all_workers_get_other_starts);
    CPPUNIT_TEST(suspect_of_a_silent_worker_starts_when_its_lease_has_expired);
    CPPUNIT_TEST(commands_that_were_not_sent_extend_no_lease);
    CPPUNIT_TEST(command_that_was_not_sent_leaves_the_lease_of_another_one);
    CPPUNIT_TEST(worker_reserved_for_a_suspect_that_is_gone_is_used_again);
    CPPUNIT_TEST(suspects_leave_most_workers_to_others);
    CPPUNIT_TEST(suspect_that_cannot_start_slowed_holds_up_no_task_of_its_step);
    CPPUNIT_TEST(silent_worker_that_responds_again_has_not_crashed);
    CPPUNIT_TEST(crash_found_after_the_lease_expired_is_recorded);
    CPPUNIT_TEST(recorded_crash_does_not_release_a_task_whose_success_is_being_recorded);
    CPPUNIT_TEST(new_leader_records_the_crash_under_a_recorded_start);
    CPPUNIT_TEST(leaving_worker_that_is_gone_has_not_crashed);
    CPPUNIT_TEST(lost_worker_gets_no_tasks);
    CPPUNIT_TEST(ends_of_the_next_life_are_read_from_the_first);
    CPPUNIT_TEST(confirmed_run_ends_with_its_life);
    CPPUNIT_TEST(unconfirmed_start_may_be_carried_out_by_the_next_life);
    CPPUNIT_TEST(start_without_a_reply_outlasts_the_lease_of_its_worker);
    CPPUNIT_TEST(runs_of_a_worker_of_unknown_life_continue_in_the_next_one);
    CPPUNIT_TEST(new_leader_reads_the_next_life_before_it_starts_inherited_tasks);
    CPPUNIT_TEST_SUITE_END();

    using items = std::vector<wire::record_crash::item>;
    static constexpr duration survival = std::chrono::milliseconds{1100};
    static constexpr duration moment = std::chrono::milliseconds{20};
    static constexpr duration longest_wait = std::chrono::milliseconds{2100};
    static constexpr duration crash_window = std::chrono::seconds{1};

    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};
    std::map<worker_id, wire::worker_record> workers_in_ledger_;

public:
    void setUp() override { state_.settings.lease = std::chrono::seconds{8}; }

private:
    void add_worker(const std::string& id, const std::string& label = "")
    {
        wire::worker_presence announcement;
        announcement.worker.id = worker_id{id};
        if (!label.empty())
            announcement.worker.labels = {label};
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {millicores{8000}, bytes{std::int64_t{64} << 30}, {}};
        workers_in_ledger_[announcement.worker.id] = announcement.worker;
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

    wire::job_record job(const std::string& id, std::uint32_t count, std::uint32_t crashes = 0)
    {
        wire::job_record record;
        record.id = submission_id{id};
        record.queue.service = service_id{"desk"};
        wire::job_step step;
        step.count = count;
        step.demand.processors = millicores{1000};
        step.estimate = std::chrono::seconds{1};
        record.spec.steps.push_back(step);
        record.tasks.resize(count);
        for (std::uint32_t index = 0; index < count && crashes > 0; ++index)
            record.crashes[index].count = crashes;
        return record;
    }

    /** Plans starts and confirms them. */
    std::vector<start_command> start()
    {
        auto commands = plan_starts(state_, now_, wall_);
        for (const auto& command : commands)
            on_start_result(state_, command, command_result::accepted, now_);
        return commands;
    }

    /** Returns the crashes to record after the worker has closed its connection and was replaced.
     */
    items crash(const std::string& id)
    {
        record_contact_loss(state_, worker_id{id}, now_, true);
        return on_worker_crash(state_, worker_id{id}, {}, now_);
    }

    void only_tasks_that_have_just_started_are_suspected()
    {
        add_worker("w1");
        auto survivor = job("survivor", 1, 1);
        add_job(state_, survivor, now_);
        start();
        now_ += survival;
        add_job(state_, job("recent", 1), now_);
        start();
        now_ += moment;
        const auto crashes = crash("w1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes.size());
        CPPUNIT_ASSERT(crashes[0].suspicion == wire::crash_suspicion::only_suspect);
        CPPUNIT_ASSERT(crashes[1].suspicion == wire::crash_suspicion::cleared);
    }

    void workers_lost_together_blame_no_task()
    {
        add_worker("w1");
        add_worker("w2");
        add_job(state_, job("j", 1), now_);
        const auto worker = start().front().worker.value();
        now_ += moment;
        record_contact_loss(state_, worker_id{worker == "w1" ? "w2" : "w1"}, now_, true);
        CPPUNIT_ASSERT(crash(worker).front().suspicion == wire::crash_suspicion::suspect);
    }

    void unconfirmed_run_is_not_blamed_alone()
    {
        add_worker("w1");
        add_job(state_, job("j", 1), now_);
        on_start_sent(state_, plan_starts(state_, now_, wall_).front(), now_);
        now_ += moment;
        CPPUNIT_ASSERT(crash("w1").front().suspicion == wire::crash_suspicion::suspect);
    }

    void start_that_was_not_sent_is_not_suspected()
    {
        add_worker("w1");
        add_worker("w2");
        add_job(state_, job("j", 1), now_);
        const auto command = plan_starts(state_, now_, wall_).front();
        now_ += moment;
        CPPUNIT_ASSERT(crash(command.worker.value()).empty());
        const auto next = start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT(!next.front().suspect);
    }

    void start_that_was_not_sent_is_not_suspected_after_a_silence()
    {
        add_worker("w1");
        add_job(state_, job("j", 1), now_);
        plan_starts(state_, now_, wall_);
        now_ += std::chrono::seconds{10};
        expire_leases(state_, now_);
        add_worker("w2");
        const auto next = start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT(!next.front().suspect);
    }

    /** Guards against a second run while the next life of a silent worker may begin the first. */
    void start_without_a_reply_outlasts_the_lease_of_its_worker()
    {
        state_.settings.lease_limit = std::chrono::seconds{10};
        state_.settings.start_delay_limit = std::chrono::seconds{12};
        add_worker(life(100));
        add_job(state_, job("confirmed", 1), now_);
        start();
        add_job(state_, job("unanswered", 1), now_);
        const auto unanswered = plan_starts(state_, now_, wall_).front();
        on_start_sent(state_, unanswered, now_);
        on_start_result(state_, unanswered, command_result::none, now_);
        record_contact_loss(state_, unanswered.worker, now_, false);
        now_ += std::chrono::seconds{11};
        const auto expired = expire_leases(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.front().ended);
        CPPUNIT_ASSERT(expired.front().in_doubt.at(0).first == unanswered.task);
        now_ += std::chrono::seconds{11};
        CPPUNIT_ASSERT(expire_leases(state_, now_).empty());
        add_worker("w2");
        CPPUNIT_ASSERT(start().at(0).task != unanswered.task);
        now_ += std::chrono::seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expire_leases(state_, now_).size());
        add_worker("w3");
        const auto next = start();
        CPPUNIT_ASSERT(next.at(0).task == unanswered.task);
        CPPUNIT_ASSERT(next.at(0).run > unanswered.run);
    }

    void start_that_was_not_sent_does_not_continue_in_the_next_life()
    {
        add_worker(life(100));
        add_job(state_, job("j", 1), now_);
        plan_starts(state_, now_, wall_);
        on_worker_crash(state_, worker_id{life(100)}, worker_id{life(200)}, now_);
        add_worker("w2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    }

    void task_waits_until_the_crash_is_recorded()
    {
        add_worker("w1");
        add_worker("w2");
        add_job(state_, job("j", 1), now_);
        const auto crashes = crash(start().front().worker.value());
        CPPUNIT_ASSERT(start().empty());
        on_crash_recorded(state_, crashes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    }

    void nothing_starts_beside_a_suspect()
    {
        add_worker("w1");
        add_job(state_, job("suspect", 1, 1), now_);
        CPPUNIT_ASSERT(start().front().suspect);
        add_job(state_, job("other", 1), now_);
        now_ += moment;
        CPPUNIT_ASSERT(start().empty());
        now_ += survival;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    }

    void suspect_waits_until_other_starts_have_survived()
    {
        add_worker("w1");
        add_job(state_, job("other", 1), now_);
        start();
        add_job(state_, job("suspect", 2, 1), now_);
        now_ += moment;
        CPPUNIT_ASSERT(start().empty());
        now_ += survival;
        // Tasks of one job are not told apart, so its suspects may share a worker.
        CPPUNIT_ASSERT(!start().empty());
    }

    /** Returns a job of tasks on different workers. */
    wire::job_record wide_job(const std::string& id, std::uint32_t count, std::uint32_t crashes)
    {
        auto record = job(id, count, crashes);
        record.spec.steps[0].max_per_worker = 1;
        record.spec.steps[0].demand.processors = millicores{100};
        return record;
    }

    void hear_from_workers()
    {
        for (const auto& [id, worker] : workers_in_ledger_) {
            if (state_.workers.at(id).lost)
                continue;
            record_reply(state_, id, now_);
            extend_lease(state_, id, now_);
        }
        expire_leases(state_, now_);
    }

    /** Starts other tasks on all workers every 250 ms until the job has started, or for 10 s. */
    duration wait_beside_other_starts(const submission_id& suspect)
    {
        constexpr duration step = std::chrono::milliseconds{50};
        constexpr duration limit = std::chrono::seconds{10};
        std::map<worker_id, time_point> others_at;
        const auto began = now_;
        for (int round = 0; now_ - began < limit; ++round, now_ += step) {
            if (round % 5 == 0)
                add_job(state_, wide_job("other-" + std::to_string(round), 8, 0), now_);
            hear_from_workers();
            bool started = false;
            for (const auto& command : start()) {
                const bool is_other = command.task.job != suspect;
                started = started || !is_other;
                if (is_other)
                    others_at[command.worker] = now_;
                else
                    CPPUNIT_ASSERT(now_ - others_at[command.worker] >= crash_window);
            }
            if (started)
                return now_ - began;
        }
        return limit;
    }

    void suspect_starts_soon_while_all_workers_get_other_starts()
    {
        for (int number = 0; number < 8; ++number)
            add_worker("w" + std::to_string(number));
        add_job(state_, wide_job("earlier", 8, 0), now_);
        start();
        auto suspect = job("suspect", 1, 1);
        suspect.spec.steps[0].long_running = true;
        add_job(state_, suspect, now_);
        CPPUNIT_ASSERT(wait_beside_other_starts(submission_id{"suspect"}) < longest_wait);
    }

    void suspected_gang_starts_soon_while_all_workers_get_other_starts()
    {
        for (int number = 0; number < 8; ++number)
            add_worker("w" + std::to_string(number));
        add_job(state_, wide_job("earlier", 8, 0), now_);
        start();
        auto suspect = wide_job("suspect", 2, 1);
        suspect.spec.steps[0].gang = true;
        add_job(state_, suspect, now_);
        CPPUNIT_ASSERT(wait_beside_other_starts(submission_id{"suspect"}) < longest_wait);
    }

    void suspect_of_a_silent_worker_starts_when_its_lease_has_expired()
    {
        constexpr duration certain_lease = std::chrono::milliseconds{8570};
        for (int number = 0; number < 8; ++number)
            add_worker("w" + std::to_string(number));
        auto lasting = job("lasting", 1);
        lasting.spec.steps[0].long_running = true;
        add_job(state_, lasting, now_);
        const auto command = start().front();
        now_ += moment;
        record_contact_loss(state_, command.worker, now_, true);
        const auto waited = wait_beside_other_starts(submission_id{"lasting"});
        CPPUNIT_ASSERT(waited < certain_lease + std::chrono::milliseconds{100});
    }

    void commands_that_were_not_sent_extend_no_lease()
    {
        add_worker("w1");
        add_job(state_, job("j", 1), now_);
        start();
        const worker_id worker{"w1"};
        const auto granted = state_.workers.at(worker).lease_expires_at;
        now_ += std::chrono::seconds{1};
        extend_lease(state_, worker, now_);
        withdraw_lease(state_, worker, now_, granted);
        extend_lease(state_, worker, now_ + moment);
        withdraw_lease(state_, worker, now_, granted);
        CPPUNIT_ASSERT(state_.workers.at(worker).lease_expires_at > granted);
        withdraw_lease(state_, worker, now_ + moment, granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expire_leases(state_, granted + moment).at(0).ended);
    }

    /** Guards against taking back the lease of a command that was sent at the same moment. */
    void command_that_was_not_sent_leaves_the_lease_of_another_one()
    {
        add_worker("w1");
        const worker_id worker{"w1"};
        const auto granted = state_.workers.at(worker).lease_expires_at;
        now_ += std::chrono::seconds{1};
        extend_lease(state_, worker, now_);
        extend_lease(state_, worker, now_);
        const auto extended = state_.workers.at(worker).lease_expires_at;
        withdraw_lease(state_, worker, now_, granted);
        CPPUNIT_ASSERT(state_.workers.at(worker).lease_expires_at == extended);
    }

    void worker_reserved_for_a_suspect_that_is_gone_is_used_again()
    {
        add_worker("w1");
        add_job(state_, job("first", 1), now_);
        start();
        auto suspect = job("suspect", 1, 1);
        add_job(state_, suspect, now_);
        now_ += moment;
        CPPUNIT_ASSERT(start().empty());
        suspect.phase = wire::job_phase::cancelled;
        on_job_record(state_, suspect, now_);
        add_job(state_, job("next", 1), now_);
        CPPUNIT_ASSERT(start().empty());
        now_ += longest_wait;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    }

    void suspects_leave_most_workers_to_others()
    {
        for (int number = 0; number < 8; ++number)
            add_worker("w" + std::to_string(number));
        for (int number = 0; number < 8; ++number)
            add_job(state_, job("suspect-" + std::to_string(number), 1, 1), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, start().size());
    }

    /** Otherwise they wait for the next pass although a worker has room. */
    void suspect_that_cannot_start_slowed_holds_up_no_task_of_its_step()
    {
        constexpr duration wait_for_full_speed = std::chrono::milliseconds{1500};
        add_worker("w1");
        add_worker("w2");
        auto mixed = job("mixed", 2);
        mixed.spec.steps[0].best_effort = true;
        mixed.spec.steps[0].required_label = "a";
        mixed.crashes[0].count = 1;
        add_job(state_, mixed, now_);
        CPPUNIT_ASSERT(start().empty());
        now_ += wait_for_full_speed;
        // The suspect gets one of the workers only later, the other task gets the other one now.
        add_job(state_, wide_job("other", 2, 0), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, start().size());
        add_worker("w1", "a");
        add_worker("w2", "a");
        now_ += moment;
        const auto commands = start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT(!commands.front().suspect);
    }

    /** Starts a task on the only worker, which is then silent until its lease has expired. */
    start_command start_and_lose_contact()
    {
        add_worker("w1");
        add_job(state_, job("j", 1), now_);
        auto command = start().front();
        now_ += moment;
        record_contact_loss(state_, worker_id{"w1"}, now_, true);
        now_ += std::chrono::seconds{10};
        expire_leases(state_, now_);
        return command;
    }

    void silent_worker_that_responds_again_has_not_crashed()
    {
        const auto command = start_and_lose_contact();
        worker_report reported;
        reported.ended.push_back({1, command.task, command.run, run_outcome::expired, ""});
        report("w1", reported);
        CPPUNIT_ASSERT(on_worker_crash(state_, worker_id{"w1"}, {}, now_).empty());
    }

    void crash_found_after_the_lease_expired_is_recorded()
    {
        const auto command = start_and_lose_contact();
        // The task runs elsewhere meanwhile, as a suspect.
        add_worker("w2");
        CPPUNIT_ASSERT(start().front().suspect);
        const auto crashes = on_worker_crash(state_, worker_id{"w1"}, {}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
        CPPUNIT_ASSERT_EQUAL(command.run, crashes.front().run);
        CPPUNIT_ASSERT(crashes.front().suspicion != wire::crash_suspicion::cleared);
    }

    void recorded_crash_does_not_release_a_task_whose_success_is_being_recorded()
    {
        start_and_lose_contact();
        add_worker("w2");
        const auto command = start().front();
        const auto crashes = on_worker_crash(state_, worker_id{"w1"}, {}, now_);
        worker_report reported;
        reported.ended.push_back({1, command.task, command.run, run_outcome::succeeded, ""});
        report("w2", reported);
        on_crash_recorded(state_, crashes);
        now_ += survival;
        CPPUNIT_ASSERT(start().empty());
    }

    void new_leader_records_the_crash_under_a_recorded_start()
    {
        add_worker("w1");
        auto record = job("j", 1, 1);
        record.crashes[0].last_run = 6;
        record.crashes[0].started_run = 7;
        record.crashes[0].started_on = worker_id{"w1"};
        state_ = take_over({{record.id, record}}, workers_in_ledger_, state_.settings, now_, wall_);
        const auto crashes = on_worker_crash(state_, worker_id{"w1"}, {}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
        CPPUNIT_ASSERT_EQUAL(7U, crashes.front().run);
        on_crash_recorded(state_, crashes);
        add_worker("w2");
        // Run numbers never repeat.
        CPPUNIT_ASSERT(start().front().run > 7);
    }

    void leaving_worker_that_is_gone_has_not_crashed()
    {
        add_worker("w1");
        add_job(state_, job("j", 1), now_);
        start();
        wire::worker_presence leaving;
        leaving.worker = workers_in_ledger_.at(worker_id{"w1"});
        leaving.leaving = true;
        on_worker_announcement(state_, leaving);
        CPPUNIT_ASSERT(crash("w1").empty());
    }

    void lost_worker_gets_no_tasks()
    {
        add_worker("w1");
        record_contact_loss(state_, worker_id{"w1"}, now_, false);
        add_job(state_, job("j", 1), now_);
        CPPUNIT_ASSERT(start().empty());
        report("w1", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    }

    static std::string life(std::uint64_t number)
    {
        return make_worker_id("w1", incarnation{number}).value();
    }

    /** Starts a task in life 100 of the only worker, ends that life, and returns the start. */
    start_command start_before_the_next_life(bool confirmed, bool listed)
    {
        add_worker(life(100));
        add_job(state_, job("j", 1), now_);
        auto command = plan_starts(state_, now_, wall_).front();
        on_start_sent(state_, command, now_);
        if (confirmed)
            on_start_result(state_, command, command_result::accepted, now_);
        if (listed)
            report(life(100), {{{command.task, command.run, "", 10, 0}}, {}});
        now_ += moment;
        add_worker(life(200));
        const auto earlier = earlier_lives(state_, worker_id{life(200)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, earlier.size());
        on_crash_recorded(state_,
                          on_worker_crash(state_, earlier.front(), worker_id{life(200)}, now_));
        now_ += moment;
        return command;
    }

    void ends_of_the_next_life_are_read_from_the_first()
    {
        add_worker(life(100));
        worker_report old;
        old.ended.push_back({37, {submission_id{"ended"}}, 1, run_outcome::succeeded, ""});
        report(life(100), old);
        start_before_the_next_life(true, true);
        const auto command = start().front();
        worker_report reported;
        reported.ended.push_back({1, command.task, command.run, run_outcome::succeeded, ""});
        const auto to_record =
            on_worker_report(state_, command.worker, reported, now_ + moment, now_ + moment);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to_record.size());
    }

    void confirmed_run_ends_with_its_life()
    {
        const auto before = start_before_the_next_life(true, true);
        now_ += survival;
        CPPUNIT_ASSERT(start().front().run > before.run);
    }

    void unconfirmed_start_may_be_carried_out_by_the_next_life()
    {
        const auto before = start_before_the_next_life(false, false);
        CPPUNIT_ASSERT(start().empty());
        report(life(200), {});
        const auto stops = plan_stops(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT_EQUAL(before.run, stops.front().run);
        CPPUNIT_ASSERT_EQUAL(life(200), stops.front().worker.value());
    }

    void runs_of_a_worker_of_unknown_life_continue_in_the_next_one()
    {
        add_worker("w1");
        add_job(state_, job("j", 1), now_);
        const auto command = start().front();
        add_worker(life(200));
        CPPUNIT_ASSERT(
            on_worker_crash(state_, worker_id{"w1"}, worker_id{life(200)}, now_).empty());
        now_ += moment;
        report(life(200), {{{command.task, command.run, "", 10, 0}}, {}});
        CPPUNIT_ASSERT(start().empty());
        CPPUNIT_ASSERT(plan_stops(state_, now_).empty());
    }

    void new_leader_reads_the_next_life_before_it_starts_inherited_tasks()
    {
        add_worker(life(100));
        const auto record = job("j", 1);
        state_ = take_over({{record.id, record}}, workers_in_ledger_, state_.settings, now_, wall_);
        on_worker_crash(state_, worker_id{life(100)}, worker_id{life(200)}, now_);
        add_job(state_, record, now_);
        CPPUNIT_ASSERT(state_.unread_workers.contains(worker_id{life(200)}));
        add_worker(life(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_crashes_test);

} // namespace galenaturn::schedule
