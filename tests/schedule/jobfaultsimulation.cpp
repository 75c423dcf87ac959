#include "jobfaultsimulation.h"

#include "leaderprocessor.h"

#include <galenaturn/ledger.h>
#include <galenaturn/schedule.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>

namespace galenaturn::schedule {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_span = milliseconds{10};
constexpr duration lease = seconds{5};
constexpr duration announcement_interval = milliseconds{1500};
constexpr duration poll_interval = milliseconds{50};
constexpr duration commit_span = milliseconds{20};
constexpr duration stop_span = milliseconds{200};
/** A task that crashes its worker does so this long after its start. */
constexpr duration crash_delay = milliseconds{10};
/** A capacity that has shrunk may still be used for this time. */
constexpr duration shrink_grace = milliseconds{4500};
/** Starts of a task that are tolerated after three workers have crashed under it. */
constexpr std::uint32_t tolerated_starts = 2;
constexpr std::uint32_t crashes_before_limit = 3;
constexpr duration command_timeout = milliseconds{800};
/** Jobs that were accepted this long ago are in the counts. */
constexpr duration counted_after = seconds{5};
constexpr duration tick_interval = milliseconds{100};
constexpr duration heartbeat_interval = milliseconds{250};
constexpr duration election_timeout = seconds{1};
/** A run may be alive for this time after the cancellation of its job was recorded. */
constexpr duration tolerated_after_cancel = milliseconds{4400};
/** Every fourth worker runs urgent jobs only, so that there is room for them. */
constexpr std::size_t workers_per_urgent_one = 4;
constexpr std::size_t refusing_worker = 1;
constexpr std::size_t mute_worker = 2;
constexpr std::uint32_t large_job_tasks = 5000;
constexpr int short_jobs = 1000;
constexpr int jobs_cancelled_without_leader = 20;

/** A run on a simulated worker. */
struct worker_run {
    std::uint32_t number{0};
    resources demand;
    time_point ends_at;
    run_outcome outcome{run_outcome::succeeded};
    time_point began_at;
    /** A stop has arrived. */
    bool stop_arrived{false};
    bool counted_as_late{false};
};

/** A worker outside the scheduler: it executes every start that is not stale. */
struct simulated_job_worker {
    wire::worker_presence announcement;
    /** Highest capacity of the last `shrink_grace`, with the end of that time. */
    resources earlier_capacity;
    time_point earlier_capacity_until;
    resources full_capacity;
    bool up{true};
    time_point returns_at;
    time_point partitioned_until;
    time_point suspended_until;
    time_point last_unreachable_at;
    time_point next_announcement;
    time_point next_poll;
    time_point lease_until;
    /** When it last had no lease. */
    time_point lapsed_at;
    std::map<wire::task_ref, worker_run> runs;
    std::map<wire::task_ref, std::uint32_t> highest_runs;
    std::vector<worker_report::ended_run> ended;
    std::map<std::uint64_t, time_point> ended_at;
    std::uint64_t last_completion{0};
    /** The highest fencing token of the leaders that reached it; it ignores lower ones. */
    std::uint64_t token{0};
};

/** A command that the ledger applies at `due`. */
struct pending_command {
    time_point due;
    wire::command body;
    std::function<void()> applied;
};

/** A start that its worker executes late; its response is lost. */
struct late_start {
    time_point due;
    start_command command;
    time_point sent_at;
    /** The lease that it grants; the worker refuses it afterwards. */
    time_point lease_until;
    /** The fencing token of the leader that sent it. */
    std::uint64_t token{0};
};

/** A stop that its worker executes late; its response is lost. */
struct late_stop {
    time_point due;
    stop_command command;
    std::uint64_t token{0};
};

/** Commands to one worker, of which one at a time is in flight. */
struct command_queue {
    std::deque<start_command> starts;
    std::deque<stop_command> stops;
    /** The command in flight gets no response; it times out at `busy_until`. */
    std::function<void()> on_timeout;
    time_point busy_until;
};

/** What is known of a task outside the scheduler. */
struct task_history {
    std::uint32_t crashes{0};
    std::uint32_t starts_after_limit{0};
    bool has_failed{false};
    time_point last_start;
    bool success_recorded{false};
};

struct submitted_job {
    time_point at;
    wire::job_spec spec;
    bool crashes{false};
    /** Each task fails in its first run. */
    bool fails{false};
    bool counted{false};
    bool cancelled{false};
    time_point cancelled_at;
    /** When a leader learned of it. */
    time_point cancel_known_at{time_point::max()};
    /** A worker has started a task of it. */
    bool begun{false};
    bool urgent{false};
};

class job_fault_simulation {
public:
    explicit job_fault_simulation(const job_fault_options& options)
        : options_{options}, random_{options.seed}
    {
        settings_.lease = lease;
        fleet_.resize(options.workers);
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            begin_life(fleet_[index], index);
        begin_term();
    }

    job_fault_counts run()
    {
        const auto end = now_ + seconds{options_.seconds};
        // After the last submission the remaining jobs have time to end.
        const auto last_submission = end - seconds{options_.settling_seconds};
        for (int job = 0; job < 3; ++job)
            submit(true);
        while (now_ < end) {
            now_ += step_span;
            wall_ += std::chrono::duration_cast<milliseconds>(step_span);
            if (now_ < last_submission) {
                if (per_minute(60 * static_cast<int>(options_.workers) / 8))
                    submit(false);
                cause_faults();
            }
            if (options_.bad_input)
                cause_bad_input();
            if (!term_active_ && now_ >= next_term_at_)
                begin_term();
            advance_workers();
            execute_late_starts();
            execute_late_stops();
            announce();
            if (options_.processor_share > 0)
                lead_with_limited_processor();
            else if (now_ >= paused_until_)
                lead();
            count_ended_jobs();
            if (options_.bad_input)
                count_late_stops();
            else
                check_counts();
        }
        count_urgent_jobs_that_wait();
        return counts_;
    }

private:
    std::int64_t draw(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>{low, high}(random_);
    }
    bool chance(int percent) { return draw(1, 100) <= percent; }
    /** Returns true in as many steps as the rate says. */
    bool per_minute(int rate)
    {
        constexpr std::int64_t steps_per_minute = seconds{60} / step_span;
        return draw(1, steps_per_minute) <= rate;
    }
    duration draw_span(std::int64_t low_ms, std::int64_t high_ms)
    {
        return milliseconds{draw(low_ms, high_ms)};
    }

    // Workers.

    void begin_life(simulated_job_worker& worker, std::size_t index)
    {
        wire::worker_presence announcement;
        auto& record = announcement.worker;
        const auto number = options_.ids_are_kept ? index : last_worker_++;
        const auto started = static_cast<std::uint64_t>(wall_.time_since_epoch().count());
        record.id = make_worker_id("w" + std::to_string(number),
                                   incarnation{options_.ids_are_kept ? started : 0});
        record.service = service_id{is_for_urgent_jobs(index) ? "alerts" : "desk"};
        record.address = {"10.0.0." + std::to_string(index + 1), 8129};
        record.capacity = {millicores{32'000}, bytes{std::int64_t{125} << 30}, {}};
        worker = {};
        worker.announcement = announcement;
        worker.full_capacity = record.capacity;
        worker.next_announcement = now_;
        index_of_[record.id] = index;
    }

    [[nodiscard]] bool is_for_urgent_jobs(std::size_t index) const
    {
        return options_.bad_input && index % workers_per_urgent_one == 0;
    }

    [[nodiscard]] bool is_reachable(const simulated_job_worker& worker) const
    {
        return worker.up && now_ >= worker.partitioned_until && !is_suspended(worker);
    }

    [[nodiscard]] bool is_suspended(const simulated_job_worker& worker) const
    {
        return worker.up && now_ < worker.suspended_until;
    }

    void suspend(simulated_job_worker& worker)
    {
        if (!worker.up || is_suspended(worker))
            return;
        ++counts_.worker_suspensions;
        const auto span = draw_span(500, 9000);
        worker.suspended_until = now_ + span;
        if (options_.worker_clocks_omit_suspensions)
            worker.lease_until += span;
        for (auto& [ref, run] : worker.runs) {
            if (run.ends_at != time_point::max())
                run.ends_at += span;
        }
    }

    /** Returns whether a worker runs a task, or goes on with it when it wakes. */
    [[nodiscard]] bool runs_task(const simulated_job_worker& worker,
                                 const wire::task_ref& ref) const
    {
        const bool ends_at_wake = is_suspended(worker) && now_ >= worker.lease_until;
        return worker.up && worker.runs.contains(ref) && !ends_at_wake;
    }

    void crash(simulated_job_worker& worker, bool closes_connections)
    {
        for (const auto& [ref, run] : worker.runs)
            ++history_[ref].crashes;
        // A worker whose machine loses power leaves its connections open.
        if (term_active_ && is_reachable(worker) && closes_connections)
            record_contact_loss(state_, worker.announcement.worker.id, now_, true);
        worker.up = false;
        worker.returns_at = now_ + draw_span(1500, 4500);
        worker.runs.clear();
        worker.ended.clear();
    }

    void end_run(simulated_job_worker& worker, const wire::task_ref& ref, const worker_run& run)
    {
        worker.ended.push_back({++worker.last_completion, ref, run.number, run.outcome, ""});
        worker.ended_at[worker.last_completion] = now_;
    }

    void advance_workers()
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            auto& worker = fleet_[index];
            if (!worker.up) {
                if (now_ >= worker.returns_at)
                    begin_life(worker, index);
                continue;
            }
            if (is_suspended(worker))
                continue;
            if (crashes_now(worker)) {
                ++counts_.crashes_by_tasks;
                crash(worker, true);
                continue;
            }
            if (now_ >= worker.lease_until)
                worker.lapsed_at = now_;
            for (auto run = worker.runs.begin(); run != worker.runs.end();) {
                if (now_ >= worker.lease_until)
                    run->second.outcome = run_outcome::expired;
                else if (now_ < run->second.ends_at) {
                    ++run;
                    continue;
                }
                end_run(worker, run->first, run->second);
                run = worker.runs.erase(run);
            }
        }
    }

    [[nodiscard]] bool crashes_now(const simulated_job_worker& worker) const
    {
        return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto& run) {
            return is_crashing(run.first) && now_ >= run.second.ends_at;
        });
    }

    [[nodiscard]] bool is_crashing(const wire::task_ref& ref) const
    {
        const auto& job = jobs_.at(ref.job);
        return job.crashes && ref.step == 0 && (options_.all_tasks_crash || ref.index == 0);
    }

    /** A command names the worker, but not its life. */
    static bool accepts_commands_to(const simulated_job_worker& worker, const worker_id& id)
    {
        return name_of(worker.announcement.worker.id) == name_of(id);
    }

    command_result execute(simulated_job_worker& worker, const start_command& command,
                           time_point sent_at)
    {
        auto& highest = worker.highest_runs[command.task];
        if (command.run <= highest)
            return command_result::stale_run;
        highest = command.run;
        check_start(worker, command.task);
        auto& job = jobs_.at(command.task.job);
        // Without a leader nothing starts.
        if (job.urgent && !job.begun && job.at >= recovered_at_)
            counts_.urgent_start_delays.push_back(now_ - job.at);
        job.begun = true;
        counts_.starts_after_cancel += sent_at > job.cancel_known_at ? 1 : 0;
        const auto& step = job.spec.steps[command.task.step];
        worker_run run;
        run.number = command.run;
        run.began_at = now_;
        run.demand = step.demand;
        run.ends_at = is_crashing(command.task) ? now_ + crash_delay
                      : step.long_running       ? time_point::max()
                                                : now_ + step.estimate;
        if (job.fails && !std::exchange(history_[command.task].has_failed, true)) {
            run.outcome = run_outcome::failed;
            run.ends_at = now_ + step.estimate / 3;
            ++counts_.failed_runs;
        }
        worker.runs[command.task] = run;
        ++counts_.starts;
        return command_result::accepted;
    }

    void check_start(const simulated_job_worker& worker, const wire::task_ref& ref)
    {
        auto& history = history_[ref];
        history.last_start = now_;
        if (is_crashing(ref) && history.crashes >= crashes_before_limit &&
            ++history.starts_after_limit > tolerated_starts)
            ++counts_.starts_beyond_crash_limit;
        const bool runs_elsewhere = std::any_of(
            fleet_.begin(), fleet_.end(), [&](const auto& other) { return runs_task(other, ref); });
        counts_.doubled_starts += history.success_recorded || runs_elsewhere ? 1 : 0;
        auto used = jobs_.at(ref.job).spec.steps[ref.step].demand;
        for (const auto& [other, run] : worker.runs)
            used += run.demand;
        const auto& capacity = now_ < worker.earlier_capacity_until
                                   ? worker.earlier_capacity
                                   : worker.announcement.worker.capacity;
        counts_.oversized_starts += fits(used, capacity) ? 0 : 1;
    }

    template <class Late>
    static bool is_accepted(simulated_job_worker& worker, const Late& late)
    {
        if (!worker.up || !accepts_commands_to(worker, late.command.worker) ||
            late.token < worker.token)
            return false;
        worker.token = late.token;
        return true;
    }

    void execute_late_starts()
    {
        std::erase_if(late_starts_, [&](const late_start& late) {
            auto& worker = fleet_[index_of_.at(late.command.worker)];
            if (now_ < late.due || is_suspended(worker))
                return false;
            if (is_accepted(worker, late) &&
                now_ < std::max(worker.lease_until, late.lease_until)) {
                worker.lease_until = std::max(worker.lease_until, late.lease_until);
                execute(worker, late.command, late.sent_at);
            }
            return true;
        });
    }

    void execute_late_stops()
    {
        std::erase_if(late_stops_, [&](const late_stop& late) {
            auto& worker = fleet_[index_of_.at(late.command.worker)];
            if (now_ < late.due || is_suspended(worker))
                return false;
            if (is_accepted(worker, late))
                execute(worker, late.command);
            return true;
        });
    }

    // Faults.

    void cause_faults()
    {
        if (per_minute(options_.unrelated_crashes_per_minute)) {
            const bool closes_connections = chance(50);
            for (auto count = draw(1, 4); count > 0; --count) {
                auto& worker = draw_worker();
                counts_.unrelated_crashes += worker.up ? 1 : 0;
                if (worker.up)
                    crash(worker, closes_connections);
            }
        }
        if (per_minute(options_.partitions_per_minute)) {
            draw_worker().partitioned_until = now_ + draw_span(500, 9000);
            ++counts_.partitions;
        }
        if (options_.worker_suspensions_per_minute > 0 &&
            per_minute(options_.worker_suspensions_per_minute))
            suspend(draw_worker());
        if (per_minute(options_.capacity_changes_per_minute))
            change_capacity(draw_worker());
        if (options_.cancels_per_minute > 0 && per_minute(options_.cancels_per_minute))
            cancel_any_job();
        if (options_.leader_pauses_per_minute > 0 && per_minute(options_.leader_pauses_per_minute))
            paused_until_ = now_ + draw_span(400, 1200);
        if (term_active_ && per_minute(options_.leader_losses_per_minute))
            lose_leader();
    }

    void lose_leader()
    {
        ++counts_.leader_losses;
        term_active_ = false;
        lost_by_fault_ = true;
        next_term_at_ = now_ + draw_span(300, 1500);
        if (chance(50))
            pending_.clear();
    }

    /** Returns whether the step contains this time since the beginning. */
    [[nodiscard]] bool is_at(duration time) const
    {
        return now_ - began_at_ >= time && now_ - began_at_ < time + step_span;
    }

    /** Returns whether this time since the beginning is in the second after `begin`. */
    [[nodiscard]] bool is_in_second_after(duration begin) const
    {
        return now_ - began_at_ >= begin && now_ - began_at_ < begin + seconds{1};
    }

    void cause_bad_input()
    {
        if (is_at(milliseconds{500}))
            submit_unplaceable_steps();
        constexpr auto jobs_per_step = short_jobs / static_cast<int>(seconds{1} / step_span);
        for (int job = 0; job < jobs_per_step; ++job) {
            if (is_in_second_after(seconds{1}))
                short_jobs_.push_back(
                    submit_steps("q", {make_step(1, draw(1, 2), draw_span(5000, 9000))}));
            if (is_in_second_after(milliseconds{2500}))
                cancel_first_short_job();
        }
        if (per_minute(240))
            jobs_.at(submit_steps("urgent", {make_step(1, 1, milliseconds{200})})).urgent = true;
        if (is_at(milliseconds{4500})) {
            for (int job = 0; job < jobs_cancelled_without_leader; ++job)
                late_jobs_.push_back(submit_steps("first", {make_step(1, 2, seconds{20})}));
        }
        if (is_at(milliseconds{6000})) {
            if (term_active_)
                lose_leader();
            for (const auto& id : std::exchange(late_jobs_, {}))
                cancel(id);
        }
    }

    void submit_unplaceable_steps()
    {
        submit_steps("q", {make_step(large_job_tasks, 1, draw_span(300, 2700))});
        auto wide = make_step(static_cast<std::uint32_t>(10 * fleet_.size()), 1, seconds{1});
        wide.gang = true;
        submit_steps("q", {wide});
    }

    void cancel_first_short_job()
    {
        const auto id = short_jobs_.front();
        short_jobs_.pop_front();
        if (ledger_.jobs.at(id).phase == wire::job_phase::open)
            cancel(id);
    }

    void count_late_stops()
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            auto& worker = fleet_[index];
            if (!is_reachable(worker))
                worker.last_unreachable_at = now_;
            if (ignores_stops(index))
                continue;
            for (auto& [ref, run] : worker.runs) {
                const auto& job = jobs_.at(ref.job);
                const auto since = std::max(
                    {job.cancelled_at, run.began_at, recovered_at_, worker.last_unreachable_at});
                if (!job.cancelled || run.counted_as_late || lost_by_fault_ ||
                    now_ - since <= tolerated_after_cancel)
                    continue;
                run.counted_as_late = true;
                ++counts_.late_stops;
            }
        }
    }

    void count_urgent_jobs_that_wait()
    {
        for (const auto& [id, job] : jobs_) {
            if (job.urgent && !job.begun && job.at >= recovered_at_)
                counts_.urgent_start_delays.push_back(now_ - job.at);
        }
    }

    [[nodiscard]] bool ignores_stops(std::size_t index) const
    {
        return options_.bad_input && (index == refusing_worker || index == mute_worker);
    }

    simulated_job_worker& draw_worker()
    {
        return fleet_[static_cast<std::size_t>(
            draw(0, static_cast<std::int64_t>(fleet_.size()) - 1))];
    }

    void change_capacity(simulated_job_worker& worker)
    {
        auto& capacity = worker.announcement.worker.capacity;
        worker.earlier_capacity = worker.full_capacity;
        worker.earlier_capacity_until = now_ + shrink_grace;
        const auto percent = chance(30) ? 100 : draw(10, 90);
        capacity.processors = millicores{worker.full_capacity.processors.value() * percent / 100};
        capacity.memory = bytes{worker.full_capacity.memory.value() * percent / 100};
        ++counts_.capacity_changes;
    }

    // Jobs.

    static wire::job_step make_step(std::uint32_t count, std::int64_t cores, duration estimate)
    {
        wire::job_step step;
        step.count = count;
        step.demand.processors = millicores{cores * 1000};
        step.demand.memory = bytes{cores << 30};
        step.estimate = estimate;
        return step;
    }

    /** Submits a job that is not among the sound ones. */
    submission_id submit_steps(const std::string& queue, std::vector<wire::job_step> steps)
    {
        wire::submit_job body;
        body.id = submission_id{"job-" + std::to_string(last_job_++)};
        body.queue.name = queue;
        body.queue.service = service_id{queue == "urgent" ? "alerts" : "desk"};
        body.queue.priority = queue == "q" ? 1 : 0;
        body.queue.max_attempts = 3;
        body.queue.latency = queue == "urgent" ? milliseconds{250} : milliseconds{1000};
        body.submitted = wall_;
        body.spec.steps = std::move(steps);
        auto& job = jobs_[body.id];
        job.at = now_;
        job.spec = body.spec;
        job.counted = true;
        auto id = body.id;
        apply(std::move(body));
        return id;
    }

    void submit(bool long_running)
    {
        wire::submit_job body;
        body.id = submission_id{"job-" + std::to_string(last_job_++)};
        body.queue.name = "q";
        body.queue.service = service_id{"desk"};
        body.queue.max_attempts = 3;
        body.queue.latency = seconds{1};
        body.submitted = wall_;
        for (auto steps = long_running ? 1 : draw(1, 2); steps > 0; --steps) {
            auto step =
                make_step(static_cast<std::uint32_t>(draw(1, 6)), draw(2, 6), draw_span(300, 2700));
            step.long_running = long_running;
            if (!body.spec.steps.empty())
                step.after = {0};
            body.spec.steps.push_back(step);
        }
        auto& job = jobs_[body.id];
        job.at = now_;
        job.spec = body.spec;
        job.crashes = !long_running && chance(options_.crashing_job_percent);
        job.fails = !long_running && options_.failing_job_percent > 0 &&
                    chance(options_.failing_job_percent);
        // The caller resends until the job is accepted, so the submission does not get lost.
        apply(std::move(body));
        if (!long_running)
            ++(job.crashes ? counts_.crashing_jobs : counts_.sound_jobs);
    }

    void cancel_any_job()
    {
        const auto chosen =
            std::next(jobs_.begin(), draw(0, static_cast<std::int64_t>(jobs_.size()) - 1));
        const auto& id = chosen->first;
        auto& job = chosen->second;
        if (job.cancelled || ledger_.jobs.at(id).phase != wire::job_phase::open ||
            ledger_.jobs.at(id).spec.steps.front().long_running)
            return;
        --(job.crashes ? counts_.crashing_jobs : counts_.sound_jobs);
        cancel(id);
    }

    void cancel(const submission_id& id)
    {
        ++counts_.cancels;
        auto& job = jobs_.at(id);
        job.cancelled = true;
        job.counted = true;
        job.cancelled_at = now_;
        if (!term_active_ || options_.processor_share <= 0)
            job.cancel_known_at = now_;
        apply(wire::cancel_job{id, wall_});
    }

    /** Compares what callers are told of the jobs with what the workers have done. */
    void check_counts()
    {
        if (!term_active_)
            return;
        std::uint64_t waiting = 0;
        for (const auto& [id, job] : jobs_) {
            const bool is_open = ledger_.jobs.at(id).phase == wire::job_phase::open;
            if (!is_open || job.begun)
                continue;
            waiting += now_ - job.at >= counted_after ? 1 : 0;
            counts_.premature_starts += has_started(state_, id) ? 1 : 0;
        }
        counts_.low_counts += 2 * jobs_waiting(state_, "q") < waiting ? 1 : 0;
    }

    void count_ended_jobs()
    {
        for (auto& [id, job] : jobs_) {
            const auto phase = ledger_.jobs.at(id).phase;
            if (job.counted || phase == wire::job_phase::open)
                continue;
            job.counted = true;
            const bool failed = phase == wire::job_phase::failed;
            if (job.crashes)
                counts_.crashing_jobs_failed += failed ? 1 : 0;
            else {
                counts_.sound_jobs_failed += failed ? 1 : 0;
                counts_.sound_jobs_succeeded += failed ? 0 : 1;
                counts_.sound_job_seconds +=
                    failed ? 0 : std::chrono::duration<double>(now_ - job.at).count();
            }
        }
    }

    // The ledger.

    void apply(wire::command body)
    {
        ledger::applied_change change;
        const wire::command_request request{request_id{"r" + std::to_string(++index_)},
                                            std::move(body)};
        ledger::apply_command(ledger_, request, log_index{index_}, change);
        if (!term_active_)
            return;
        for (const auto& id : change.jobs) {
            if (options_.processor_share > 0)
                changed_jobs_.push_back(id);
            else
                on_job_record(state_, ledger_.jobs.at(id), now_);
        }
        if (change.workers) {
            for (const auto& [id, record] : ledger_.workers)
                admit_worker(state_, id);
        }
    }

    void submit_command(wire::command body, std::function<void()> applied)
    {
        pending_.push_back({now_ + commit_span, std::move(body), std::move(applied)});
    }

    void commit()
    {
        while (!pending_.empty() && now_ >= pending_.front().due && !is_busy()) {
            charge(processor_time::ledger_change);
            auto command = std::move(pending_.front());
            pending_.pop_front();
            apply(std::move(command.body));
            // The leader handles changes in order, each before its request is answered.
            while (!changed_jobs_.empty())
                apply_first_changed_job();
            if (term_active_)
                command.applied();
        }
    }

    // The leader.

    void begin_term()
    {
        term_active_ = true;
        ++generation_;
        pending_.clear();
        recording_.clear();
        queues_.clear();
        for (const auto& id : std::exchange(changed_jobs_, {})) {
            auto& job = jobs_.at(id);
            if (job.cancelled)
                job.cancel_known_at = std::min(job.cancel_known_at, now_);
        }
        processor_ = {options_.processor_share, now_};
        last_heartbeat_ = now_;
        next_tick_ = now_;
        timing_ = {};
        timing_.last_pass = now_;
        // Each worker stands for several.
        timing_.limits.examined /= static_cast<std::uint64_t>(options_.fleet_multiple);
        if (std::exchange(lost_by_fault_, false))
            recovered_at_ = now_;
        state_ = take_over(ledger_.jobs, ledger_.workers, settings_, now_, wall_);
        for (const auto& [id, announced] : announcements_) {
            if (!announced.over)
                apply_announcement(announced.presence);
        }
    }

    void announce()
    {
        for (auto& worker : fleet_) {
            if (!is_reachable(worker) || now_ < worker.next_announcement)
                continue;
            worker.next_announcement = now_ + announcement_interval;
            ++worker.announcement.sequence;
            if (record_announcement(announcements_, worker.announcement, now_) !=
                announcement_effect::outdated)
                apply_announcement(worker.announcement);
        }
    }

    void apply_announcement(const wire::worker_presence& presence)
    {
        if (!term_active_ || presence.left)
            return;
        on_worker_announcement(state_, presence);
        for (const auto& earlier : earlier_lives(state_, presence.worker.id))
            retire(earlier, presence.worker.id);
        if (!ledger_.workers.contains(presence.worker.id))
            submit_command(wire::record_workers{{presence.worker}, {}}, [] {});
    }

    /** Another worker or the next life responded: the worker that was addressed has crashed. */
    void retire(const worker_id& id, const worker_id& next)
    {
        wire::record_crash crash;
        crash.worker = id;
        crash.items = on_worker_crash(state_, id, next, now_);
        crash.now = wall_;
        const auto items = crash.items;
        queues_.erase(id);
        submit_command(std::move(crash), [this, items] { on_crash_recorded(state_, items); });
        const auto announced = announcements_.find(id);
        if (announced != announcements_.end())
            announced->second.over = true;
        submit_command(wire::record_workers{{}, {id}}, [] {});
    }

    void exchange_with_workers()
    {
        if (!term_active_)
            return;
        std::vector<worker_id> known;
        for (const auto& [id, worker] : state_.workers) {
            if (worker.admitted)
                known.push_back(id);
        }
        // Goes on after the worker that was polled last when the leader became busy.
        if (options_.processor_share > 0)
            std::rotate(known.begin(), std::upper_bound(known.begin(), known.end(), last_polled_),
                        known.end());
        for (const auto& id : known) {
            if (is_busy())
                return;
            auto& worker = fleet_[index_of_.at(id)];
            if (now_ < worker.next_poll || recording_.contains(id))
                continue;
            if (!is_reachable(worker)) {
                record_contact_loss(state_, id, now_, false);
                continue;
            }
            const auto& present = worker.announcement.worker.id;
            if (present != id) {
                forget_acknowledged(worker, id);
                retire(id, accepts_commands_to(worker, id) ? present : worker_id{});
                continue;
            }
            if (options_.lost_poll_percent > 0 && chance(options_.lost_poll_percent)) {
                worker.next_poll = now_ + command_timeout;
                record_contact_loss(state_, id, now_, false);
                continue;
            }
            worker.next_poll = now_ + poll_interval;
            last_polled_ = id;
            charge(processor_time::report);
            poll(worker, id);
            timing_.wanted = true;
            if (options_.processor_share > 0)
                send_due_commands();
        }
    }

    /** The worker forgets the completions that the leader has read from the addressed life. */
    void forget_acknowledged(simulated_job_worker& worker, const worker_id& id)
    {
        const auto acknowledged = state_.workers.at(id).completions_acknowledged;
        std::erase_if(worker.ended, [&](const auto& ended) {
            if (ended.number > acknowledged)
                return false;
            // After the lease has expired the task may rightly have been started again.
            const auto ended_at = worker.ended_at.at(ended.number);
            if (ended.outcome == run_outcome::succeeded && worker.lapsed_at < ended_at) {
                auto& history = history_[ended.task];
                counts_.doubled_starts += history.last_start > ended_at ? 1 : 0;
                history.success_recorded = true;
            }
            return true;
        });
    }

    void poll(simulated_job_worker& worker, const worker_id& id)
    {
        if (may_extend_lease(state_, id)) {
            extend_lease(state_, id, now_);
            worker.lease_until = now_ + lease;
        }
        worker.token = generation_;
        forget_acknowledged(worker, id);
        worker_report report;
        const auto most = options_.max_listed_ends;
        report.complete = most == 0 || worker.ended.size() < most;
        report.ended = worker.ended;
        if (!report.complete)
            report.ended.resize(most);
        counts_.incomplete_reports += report.complete ? 0 : 1;
        for (const auto& [ref, run] : worker.runs)
            report.running.push_back({ref, run.number, "", 50, 0});
        record_reply(state_, id, now_);
        auto items = on_worker_report(state_, id, report, now_, now_);
        if (items.empty())
            return;
        recording_.insert(id);
        wire::record_completions completions;
        completions.items = items;
        completions.now = wall_;
        const auto read = state_.workers.at(id).completions_read;
        submit_command(std::move(completions), [this, id, items, read] {
            recording_.erase(id);
            on_completions_recorded(state_, items);
            acknowledge_completions(state_, id, read);
        });
    }

    // A leader whose work takes time.

    /** The leader may use its time until the end of the current step. */
    [[nodiscard]] bool is_busy() const { return processor_.busy_until >= now_ + step_span; }

    void charge(std::chrono::nanoseconds work) { charge_work(processor_, work, now_); }

    void lead()
    {
        commit();
        exchange_with_workers();
        pass();
        advance_command_queues();
    }

    /** The same as one thread does it: each kind of event in turn, nothing while it is busy. */
    void lead_with_limited_processor()
    {
        if (!term_active_)
            return;
        const auto heartbeat_pause = now_ - last_heartbeat_;
        counts_.longest_heartbeat_pause =
            std::max(counts_.longest_heartbeat_pause, heartbeat_pause);
        if (heartbeat_pause > election_timeout) {
            ++counts_.leaders_lost_while_busy;
            term_active_ = false;
            next_term_at_ = now_ + draw_span(300, 1500);
            return;
        }
        constexpr int kinds = 6;
        for (int turn = 0; turn < kinds && !is_busy(); ++turn) {
            next_kind_ = (next_kind_ + 1) % kinds;
            handle_events(next_kind_);
        }
    }

    void handle_events(int kind)
    {
        switch (kind) {
        case 0:
            return tick();
        case 1:
            return commit();
        case 2:
            return apply_changed_jobs();
        case 3:
            return exchange_with_workers();
        case 4:
            return advance_command_queues();
        default:
            return run_slice_if_due();
        }
    }

    void tick()
    {
        if (now_ - last_heartbeat_ >= heartbeat_interval)
            last_heartbeat_ = now_;
        if (now_ < next_tick_)
            return;
        next_tick_ = now_ + tick_interval;
        timing_.wanted = true;
        send_due_commands();
    }

    void apply_changed_jobs()
    {
        if (changed_jobs_.empty())
            return;
        while (!changed_jobs_.empty() && !is_busy()) {
            charge(processor_time::ledger_change);
            apply_first_changed_job();
        }
        send_due_commands();
    }

    void apply_first_changed_job()
    {
        const auto id = changed_jobs_.front();
        changed_jobs_.pop_front();
        auto& job = jobs_.at(id);
        if (job.cancelled)
            job.cancel_known_at = std::min(job.cancel_known_at, now_);
        on_job_record(state_, ledger_.jobs.at(id), now_);
        timing_.wanted = true;
    }

    void run_slice_if_due()
    {
        const auto due = next_slice_at(state_, timing_);
        if (!due || now_ < *due)
            return;
        const auto before = state_.counts;
        const auto slice = run_slice(state_, timing_, now_, wall_);
        charge_slice(before);
        for (const auto& command : slice.starts)
            send_planned_start(command);
        send_due_commands();
        const auto ended = std::max(now_, processor_.busy_until);
        record_slice_time(timing_, now_, ended);
        if (slice.ends_pass)
            record_pass_end(timing_, ended);
    }

    /** Charges the work of the slice since these counts. */
    void charge_slice(const job_counts& before)
    {
        const auto& counts = state_.counts;
        const auto fleet =
            options_.fleet_multiple * static_cast<std::int64_t>(state_.workers.size());
        if (counts.passes > before.passes)
            charge(processor_time::begun_pass *
                   (fleet + static_cast<std::int64_t>(state_.jobs.size())));
        charge(processor_time::slice * fleet);
        charge(processor_time::waiting_task *
               static_cast<std::int64_t>(counts.examined_tasks - before.examined_tasks));
        charge(processor_time::candidate * options_.fleet_multiple *
               static_cast<std::int64_t>(counts.candidates - before.candidates));
    }

    void send_due_commands()
    {
        expire_leases(state_, now_);
        for (const auto& command : plan_stops(state_, now_))
            send_stop(command);
    }

    void pass()
    {
        if (!term_active_)
            return;
        send_due_commands();
        send_planned_starts();
    }

    void send_planned_starts()
    {
        for (const auto& command : plan_starts(state_, now_, wall_))
            send_planned_start(command);
    }

    void send_planned_start(const start_command& command)
    {
        if (!command.suspect)
            return send_start(command);
        submit_command(wire::record_suspect_start{command.task, command.run, command.worker},
                       [this, command] { send_start(command); });
    }

    /** Counts the first stop of a run that arrives. */
    void note_stop(simulated_job_worker& worker, const stop_command& command)
    {
        const auto run = worker.runs.find(command.task);
        const auto& job = jobs_.at(command.task.job);
        if (run == worker.runs.end() || run->second.number != command.run || !job.cancelled ||
            std::exchange(run->second.stop_arrived, true))
            return;
        counts_.orphan_stops += command.cause == stop_cause::orphan ? 1 : 0;
        const bool is_bad = ignores_stops(index_of_.at(worker.announcement.worker.id));
        if (!is_bad && job.cancelled_at >= recovered_at_ && !lost_by_fault_)
            counts_.stop_delays.push_back(now_ - std::max(job.cancelled_at, run->second.began_at));
    }

    void execute(simulated_job_worker& worker, const stop_command& command)
    {
        auto& highest = worker.highest_runs[command.task];
        highest = std::max(highest, command.run);
        const auto run = worker.runs.find(command.task);
        if (run == worker.runs.end() || run->second.number != command.run)
            return;
        run->second.ends_at = now_ + stop_span;
        run->second.outcome = run_outcome::stopped;
    }

    void send_stop(const stop_command& command)
    {
        if (options_.commands_wait)
            return queue(command, &command_queue::stops);
        auto& worker = fleet_[index_of_.at(command.worker)];
        if (!is_reachable(worker) || !accepts_commands_to(worker, command.worker))
            return on_stop_result(state_, command, command_result::none, now_);
        execute(worker, command);
        on_stop_result(state_, command, command_result::accepted, now_);
    }

    void send_start(const start_command& command)
    {
        if (options_.commands_wait)
            return queue(command, &command_queue::starts);
        if (const auto reason = reason_to_drop(state_, command))
            return drop_start(state_, command, *reason, now_);
        on_start_sent(state_, command, now_);
        auto& worker = fleet_[index_of_.at(command.worker)];
        if (!is_reachable(worker) || !accepts_commands_to(worker, command.worker))
            return on_start_result(state_, command, command_result::none, now_);
        extend_lease(state_, command.worker, now_);
        if (chance(2)) {
            const auto due = now_ + draw_span(0, 4000);
            late_starts_.push_back({due, command, now_, due + lease, generation_});
            return on_start_result(state_, command, command_result::none, now_);
        }
        worker.lease_until = now_ + lease;
        on_start_result(state_, command, execute(worker, command, now_), now_);
    }

    /** A leader whose work takes time sends the first command to a worker at once. */
    template <class Command>
    void queue(const Command& command, std::deque<Command> command_queue::*commands)
    {
        auto& queue = queues_[command.worker];
        const bool is_idle =
            queue.starts.empty() && queue.stops.empty() && now_ >= queue.busy_until;
        (queue.*commands).push_back(command);
        if (options_.processor_share <= 0 || !is_idle || queue.on_timeout)
            return;
        charge(processor_time::command);
        send_first(queue);
    }

    void advance_command_queues()
    {
        if (!term_active_)
            return;
        for (auto& [id, queue] : queues_) {
            if (is_busy())
                return;
            if (now_ < queue.busy_until)
                continue;
            if (const auto on_timeout = std::exchange(queue.on_timeout, nullptr)) {
                on_timeout();
                for (const auto& command : std::exchange(queue.starts, {}))
                    drop_start(state_, command, drop_reason::unanswered, now_);
            }
            while (now_ >= queue.busy_until && !is_busy() &&
                   !(queue.stops.empty() && queue.starts.empty())) {
                charge(processor_time::command);
                send_first(queue);
            }
        }
    }

    void send_first(command_queue& queue)
    {
        if (!queue.stops.empty()) {
            const auto command = queue.stops.front();
            queue.stops.pop_front();
            if (!is_due(state_, command))
                return;
            auto& worker = fleet_[index_of_.at(command.worker)];
            const bool reaches =
                is_reachable(worker) && accepts_commands_to(worker, command.worker);
            const bool late = reaches && chance(options_.late_command_percent);
            if (late)
                late_stops_.push_back({now_ + draw_late(), command, generation_});
            if (reaches)
                note_stop(worker, command);
            const auto index = index_of_.at(command.worker);
            const bool mute = options_.bad_input && index == mute_worker;
            counts_.unanswered_stops += mute ? 1 : 0;
            if (!reaches || late || mute)
                return wait_for_timeout(queue, command, on_stop_result);
            if (options_.bad_input && index == refusing_worker) {
                ++counts_.refused_stops;
                return on_stop_result(state_, command, command_result::refused, now_);
            }
            execute(worker, command);
            return on_stop_result(state_, command, command_result::accepted, now_);
        }
        const auto command = queue.starts.front();
        queue.starts.pop_front();
        if (const auto reason = reason_to_drop(state_, command))
            return drop_start(state_, command, *reason, now_);
        on_start_sent(state_, command, now_);
        extend_lease(state_, command.worker, now_);
        auto& worker = fleet_[index_of_.at(command.worker)];
        const bool reaches = is_reachable(worker) && accepts_commands_to(worker, command.worker);
        const bool late = reaches && chance(options_.late_command_percent);
        if (late)
            late_starts_.push_back({now_ + draw_late(), command, now_, now_ + lease, generation_});
        if (!reaches || late)
            return wait_for_timeout(queue, command, on_start_result);
        worker.lease_until = std::max(worker.lease_until, now_ + lease);
        on_start_result(state_, command, execute(worker, command, now_), now_);
    }

    duration draw_late()
    {
        ++counts_.late_commands;
        return draw_span(2000, 12'000);
    }

    /** Nothing is sent to the worker until the command times out. */
    template <class Command>
    void wait_for_timeout(command_queue& queue, const Command& command,
                          void (*on_result)(job_scheduler&, const Command&, command_result,
                                            time_point))
    {
        queue.busy_until = now_ + command_timeout;
        queue.on_timeout = [this, command, on_result] {
            on_result(state_, command, command_result::none, now_);
        };
    }

    job_fault_options options_;
    job_fault_counts counts_;
    std::mt19937_64 random_;
    job_settings settings_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};
    std::vector<simulated_job_worker> fleet_;
    std::map<worker_id, std::size_t> index_of_;
    std::size_t last_worker_{0};
    std::map<submission_id, submitted_job> jobs_;
    std::size_t last_job_{0};
    std::map<wire::task_ref, task_history> history_;
    ledger::ledger_state ledger_;
    std::uint64_t index_{0};
    std::deque<pending_command> pending_;
    std::vector<late_start> late_starts_;
    std::vector<late_stop> late_stops_;
    std::map<worker_id, command_queue> queues_;
    announced_workers announcements_;
    job_scheduler state_;
    /** Workers whose completions are being recorded; they are not polled meanwhile. */
    std::set<worker_id> recording_;
    bool term_active_{false};
    std::uint64_t generation_{0};
    time_point next_term_at_;
    time_point paused_until_;
    const time_point began_at_{now_};
    /** The current loss of the leader is a fault, and when the latest one was over. */
    bool lost_by_fault_{false};
    time_point recovered_at_;
    leader_processor processor_;
    /** Jobs whose records the leader has not handled. */
    std::deque<submission_id> changed_jobs_;
    int next_kind_{0};
    worker_id last_polled_;
    time_point last_heartbeat_;
    time_point next_tick_;
    pass_timing timing_;
    std::deque<submission_id> short_jobs_;
    std::vector<submission_id> late_jobs_;
};

} // namespace

job_fault_options listed_ends_options(std::uint64_t seed)
{
    job_fault_options options;
    options.seed = seed;
    options.workers = 8;
    options.max_listed_ends = 2;
    options.leader_losses_per_minute = 10;
    options.leader_pauses_per_minute = 20;
    options.lost_poll_percent = 5;
    options.failing_job_percent = 40;
    return options;
}

job_fault_options late_command_options(std::uint64_t seed)
{
    job_fault_options options;
    options.seed = seed;
    options.commands_wait = true;
    options.late_command_percent = seed % 2 == 0 ? 10 : 60;
    options.partitions_per_minute = 20;
    options.leader_losses_per_minute = 3;
    options.cancels_per_minute = 30;
    return options;
}

job_fault_options bad_input_options(std::uint64_t seed, double processor_share)
{
    job_fault_options options;
    options.seed = seed;
    options.workers = 24;
    options.seconds = 12;
    options.settling_seconds = 4;
    options.commands_wait = true;
    options.processor_share = processor_share;
    options.fleet_multiple = 20;
    options.bad_input = true;
    return options;
}

duration quantile(std::vector<duration> delays, int percent)
{
    if (delays.empty())
        return {};
    std::sort(delays.begin(), delays.end());
    return delays[(delays.size() - 1) * static_cast<std::size_t>(percent) / 100];
}

job_fault_counts run_job_fault_simulation(const job_fault_options& options)
{
    return job_fault_simulation{options}.run();
}

} // namespace galenaturn::schedule
