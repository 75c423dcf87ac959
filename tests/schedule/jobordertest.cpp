#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace galenaturn::schedule {

/** Tests which jobs of a queue complete in time while more arrives than the workers can do. */
class job_order_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_order_test);
    CPPUNIT_TEST(largest_jobs_of_an_overloaded_queue_are_served);
    CPPUNIT_TEST(largest_jobs_with_long_objectives_are_served_soon_after_an_overload_begins);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration second = std::chrono::seconds{1};
    static constexpr duration tick = std::chrono::milliseconds{50};

    struct submitted_job {
        std::uint32_t tasks{0};
        duration task_length{};
        time_point useful_until;
        bool useful{false};
    };

    struct running_task {
        start_command command;
        time_point ends_at;
    };

    job_scheduler state_;
    time_point now_;
    wall_time wall_;
    std::map<submission_id, submitted_job> jobs_;
    std::map<submission_id, wire::job_record> records_;
    std::vector<running_task> running_;
    std::uint64_t last_completion_{0};

    void add_worker(std::int64_t cores)
    {
        wire::worker_presence announcement;
        announcement.worker.id = worker_id{"w1"};
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {
            millicores{cores * 1000}, bytes{std::int64_t{64} << 30}, {}};
        on_worker_announcement(state_, announcement);
        admit_worker(state_, announcement.worker.id);
    }

    void submit(std::uint32_t tasks, duration task_length)
    {
        wire::job_record record;
        record.id = submission_id{"job-" + std::to_string(jobs_.size())};
        record.queue.service = service_id{"desk"};
        record.queue.latency = std::chrono::milliseconds{500};
        record.queue.stretch = 1.5;
        wire::job_step step;
        step.count = tasks;
        step.demand.processors = millicores{1000};
        step.estimate = task_length;
        record.spec.steps = {step};
        record.tasks.resize(tasks);
        add_job(state_, record, now_);
        jobs_[record.id] = {tasks, task_length, state_.jobs.at(record.id).latest_useful_completion,
                            false};
        records_.emplace(record.id, std::move(record));
    }

    void complete_tasks()
    {
        worker_report report;
        for (const auto& task : running_) {
            if (task.ends_at > now_)
                report.running.push_back({task.command.task, task.command.run, "", 50});
            else
                report.ended.push_back({++last_completion_, task.command.task, task.command.run,
                                        run_outcome::succeeded, ""});
        }
        std::erase_if(running_, [&](const auto& task) { return task.ends_at <= now_; });
        record_reply(state_, worker_id{"w1"}, now_);
        const auto items = on_worker_report(state_, worker_id{"w1"}, report, now_, now_);
        for (const auto& item : items) {
            auto& record = records_.at(item.task.job);
            record.tasks[item.task.index].succeeded = true;
            const bool done = std::all_of(record.tasks.begin(), record.tasks.end(),
                                          [](const auto& task) { return task.succeeded; });
            if (done)
                record.phase = wire::job_phase::succeeded;
            jobs_.at(record.id).useful = done && now_ <= jobs_.at(record.id).useful_until;
            on_job_record(state_, record, now_);
        }
        on_completions_recorded(state_, items);
    }

    /**
     * Runs jobs of 1 to 10 tasks for a minute. A task takes a second, or a second for each task of
     * its job; then `cores` of 55, or of 385, would suffice for all of them.
     */
    void run_overloaded(std::int64_t cores, bool large_jobs_take_longer)
    {
        state_ = job_scheduler{};
        state_.settings.lease = std::chrono::seconds{8};
        now_ = time_point{std::chrono::hours{1}};
        wall_ = wall_time{std::chrono::hours{500'000}};
        jobs_.clear();
        records_.clear();
        running_.clear();
        add_worker(cores);
        std::mt19937_64 random{7};
        for (int number = 0; number < 1200; ++number) {
            now_ += tick;
            if (number % 2 == 0) {
                const auto tasks = std::uniform_int_distribution<std::uint32_t>{1, 10}(random);
                submit(tasks, large_jobs_take_longer ? second * tasks : second);
            }
            complete_tasks();
            for (auto& command : plan_starts(state_, now_, wall_)) {
                on_start_result(state_, command, command_result::accepted, now_);
                const auto length = jobs_.at(command.task.job).task_length;
                running_.push_back({std::move(command), now_ + length});
            }
        }
    }

    /** Returns the share of useful completions among the jobs with at least `min_tasks`. */
    double share_served(std::uint32_t min_tasks) const
    {
        std::size_t jobs = 0;
        std::size_t served = 0;
        for (const auto& [id, job] : jobs_) {
            jobs += job.tasks >= min_tasks ? 1 : 0;
            served += job.tasks >= min_tasks && job.useful ? 1 : 0;
        }
        return static_cast<double>(served) / static_cast<double>(jobs);
    }

    /**
     * Guards against placing the smallest jobs first without a limit: with capacity for half of the
     * work, no job of the largest tenth completed in time.
     */
    void largest_jobs_of_an_overloaded_queue_are_served()
    {
        for (const std::int64_t cores : {14, 28, 40}) {
            run_overloaded(cores, false);
            const auto message = std::to_string(cores) + " processors";
            CPPUNIT_ASSERT_MESSAGE(message, share_served(10) >= share_served(1) / 2);
        }
    }

    /**
     * Guards against noticing only after several objectives that the largest jobs are not served:
     * theirs last as long as the overload.
     */
    void largest_jobs_with_long_objectives_are_served_soon_after_an_overload_begins()
    {
        for (const std::int64_t cores : {100, 200, 280}) {
            run_overloaded(cores, true);
            const auto message = std::to_string(cores) +
                                 " processors: " + std::to_string(share_served(10)) + " of " +
                                 std::to_string(share_served(1));
            CPPUNIT_ASSERT_MESSAGE(message, share_served(10) >= share_served(1) / 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_order_test);

} // namespace galenaturn::schedule
