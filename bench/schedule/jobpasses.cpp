#include "measurements.h"
#include "processortime.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace galenaturn::bench {

namespace {

using namespace schedule;

/** What is played: a full fleet with more work waiting than it has room for. */
struct passes_play {
    std::size_t workers{0};
    std::size_t jobs{0};
    std::uint32_t tasks_per_job{0};
    duration pass_interval{};
    /** Bounds of the workers examined and of the bounds compared in a pass. */
    double most_examined{0};
    double most_bounds{0};
};

constexpr duration played = std::chrono::seconds{4};
constexpr duration report_interval = std::chrono::seconds{1};
constexpr std::size_t best_effort_images = 18;

/** Work done, and the processor time that it took. */
struct passes_cost {
    double passes{0};
    double pass_seconds{0};
    double longest_pass_seconds{0};
    double reports{0};
    double report_seconds{0};
    double examined{0};
    double bounds{0};
    double starts{0};
    double waiting{0};
};

/** Workers that run what they are told and report once a second, and the scheduler of a leader. */
class loaded_leader {
public:
    explicit loaded_leader(const passes_play& play, bool examine_all) : play_{play}
    {
        state_.examines_all_workers = examine_all;
        state_.settings.lease = std::chrono::seconds{8};
        for (std::size_t number = 0; number < play_.workers; ++number)
            add_worker(number);
        add_job(serving_step());
        pass();
        for (std::size_t number = 0; number < play_.workers; ++number)
            report(number);
        while (state_.jobs.size() < play_.jobs)
            add_job(best_effort_step());
    }

    passes_cost run()
    {
        // Until the fleet is full.
        play(played);
        cost_ = {};
        const auto before = state_.counts;
        play(played);
        cost_.examined = static_cast<double>(state_.counts.candidates - before.candidates);
        cost_.bounds = static_cast<double>(state_.counts.bounds - before.bounds);
        cost_.starts = static_cast<double>(state_.counts.planned - before.planned);
        cost_.waiting = static_cast<double>(summarize_capacity(state_).waiting_tasks);
        return cost_;
    }

private:
    struct running_task {
        start_command command;
        wire::job_step step;
        time_point ends_at;
    };

    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low));
    }

    static worker_id name(std::size_t number) { return worker_id{"w" + std::to_string(number)}; }

    void add_worker(std::size_t number)
    {
        wire::worker_presence announcement;
        announcement.worker.id = name(number);
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {millicores{32'000}, bytes{std::int64_t{128} << 30}, {}};
        on_worker_announcement(state_, announcement);
        admit_worker(state_, name(number));
        running_.emplace_back();
        completions_.push_back(0);
        report(number);
    }

    wire::job_step serving_step()
    {
        wire::job_step step;
        step.count = static_cast<std::uint32_t>(play_.workers);
        step.demand = {millicores{16'000}, bytes{std::int64_t{32} << 30}, {}};
        step.long_running = true;
        step.max_per_worker = 1;
        step.image = "serving-0";
        step.tail_target = std::chrono::milliseconds{20};
        step.estimate = std::chrono::seconds{1};
        return step;
    }

    wire::job_step best_effort_step()
    {
        wire::job_step step;
        step.count = play_.tasks_per_job;
        step.demand = {millicores{draw(1000, 8000)}, bytes{draw(4LL << 30, 24LL << 30)}, {}};
        step.best_effort = true;
        step.image = "batch-" + std::to_string(random_() % best_effort_images);
        step.estimate = std::chrono::milliseconds{draw(500, 4000)};
        return step;
    }

    void add_job(const wire::job_step& step)
    {
        wire::job_record record;
        record.id = submission_id{"job-" + std::to_string(last_job_++)};
        record.queue.service = service_id{"desk"};
        record.queue.name = "desk";
        record.queue.latency = std::chrono::seconds{20};
        record.spec.steps = {step};
        record.tasks.resize(wire::tasks_of_occurrence(record.spec));
        records_.emplace(record.id, record);
        schedule::add_job(state_, record, now_);
    }

    void play(duration span)
    {
        const auto end = now_ + span;
        const auto reports_per_pass = play_.workers *
                                      static_cast<std::size_t>(play_.pass_interval.count()) /
                                      static_cast<std::size_t>(report_interval.count());
        while (now_ < end) {
            now_ += play_.pass_interval;
            for (std::size_t count = 0; count < reports_per_pass; ++count) {
                report(next_report_);
                next_report_ = (next_report_ + 1) % play_.workers;
            }
            while (state_.jobs.size() < play_.jobs)
                add_job(best_effort_step());
            pass();
        }
    }

    void pass()
    {
        const auto begin = processor_seconds();
        auto commands = plan_starts(state_, now_, wall_);
        const auto spent = processor_seconds() - begin;
        ++cost_.passes;
        cost_.pass_seconds += spent;
        cost_.longest_pass_seconds = std::max(cost_.longest_pass_seconds, spent);
        for (auto& command : commands) {
            on_start_sent(state_, command, now_);
            on_start_result(state_, command, command_result::accepted, now_);
            const auto& step = records_.at(command.task.job).spec.steps[command.task.step];
            const auto number = std::stoul(command.worker.value().substr(1));
            const auto ends_at = step.long_running ? time_point::max() : now_ + step.estimate;
            running_[number].push_back({std::move(command), step, ends_at});
        }
    }

    void report(std::size_t number)
    {
        worker_report reported;
        auto& running = running_[number];
        std::erase_if(running, [&](const auto& task) {
            if (task.ends_at > now_)
                return false;
            reported.ended.push_back({++completions_[number], task.command.task, task.command.run,
                                      run_outcome::succeeded, ""});
            return true;
        });
        for (const auto& task : running)
            reported.running.push_back(
                {task.command.task, task.command.run, "", 50,
                 task.step.long_running ? draw(8, 10) : task.step.demand.processors.value()});
        const auto begin = processor_seconds();
        record_reply(state_, name(number), now_);
        const auto items = on_worker_report(state_, name(number), reported, now_, now_);
        cost_.report_seconds += processor_seconds() - begin;
        ++cost_.reports;
        record(items);
    }

    /** Records completions as the ledger does. */
    void record(const std::vector<wire::record_completions::item>& items)
    {
        for (const auto& item : items) {
            const auto found = records_.find(item.task.job);
            auto& record = found->second;
            record.tasks[*wire::position_of(record.spec, item.task)].succeeded = true;
            const bool done = std::all_of(record.tasks.begin(), record.tasks.end(),
                                          [](const auto& task) { return task.succeeded; });
            if (done)
                record.phase = wire::job_phase::succeeded;
            on_job_record(state_, record, now_);
            if (done)
                records_.erase(found);
        }
        on_completions_recorded(state_, items);
    }

    passes_play play_;
    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};
    std::map<submission_id, wire::job_record> records_;
    std::vector<std::vector<running_task>> running_;
    std::vector<std::uint64_t> completions_;
    std::size_t last_job_{0};
    std::size_t next_report_{0};
    std::mt19937_64 random_{11};
    passes_cost cost_;
};

void measure_play(benchmark_report& report, const std::string& name, const passes_play& play,
                  bool quick)
{
    const auto cost = loaded_leader{play, false}.run();
    const auto per_pass = [&](double sum) { return sum / cost.passes; };
    report.add(name + "_waiting_tasks", cost.waiting, "tasks");
    report.add(name + "_starts_a_pass", per_pass(cost.starts), "starts");
    report.add(name + "_workers_examined_a_pass", per_pass(cost.examined), "workers",
               at_most(play.most_examined));
    report.add(name + "_bounds_compared_a_pass", per_pass(cost.bounds), "bounds",
               at_most(play.most_bounds));
    if (quick)
        return;
    report.add(name + "_pass", per_pass(cost.pass_seconds) * 1e3, "ms");
    report.add(name + "_longest_pass", cost.longest_pass_seconds * 1e3, "ms");
    report.add(name + "_report", cost.report_seconds / cost.reports * 1e6, "us");
    const auto all = loaded_leader{play, true}.run();
    report.add(name + "_workers_examined_a_pass_without_bounds", all.examined / all.passes,
               "workers");
    report.add(name + "_pass_without_bounds", all.pass_seconds / all.passes * 1e3, "ms");
}

} // namespace

void measure_passes(benchmark_report& report, bool quick)
{
    using std::chrono::milliseconds;
    measure_play(report, "passes_490_workers", {490, 700, 20, milliseconds{50}, 5000, 15'000},
                 quick);
    // A leader that is slow: all workers report between two passes.
    measure_play(report, "passes_490_workers_slow",
                 {490, 700, 20, milliseconds{1000}, 500'000, 1'200'000}, quick);
    measure_play(report, "passes_2900_workers", {2900, 2300, 20, milliseconds{50}, 90'000, 600'000},
                 quick);
}

} // namespace galenaturn::bench
