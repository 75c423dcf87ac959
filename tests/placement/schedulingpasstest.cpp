#include "placementsimulation.h"

#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenaturn::schedule {

/** Tests scheduling passes on a full fleet of workers with many waiting tasks. */
class scheduling_pass_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(scheduling_pass_test);
    CPPUNIT_TEST(pass_without_changes_examines_no_worker);
    CPPUNIT_TEST(pass_examines_only_changed_workers);
    CPPUNIT_TEST(pass_examines_a_worker_once_for_each_kind_of_task);
    CPPUNIT_TEST(waiting_task_starts_in_the_next_pass_after_capacity_is_freed);
    CPPUNIT_TEST(waiting_task_starts_once_the_pause_of_its_worker_is_over);
    CPPUNIT_TEST(spread_task_starts_once_its_sibling_has_ended);
    CPPUNIT_TEST(leaving_worker_is_drained_to_a_worker_with_freed_capacity);
    CPPUNIT_TEST(incomplete_gang_hides_no_capacity_from_later_jobs);
    CPPUNIT_TEST(remembered_failures_hide_no_capacity);
    CPPUNIT_TEST(search_by_bounds_decides_as_a_search_of_all_workers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 450;
    static constexpr std::int64_t cores = 64;
    static constexpr std::int64_t serving_cores = 16;

    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};
    std::uint64_t last_completion_{0};
    std::size_t last_job_{0};

public:
    void setUp() override { state_.settings.lease = std::chrono::seconds{8}; }

private:
    static worker_id name(std::size_t number) { return worker_id{"w" + std::to_string(number)}; }

    void add_worker(std::size_t number, std::int64_t processors)
    {
        wire::worker_presence announcement;
        announcement.worker.id = name(number);
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {
            millicores{processors * 1000}, bytes{std::int64_t{256} << 30}, {}};
        on_worker_announcement(state_, announcement);
        admit_worker(state_, name(number));
        report(number, {});
    }

    void report(std::size_t number, const worker_report& reported)
    {
        record_reply(state_, name(number), now_);
        on_completions_recorded(state_,
                                on_worker_report(state_, name(number), reported, now_, now_));
    }

    static wire::job_step step(std::uint32_t count, std::int64_t millis)
    {
        wire::job_step new_step;
        new_step.count = count;
        new_step.demand.processors = millicores{millis};
        new_step.estimate = std::chrono::seconds{1};
        return new_step;
    }

    static wire::job_step serving_step(std::uint32_t count)
    {
        auto new_step = step(count, serving_cores * 1000);
        new_step.long_running = true;
        new_step.image = "counter";
        new_step.tail_target = std::chrono::milliseconds{20};
        return new_step;
    }

    void add(std::vector<wire::job_step> steps)
    {
        wire::job_record record;
        record.id = submission_id{"job-" + std::to_string(last_job_++)};
        record.queue.service = service_id{"desk"};
        record.queue.latency = std::chrono::seconds{1};
        record.spec.steps = std::move(steps);
        record.tasks.resize(wire::tasks_of_occurrence(record.spec));
        add_job(state_, record, now_);
    }

    std::vector<start_command> pass()
    {
        now_ += std::chrono::milliseconds{10};
        auto commands = plan_starts(state_, now_, wall_);
        for (const auto& command : commands)
            on_start_result(state_, command, command_result::accepted, now_);
        return commands;
    }

    /** Returns how many workers a pass examines. */
    std::uint64_t examined_in_pass()
    {
        const auto before = state_.counts.candidates;
        pass();
        return state_.counts.candidates - before;
    }

    /** Fills all workers with long-running tasks and returns their starts. */
    std::vector<start_command> fill_workers()
    {
        for (std::size_t number = 0; number < workers; ++number)
            add_worker(number, cores);
        add({serving_step(workers * cores / serving_cores)});
        auto commands = pass();
        CPPUNIT_ASSERT_EQUAL(workers * cores / serving_cores, commands.size());
        return commands;
    }

    /** Adds 10,000 tasks that find no capacity, of all kinds that the scheduler tells apart. */
    void add_waiting_jobs()
    {
        for (int number = 0; number < 1000; ++number) {
            auto waiting = step(10, 5000 + number % 7 * 1000);
            if (number % 4 == 1)
                waiting.max_per_worker = 1;
            if (number % 4 == 2) {
                waiting.best_effort = true;
                waiting.image = "image-" + std::to_string(number % 18);
                waiting.demand.memory = bytes{std::int64_t{300} << 30};
            }
            if (number % 4 == 3)
                waiting.required_label = "missing";
            add({waiting});
        }
        // Some have waited so long that they may oversubscribe workers.
        now_ += std::chrono::seconds{7};
        for (std::size_t number = 0; number < workers; ++number)
            record_reply(state_, name(number), now_);
        pass();
    }

    worker_report report_of(const start_command& ended_run,
                            const std::vector<start_command>& commands)
    {
        worker_report reported;
        for (const auto& command : commands) {
            if (command.worker == ended_run.worker && command.task != ended_run.task)
                reported.running.push_back({command.task, command.run, "", 50, 10});
        }
        reported.ended.push_back(
            {++last_completion_, ended_run.task, ended_run.run, run_outcome::stopped, ""});
        return reported;
    }

    static std::size_t number_of(const worker_id& worker)
    {
        return std::stoul(worker.value().substr(1));
    }

    /**
     * Guards against passes whose cost grows with waiting jobs times workers: they took two thirds
     * of the leader's time, and accepted jobs and ended steps waited up to a second behind them.
     */
    void pass_without_changes_examines_no_worker()
    {
        fill_workers();
        add_waiting_jobs();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, examined_in_pass());
    }

    void pass_examines_only_changed_workers()
    {
        const auto serving = fill_workers();
        add_waiting_jobs();
        const auto jobs = state_.jobs.size();
        const auto& changed = serving.front();
        report(number_of(changed.worker), report_of(changed, serving));
        const auto starts_before = state_.counts.planned;
        const auto examined = examined_in_pass();
        const auto starts = state_.counts.planned - starts_before;
        CPPUNIT_ASSERT(starts > 0);
        // Each waiting job may try the changed worker once, after its last start there.
        CPPUNIT_ASSERT(examined <= jobs + starts);
    }

    /**
     * Guards against passes that compare each waiting job with each worker whose report was read
     * since the last pass, although the report has freed nothing: with 700 jobs and 490 workers
     * passes of half a second followed each other.
     */
    void pass_examines_a_worker_once_for_each_kind_of_task()
    {
        constexpr std::size_t images = 18;
        const auto serving = fill_workers();
        for (std::size_t number = 0; number < 700; ++number) {
            auto waiting = step(20, 5000 + static_cast<std::int64_t>(number * 31 % 700) * 10);
            waiting.demand.memory =
                bytes{(std::int64_t{257} << 30) + static_cast<std::int64_t>(number * 17 % 700)};
            waiting.best_effort = true;
            waiting.image = "image-" + std::to_string(number % images);
            add({waiting});
        }
        pass();
        for (std::size_t number = 0; number < workers; ++number) {
            worker_report unchanged;
            for (const auto& command : serving) {
                if (command.worker == name(number))
                    unchanged.running.push_back({command.task, command.run, "", 50, 10});
            }
            report(number, unchanged);
        }
        CPPUNIT_ASSERT(examined_in_pass() <= workers * images);
    }

    void waiting_task_starts_in_the_next_pass_after_capacity_is_freed()
    {
        const auto serving = fill_workers();
        add({step(1, 12'000)});
        CPPUNIT_ASSERT(pass().empty());
        const auto& changed = serving.back();
        report(number_of(changed.worker), report_of(changed, serving));
        // The freed capacity is for the finite task; the long-running one has just ended.
        const auto commands = pass();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT_EQUAL(changed.worker, commands.front().worker);
    }

    void waiting_task_starts_once_the_pause_of_its_worker_is_over()
    {
        add_worker(0, cores);
        add({step(1, 1000)});
        const auto commands = plan_starts(state_, now_, wall_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        on_start_result(state_, commands.front(), command_result::no_capacity, now_);
        CPPUNIT_ASSERT(pass().empty());
        now_ += std::chrono::milliseconds{300};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pass().size());
    }

    void spread_task_starts_once_its_sibling_has_ended()
    {
        add_worker(0, cores);
        auto spread = step(2, 1000);
        spread.max_per_worker = 1;
        add({spread});
        const auto commands = pass();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT(pass().empty());
        auto reported = report_of(commands.front(), commands);
        reported.ended.front().outcome = run_outcome::succeeded;
        report(0, reported);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pass().size());
    }

    void leaving_worker_is_drained_to_a_worker_with_freed_capacity()
    {
        add_worker(0, serving_cores);
        add({serving_step(1)});
        const auto moving = pass();
        add_worker(1, serving_cores);
        add({serving_step(1)});
        const auto blocking = pass();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, blocking.size());
        wire::worker_presence leaving;
        leaving.worker = state_.workers.at(name(0)).record;
        leaving.leaving = true;
        on_worker_announcement(state_, leaving);
        drain_leaving_workers(state_, now_);
        CPPUNIT_ASSERT(plan_stops(state_, now_).empty());
        wire::job_record ended;
        ended.id = blocking.front().task.job;
        ended.phase = wire::job_phase::cancelled;
        on_job_record(state_, ended, now_);
        const auto stops = plan_stops(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        on_stop_result(state_, stops.front(), command_result::accepted, now_);
        now_ += std::chrono::milliseconds{10};
        report(1, report_of(blocking.front(), blocking));
        drain_leaving_workers(state_, now_);
        const auto drained = plan_stops(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, drained.size());
        CPPUNIT_ASSERT_EQUAL(moving.front().task, drained.front().task);
    }

    void incomplete_gang_hides_no_capacity_from_later_jobs()
    {
        add_worker(0, 2);
        auto gang = step(3, 1000);
        gang.gang = true;
        add({gang});
        add({step(8, 1000)});
        // The larger job comes after the gang, whose third member finds no capacity.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pass().size());
    }

    void remembered_failures_hide_no_capacity()
    {
        placement_counts sum;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const auto counts = run_placement_simulation(seed, 600);
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.missed_starts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, counts.oversized_starts);
            sum.starts += counts.starts;
            sum.remembered += counts.remembered;
            sum.refusals += counts.refusals;
            sum.unanswered += counts.unanswered;
            sum.departures += counts.departures;
            sum.silences += counts.silences;
            sum.cancellations += counts.cancellations;
        }
        // The runs must have exercised the faults.
        CPPUNIT_ASSERT(sum.starts > 10'000);
        CPPUNIT_ASSERT(sum.remembered > 10'000);
        CPPUNIT_ASSERT(sum.refusals > 100);
        CPPUNIT_ASSERT(sum.unanswered > 100);
        CPPUNIT_ASSERT(sum.departures > 20);
        CPPUNIT_ASSERT(sum.silences > 100);
        CPPUNIT_ASSERT(sum.cancellations > 100);
    }

    /** Guards against bounds that hide a worker, or that are outdated within a pass. */
    void search_by_bounds_decides_as_a_search_of_all_workers()
    {
        placement_counts sum;
        std::uint64_t examined_by_all = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            placement_decisions by_bounds;
            placement_decisions by_all;
            const auto counts = run_tail_simulation(seed, 600, false, by_bounds);
            examined_by_all += run_tail_simulation(seed, 600, true, by_all).examined;
            const auto message = "seed " + std::to_string(seed);
            for (std::size_t start = 0; start < std::min(by_bounds.size(), by_all.size()); ++start)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, by_all[start], by_bounds[start]);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, by_all.size(), by_bounds.size());
            sum.starts += counts.starts;
            sum.trials += counts.trials;
            sum.slowed_starts += counts.slowed_starts;
            sum.examined += counts.examined;
        }
        // The runs must have exercised what bounds the room, and have skipped workers.
        CPPUNIT_ASSERT(sum.starts > 10'000);
        CPPUNIT_ASSERT(sum.trials > 100);
        CPPUNIT_ASSERT(sum.slowed_starts > 100);
        CPPUNIT_ASSERT(sum.examined < examined_by_all);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduling_pass_test);

} // namespace galenaturn::schedule
