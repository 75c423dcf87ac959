#include "placementsimulation.h"

#include <galenaturn/schedule.h>

#include <algorithm>
#include <random>

namespace galenaturn::schedule {

namespace {

/** A worker outside the scheduler. */
struct simulated_worker {
    struct running_task {
        start_command command;
        time_point ends_at;
        resources demand;
        wire::job_step step;
        bool is_gang_member{false};
    };
    wire::worker_presence announcement;
    std::vector<running_task> running;
    std::vector<worker_report::ended_run> ended;
    std::uint64_t last_completion{0};
    time_point silent_until;
    /** Its runs end when its lease expires. */
    time_point lease_until;
    bool known{false};
};

class placement_simulation {
public:
    explicit placement_simulation(std::uint64_t seed, placement_decisions* decisions = nullptr,
                                  bool examine_all = false)
        : random_{seed}, decisions_{decisions}
    {
        state_.examines_all_workers = examine_all;
        state_.settings.lease = std::chrono::seconds{3};
        for (int number = 0; number < 12; ++number)
            add_worker();
    }

    placement_counts run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            now_ += std::chrono::milliseconds{draw(5, 120)};
            change_fleet();
            change_jobs();
            for (auto& [id, worker] : fleet_)
                exchange(worker);
            expire_leases(state_, now_);
            drain_leaving_workers(state_, now_);
            send_stops();
            change_paces();
            const auto starts = plan_all_starts();
            // What is learned of tails changes what fits, and is noticed with the next report only.
            if (decisions_ == nullptr)
                check_nothing_was_missed();
            send_starts(starts);
        }
        counts_.trials = state_.counts.trials;
        counts_.slowed_starts = state_.counts.slowed_starts;
        counts_.examined = state_.counts.candidates;
        return counts_;
    }

private:
    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>{low, high}(random_);
    }
    bool chance(int percent) { return draw(1, 100) <= percent; }

    void add_worker()
    {
        simulated_worker worker;
        auto& record = worker.announcement.worker;
        record.id = worker_id{"w" + std::to_string(last_worker_++)};
        record.service = service_id{chance(80) ? "desk" : "other"};
        record.rack = rack_id{"r" + std::to_string(draw(0, 2))};
        record.capacity = {millicores{draw(4, 16) * 1000}, bytes{draw(16, 64) << 30}, {}};
        if (chance(40))
            record.labels = {"a"};
        fleet_.emplace(record.id, std::move(worker));
    }

    void change_fleet()
    {
        if (chance(3))
            add_worker();
        for (auto entry = fleet_.begin(); entry != fleet_.end();) {
            auto& worker = entry->second;
            if (worker.announcement.leaving && worker.running.empty() && worker.ended.empty()) {
                worker.announcement.left = true;
                on_worker_announcement(state_, worker.announcement);
                remove_worker(state_, entry->first);
                ++counts_.departures;
                entry = fleet_.erase(entry);
                continue;
            }
            ++entry;
            if (fleet_.size() > 8 && chance(1))
                worker.announcement.leaving = true;
            if (now_ >= worker.silent_until && chance(1)) {
                worker.silent_until = now_ + std::chrono::milliseconds{draw(500, 6000)};
                ++counts_.silences;
            }
        }
    }

    wire::job_step random_step()
    {
        wire::job_step step;
        step.count = static_cast<std::uint32_t>(draw(1, 6));
        step.demand = {millicores{draw(1, 8) * 500}, bytes{draw(1, 12) << 30}, {}};
        step.estimate = std::chrono::milliseconds{draw(50, 1500)};
        step.image = "image-" + std::to_string(draw(0, 2));
        step.best_effort = chance(30);
        step.long_running = !step.best_effort && chance(20);
        step.gang = !step.long_running && chance(5);
        if (chance(15))
            step.max_per_worker = 1;
        if (chance(15))
            step.required_label = "a";
        return step;
    }

    /** Returns a step that is latency-critical, or best effort, more often than not. */
    wire::job_step random_step_with_tails()
    {
        auto step = random_step();
        if (chance(20)) {
            step.best_effort = false;
            step.gang = false;
            step.long_running = true;
            step.tail_target = std::chrono::milliseconds{draw(15, 30)};
            step.image = "serving-" + std::to_string(draw(0, 3));
        }
        else if (chance(75)) {
            step.best_effort = true;
            step.long_running = false;
            step.image = "batch-" + std::to_string(draw(0, 5));
        }
        return step;
    }

    wire::job_step any_step()
    {
        return decisions_ == nullptr ? random_step() : random_step_with_tails();
    }

    /** Returns the tail in milliseconds, or the processors in use, that the worker measures. */
    std::int64_t measure(const simulated_worker& worker,
                         const simulated_worker::running_task& measured)
    {
        const auto& step = measured.step;
        if (step.tail_target.count() == 0)
            return step.demand.processors.value();
        double ratio = 1;
        for (const auto& running : worker.running) {
            const auto& other = running.step;
            if (!other.best_effort)
                continue;
            // Some pairs of images interfere.
            const auto interferes = (other.image.back() + step.image.back()) % 3 == 0;
            ratio += (interferes ? 0.3 : 0.01) *
                     static_cast<double>(other.demand.processors.value()) / 1000;
        }
        return static_cast<std::int64_t>(static_cast<double>(draw(8, 10)) * ratio);
    }

    void change_paces()
    {
        for (const auto& command : plan_paces(state_, now_))
            on_pace_result(state_, command, command_result::accepted);
    }

    void change_jobs()
    {
        while (state_.jobs.size() < 40 && chance(60)) {
            wire::job_record record;
            record.id = submission_id{"job-" + std::to_string(last_job_++)};
            record.queue.service = service_id{chance(80) ? "desk" : "other"};
            record.queue.name = record.queue.service.value();
            record.queue.priority = static_cast<std::uint32_t>(draw(0, 2));
            record.queue.max_attempts = 100;
            record.queue.latency = std::chrono::milliseconds{draw(100, 2000)};
            record.spec.steps.push_back(any_step());
            if (chance(30)) {
                record.spec.steps.push_back(any_step());
                record.spec.steps.back().after = {0};
            }
            record.tasks.resize(wire::tasks_of_occurrence(record.spec));
            records_.emplace(record.id, record);
            add_job(state_, record, now_);
        }
        if (!records_.empty() && chance(10)) {
            auto chosen = records_.begin();
            std::advance(chosen, draw(0, static_cast<std::int64_t>(records_.size()) - 1));
            chosen->second.phase = wire::job_phase::cancelled;
            on_job_record(state_, chosen->second, now_);
            records_.erase(chosen);
            ++counts_.cancellations;
        }
    }

    /** Ends the runs that are due, and reports the worker's state at times. */
    void exchange(simulated_worker& worker)
    {
        const auto due =
            std::stable_partition(worker.running.begin(), worker.running.end(),
                                  [&](const auto& running) { return running.ends_at > now_; });
        const std::vector<simulated_worker::running_task> ended{due, worker.running.end()};
        worker.running.erase(due, worker.running.end());
        for (const auto& run : ended) {
            const auto outcome = chance(10) ? run_outcome::failed : run_outcome::succeeded;
            end_run(worker, run.command.task, run.command.run, outcome);
            if (run.is_gang_member)
                end_gang(run.command.task);
        }
        if (now_ > worker.lease_until) {
            for (const auto& running : worker.running)
                end_run(worker, running.command.task, running.command.run, run_outcome::expired);
            worker.running.clear();
        }
        const auto& id = worker.announcement.worker.id;
        if (now_ < worker.silent_until || (!chance(40) && ended.empty()))
            return;
        on_worker_announcement(state_, worker.announcement);
        if (!std::exchange(worker.known, true))
            admit_worker(state_, id);
        extend_lease(state_, id, now_);
        worker.lease_until = now_ + state_.settings.lease;
        record_reply(state_, id, now_);
        worker_report report;
        for (const auto& running : worker.running)
            report.running.push_back({running.command.task, running.command.run, "", 50,
                                      decisions_ == nullptr ? 0 : measure(worker, running)});
        report.ended = std::exchange(worker.ended, {});
        record(on_worker_report(state_, id, report, now_, now_));
    }

    void end_run(simulated_worker& worker, const wire::task_ref& task, std::uint32_t run,
                 run_outcome outcome)
    {
        worker.ended.push_back({++worker.last_completion, task, run, outcome, ""});
        ++counts_.ends;
    }

    /** Ends the other members of a gang, which cannot continue without this one. */
    void end_gang(const wire::task_ref& member)
    {
        for (auto& [id, worker] : fleet_) {
            const auto others = std::stable_partition(
                worker.running.begin(), worker.running.end(), [&](const auto& running) {
                    const auto& task = running.command.task;
                    return task.job != member.job || task.step != member.step;
                });
            const std::vector<simulated_worker::running_task> ended{others, worker.running.end()};
            worker.running.erase(others, worker.running.end());
            for (const auto& run : ended)
                end_run(worker, run.command.task, run.command.run, run_outcome::broken);
        }
    }

    /** Records completions as the ledger does. */
    void record(const std::vector<wire::record_completions::item>& items)
    {
        for (const auto& item : items) {
            const auto found = records_.find(item.task.job);
            if (found == records_.end())
                continue;
            auto& record = found->second;
            auto& progress = record.tasks[*wire::position_of(record.spec, item.task)];
            progress.succeeded = progress.succeeded || item.succeeded;
            progress.last_run = std::max(progress.last_run, item.run);
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

    void send_stops()
    {
        for (const auto& command : plan_stops(state_, now_)) {
            const auto found = fleet_.find(command.worker);
            if (found == fleet_.end() || now_ < found->second.silent_until)
                continue;
            auto& running = found->second.running;
            const auto stopped =
                std::find_if(running.begin(), running.end(), [&](const auto& task) {
                    return task.command.task == command.task && task.command.run == command.run;
                });
            if (stopped != running.end()) {
                end_run(found->second, command.task, command.run, run_outcome::stopped);
                running.erase(stopped);
            }
            on_stop_result(state_, command, command_result::accepted, now_);
        }
    }

    /** Plans until no planned start is dropped any more: a drop is followed by another pass. */
    std::vector<start_command> plan_all_starts()
    {
        std::vector<start_command> planned;
        do {
            const auto added = plan_starts(state_, now_, wall_);
            planned.insert(planned.end(), added.begin(), added.end());
            note(added);
        } while (drop_outdated(planned));
        return planned;
    }

    void note(const std::vector<start_command>& starts)
    {
        if (decisions_ == nullptr)
            return;
        for (const auto& start : starts) {
            const auto& ref = start.task;
            decisions_->push_back(std::to_string((now_ - time_point{}).count()) + " " +
                                  ref.job.value() + "/" + std::to_string(ref.step) + "/" +
                                  std::to_string(ref.index) + " run " + std::to_string(start.run) +
                                  " on " + start.worker.value());
        }
    }

    /** Returns whether a start was dropped, because its run was preempted before it was sent. */
    bool drop_outdated(std::vector<start_command>& commands)
    {
        return std::erase_if(commands, [&](const auto& command) {
                   const auto reason = reason_to_drop(state_, command);
                   if (reason)
                       drop_start(state_, command, *reason, now_);
                   return reason.has_value();
               }) > 0;
    }

    void send_starts(const std::vector<start_command>& commands)
    {
        for (const auto& command : commands) {
            if (const auto reason = reason_to_drop(state_, command)) {
                drop_start(state_, command, *reason, now_);
                continue;
            }
            ++counts_.starts;
            on_start_sent(state_, command, now_);
            const auto outcome = chance(5)   ? command_result::no_capacity
                                 : chance(3) ? command_result::refused
                                 : chance(3) ? command_result::none
                                             : command_result::accepted;
            auto& worker = fleet_.at(command.worker);
            if (outcome == command_result::accepted ||
                (outcome == command_result::none && chance(50)))
                begin_run(worker, command);
            counts_.refusals += outcome == command_result::refused ? 1 : 0;
            counts_.unanswered += outcome == command_result::none ? 1 : 0;
            on_start_result(state_, command, outcome, now_);
        }
    }

    void begin_run(simulated_worker& worker, const start_command& command)
    {
        const auto& step = records_.at(command.task.job).spec.steps[command.task.step];
        auto demand = step.demand;
        if (step.best_effort)
            demand.processors = millicores{};
        auto free = worker.announcement.worker.capacity;
        for (const auto& running : worker.running)
            free -= running.demand;
        counts_.oversized_starts += fits(demand, free) ? 0 : 1;
        const auto length = step.long_running ? std::chrono::milliseconds{draw(2000, 20'000)}
                                              : std::chrono::milliseconds{draw(50, 1500)};
        worker.running.push_back({command, now_ + length, demand, step, step.gang});
    }

    void check_nothing_was_missed()
    {
        const auto remembered = state_.failed;
        for (const auto& [kind, failures] : remembered.by_kind)
            counts_.remembered += failures.size();
        state_.failed = {};
        const auto missed = plan_starts(state_, now_, wall_);
        counts_.missed_starts += missed.size();
        send_starts(missed);
        state_.failed = remembered;
    }

    std::mt19937_64 random_;
    placement_decisions* decisions_;
    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};
    std::map<worker_id, simulated_worker> fleet_;
    std::map<submission_id, wire::job_record> records_;
    std::uint64_t last_worker_{0};
    std::uint64_t last_job_{0};
    placement_counts counts_;
};

} // namespace

placement_counts run_tail_simulation(std::uint64_t seed, int steps, bool examine_all,
                                     placement_decisions& decisions)
{
    return placement_simulation{seed, &decisions, examine_all}.run(steps);
}

placement_counts run_placement_simulation(std::uint64_t seed, int steps)
{
    return placement_simulation{seed}.run(steps);
}

} // namespace galenaturn::schedule
