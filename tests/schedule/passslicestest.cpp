#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

namespace galenaturn::schedule {

/** Tests scheduling passes that are made in slices. */
class pass_slices_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pass_slices_test);
    CPPUNIT_TEST(slices_start_the_same_as_a_whole_pass);
    CPPUNIT_TEST(slice_examines_a_limited_number_of_workers);
    CPPUNIT_TEST(jobs_and_workers_may_vanish_between_slices);
    CPPUNIT_TEST(urgent_job_is_placed_in_the_next_slice);
    CPPUNIT_TEST(urgent_job_does_not_wait_for_the_next_pass);
    CPPUNIT_TEST(less_urgent_job_gets_its_turn_in_the_same_pass);
    CPPUNIT_TEST(capacity_freed_during_a_pass_is_for_the_most_urgent);
    CPPUNIT_TEST(urgent_failures_are_remembered_during_a_pass);
    CPPUNIT_TEST(pass_goes_on_beside_urgent_jobs);
    CPPUNIT_TEST(pass_goes_on_beside_as_many_urgent_starts_as_a_slice_may_have);
    CPPUNIT_TEST(urgent_jobs_beyond_the_limit_of_a_slice_stay_urgent);
    CPPUNIT_TEST(rest_of_an_urgent_job_stays_urgent);
    CPPUNIT_TEST(job_that_was_urgent_when_the_pass_began_stays_urgent);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 30;
    static constexpr std::uint64_t whole = std::numeric_limits<std::uint64_t>::max();

    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};

    static worker_id name(std::size_t number) { return worker_id{"w" + std::to_string(number)}; }

    void add_worker(job_scheduler& state, std::size_t number, std::int64_t cores) const
    {
        wire::worker_presence announcement;
        announcement.worker.id = name(number);
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {
            millicores{cores * 1000}, bytes{std::int64_t{256} << 30}, {}};
        on_worker_announcement(state, announcement);
        admit_worker(state, name(number));
        record_reply(state, name(number), now_);
        on_worker_report(state, name(number), {}, now_, now_);
    }

    static wire::job_record record_of(const std::string& id, std::uint32_t priority,
                                      std::uint32_t count, std::int64_t millis)
    {
        wire::job_record record;
        record.id = submission_id{id};
        record.queue.name = "queue-" + std::to_string(priority);
        record.queue.priority = priority;
        record.queue.service = service_id{"desk"};
        record.queue.latency = std::chrono::seconds{1};
        wire::job_step step;
        step.count = count;
        step.demand.processors = millicores{millis};
        step.estimate = std::chrono::seconds{1};
        record.spec.steps = {step};
        record.tasks.resize(wire::tasks_of_occurrence(record.spec));
        return record;
    }

    void add(const std::string& id, std::uint32_t priority, std::uint32_t count,
             std::int64_t millis = 1000)
    {
        add_job(state_, record_of(id, priority, count, millis), now_);
    }

    /** A fleet and jobs of three priorities, of which the capacity is not enough. */
    void fill(job_scheduler& state) const
    {
        state.settings.lease = std::chrono::seconds{8};
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state, number, 8 + static_cast<std::int64_t>(number % 3));
        for (std::uint32_t number = 0; number < 60; ++number) {
            auto record = record_of("job-" + std::to_string(number), number % 3, 1 + number % 9,
                                    1000 + number % 4 * 500);
            record.spec.steps.front().best_effort = number % 5 == 4;
            record.spec.steps.front().gang = number % 7 == 6;
            add_job(state, record, now_);
        }
    }

    using start = std::tuple<wire::task_ref, std::uint32_t, worker_id>;

    static void append(std::vector<start>& starts, const std::vector<start_command>& commands)
    {
        for (const auto& command : commands)
            starts.emplace_back(command.task, command.run, command.worker);
    }

    std::vector<start_command> slice(std::uint64_t max_examined)
    {
        return continue_pass(state_, now_, wall_, {max_examined, whole});
    }

    std::size_t started(const std::vector<start_command>& commands, const std::string& id) const
    {
        return static_cast<std::size_t>(
            std::count_if(commands.begin(), commands.end(), [&](const auto& command) {
                return command.task.job == submission_id{id};
            }));
    }

public:
    void setUp() override { state_.settings.lease = std::chrono::seconds{8}; }

    void slices_start_the_same_as_a_whole_pass()
    {
        job_scheduler at_once;
        fill(at_once);
        std::vector<start> expected;
        append(expected, plan_starts(at_once, now_, wall_));
        fill(state_);
        begin_pass(state_, now_);
        std::vector<start> starts;
        std::size_t slices = 0;
        for (; state_.pass.active; ++slices)
            append(starts, slice(10));
        CPPUNIT_ASSERT(slices > 20);
        CPPUNIT_ASSERT(expected.size() > 100);
        CPPUNIT_ASSERT(expected == starts);
    }

    void slice_examines_a_limited_number_of_workers()
    {
        constexpr std::uint64_t limit = 50;
        fill(state_);
        begin_pass(state_, now_);
        while (state_.pass.active) {
            const auto before = state_.counts.candidates;
            slice(limit);
            // The last task, or gang of up to nine tasks, may exceed the limit.
            CPPUNIT_ASSERT(state_.counts.candidates - before <= limit + 9 * workers);
        }
    }

    void jobs_and_workers_may_vanish_between_slices()
    {
        fill(state_);
        begin_pass(state_, now_);
        std::vector<start_command> starts;
        for (std::uint32_t number = 0; state_.pass.active; ++number) {
            if (number < workers / 2)
                remove_worker(state_, name(number));
            auto record = record_of("job-" + std::to_string(59 - number % 60), 0, 1, 1000);
            record.phase = wire::job_phase::cancelled;
            on_job_record(state_, record, now_);
            for (const auto& command : slice(10)) {
                CPPUNIT_ASSERT(state_.workers.contains(command.worker));
                CPPUNIT_ASSERT(!state_.jobs.at(command.task.job).ending);
                starts.push_back(command);
            }
        }
        CPPUNIT_ASSERT(!starts.empty());
    }

    void urgent_job_is_placed_in_the_next_slice()
    {
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state_, number, 8);
        for (int number = 0; number < 20; ++number)
            add("usual-" + std::to_string(number), 1, 3);
        begin_pass(state_, now_);
        slice(10);
        CPPUNIT_ASSERT(state_.pass.active);
        add("urgent", 0, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started(slice(70), "urgent"));
        std::size_t rest = 0;
        while (state_.pass.active)
            rest += slice(10).size();
        CPPUNIT_ASSERT(rest > 50);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state_.counts.passes);
    }

    void urgent_job_does_not_wait_for_the_next_pass()
    {
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state_, number, 8);
        add("earlier", 0, 1);
        plan_starts(state_, now_, wall_);
        add("usual", 1, 1);
        CPPUNIT_ASSERT(!has_urgent_changes(state_));
        CPPUNIT_ASSERT(slice(whole).empty());
        add("urgent", 0, 1);
        CPPUNIT_ASSERT(has_urgent_changes(state_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(slice(whole), "urgent"));
        CPPUNIT_ASSERT(!has_urgent_changes(state_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(plan_starts(state_, now_, wall_), "usual"));
    }

    void less_urgent_job_gets_its_turn_in_the_same_pass()
    {
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state_, number, 8);
        for (int number = 0; number < 20; ++number)
            add("usual-" + std::to_string(number), 1, 3);
        begin_pass(state_, now_);
        slice(10);
        add("later", 2, 1);
        std::vector<start_command> starts;
        while (state_.pass.active) {
            for (auto& command : slice(10))
                starts.push_back(std::move(command));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started(starts, "later"));
        CPPUNIT_ASSERT(starts.back().task.job == submission_id{"later"});
    }

    /** Otherwise the less urgent jobs, which come last, would get all that becomes free. */
    void capacity_freed_during_a_pass_is_for_the_most_urgent()
    {
        add_worker(state_, 0, 8);
        add("first", 0, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, plan_starts(state_, now_, wall_).size());
        add("waiting", 0, 1);
        for (int number = 0; number < 20; ++number)
            add("usual-" + std::to_string(number), 1, 3, 500);
        begin_pass(state_, now_);
        slice(1);
        CPPUNIT_ASSERT(state_.pass.active);
        const auto& worker = state_.workers.at(name(0));
        const auto [task, run] = *worker.runs.begin();
        start_command refused{task, run, name(0), "", "", false, now_};
        on_start_sent(state_, refused, now_);
        on_start_result(state_, refused, command_result::refused, now_);
        while (state_.pass.active)
            CPPUNIT_ASSERT(slice(1).empty());
    }

    /** The failures of less urgent jobs, which are older, took the place of newer ones. */
    void urgent_failures_are_remembered_during_a_pass()
    {
        add_worker(state_, 0, 8);
        add("first", 0, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, plan_starts(state_, now_, wall_).size());
        for (int number = 0; number < 20; ++number)
            add("usual-" + std::to_string(number), 1, 3);
        begin_pass(state_, now_);
        slice(1);
        const auto [task, run] = *state_.workers.at(name(0)).runs.begin();
        start_command refused{task, run, name(0), "", "", false, now_};
        on_start_sent(state_, refused, now_);
        on_start_result(state_, refused, command_result::no_capacity, now_);
        now_ += std::chrono::seconds{1};
        add("urgent-a", 0, 1, 3000);
        slice(1);
        slice(1);
        CPPUNIT_ASSERT(state_.pass.active);
        const auto before = state_.counts.candidates;
        add("urgent-b", 0, 1, 3000);
        slice(1);
        CPPUNIT_ASSERT_EQUAL(before, state_.counts.candidates);
    }

    void pass_goes_on_beside_urgent_jobs()
    {
        add_worker(state_, 0, 8);
        for (int number = 0; number < 20; ++number)
            add("usual-" + std::to_string(number), 1, 3);
        begin_pass(state_, now_);
        for (int number = 0; number < 100 && state_.pass.active; ++number) {
            add("urgent-" + std::to_string(number), 0, 9, 20'000);
            slice(1);
        }
        CPPUNIT_ASSERT(!state_.pass.active);
    }

    /** Otherwise urgent starts use up each slice before the pass proceeds. */
    void pass_goes_on_beside_as_many_urgent_starts_as_a_slice_may_have()
    {
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state_, number, 8);
        add("usual", 1, 100);
        begin_pass(state_, now_);
        std::size_t usual = 0;
        for (int number = 0; number < 10; ++number) {
            add("urgent-" + std::to_string(number), 0, 4);
            usual += started(continue_pass(state_, now_, wall_, {whole, 4}), "usual");
        }
        CPPUNIT_ASSERT(usual > 0);
    }

    /** Otherwise they get their turn behind the less urgent job that the pass has reached. */
    void urgent_jobs_beyond_the_limit_of_a_slice_stay_urgent()
    {
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state_, number, 8);
        add("usual", 1, 100);
        begin_pass(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             started(continue_pass(state_, now_, wall_, {whole, 4}), "usual"));
        for (int number = 0; number < 6; ++number)
            add("urgent-" + std::to_string(number), 0, 1);
        std::size_t first = 0;
        for (const auto& command : continue_pass(state_, now_, wall_, {whole, 4}))
            first += command.task.job == submission_id{"usual"} ? 0 : 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first);
        const bool urgent = has_urgent_changes(state_);
        std::size_t next = 0;
        for (const auto& command : continue_pass(state_, now_, wall_, {whole, 4}))
            next += command.task.job == submission_id{"usual"} ? 0 : 1;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("urgent starts in the next slice", std::size_t{2}, next);
        CPPUNIT_ASSERT(urgent);
    }

    /** Otherwise the tasks that exceed the limit of a slice wait for the next pass. */
    void rest_of_an_urgent_job_stays_urgent()
    {
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state_, number, 8);
        add("earlier", 0, 1);
        plan_starts(state_, now_, wall_);
        add("urgent", 0, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             started(continue_pass(state_, now_, wall_, {whole, 4}), "urgent"));
        CPPUNIT_ASSERT(has_urgent_changes(state_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             started(continue_pass(state_, now_, wall_, {whole, 4}), "urgent"));
    }

    /** Otherwise it waits for the long pause after the beginning of a pass. */
    void job_that_was_urgent_when_the_pass_began_stays_urgent()
    {
        constexpr duration elapsed = std::chrono::milliseconds{20};
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(state_, number, 8);
        add("earlier", 0, 1);
        plan_starts(state_, now_, wall_);
        pass_timing timing;
        timing.next_pass = now_;
        timing.wanted = true;
        add("urgent", 0, 1);
        CPPUNIT_ASSERT(has_urgent_changes(state_));
        const auto begun = run_slice(state_, timing, now_, wall_);
        record_slice_time(timing, now_, now_ + elapsed);
        if (started(begun.starts, "urgent") > 0)
            return;
        const auto due = next_slice_at(state_, timing);
        CPPUNIT_ASSERT(due.has_value());
        CPPUNIT_ASSERT_MESSAGE(std::to_string((*due - now_).count()), *due <= now_ + 2 * elapsed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pass_slices_test);

} // namespace galenaturn::schedule
