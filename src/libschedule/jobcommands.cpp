#include "colocationtrial.h"
#include "jobplacement.h"
#include "jobpriority.h"
#include "jobruns.h"
#include "workercrashes.h"
#include "workerlives.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace galenaturn::schedule {

namespace {

/** Minimum time between preemptions for a job: what was stopped before has to end first. */
constexpr duration preemption_interval = std::chrono::milliseconds{100};

/**
 * A job of which nothing has run for this time may start slowed where its service has idle
 * capacity, so that interference does not keep it waiting for long.
 */
constexpr duration max_wait_for_full_speed = std::chrono::milliseconds{1500};
/** Minimum time between runs that oversubscribe a worker below full speed. */
constexpr duration oversubscription_interval = std::chrono::milliseconds{100};
/** Time before the end of a lease at which workers are reserved for the suspects it lets go. */
constexpr duration reservation_lead = crash_window * 3 / 2;
/** A service has idle capacity while less than this share of its processors is reserved. */
constexpr std::int64_t max_reserved_percent_of_idle_service = 60;

struct pass_slice {
    job_scheduler& state;
    time_point now;
    wall_time wall;
    placement_index& candidates;
    slice_limits limits;
    std::vector<start_command> commands;
    /** The job being placed is starving, and none of its tasks has been placed in this slice. */
    bool starving{false};
    /** Computed when it is first needed. */
    std::optional<std::set<service_id>> idle_services;
    /** Tasks examined, and the workers that had been examined before. */
    std::uint64_t tasks{0};
    std::uint64_t workers_before{0};
};

/** Returns whether the slice has done as much as it may. */
bool is_used_up(const pass_slice& slice)
{
    const auto workers = slice.state.counts.candidates - slice.workers_before;
    return slice.commands.size() >= slice.limits.starts ||
           (slice.tasks > 0 && slice.tasks + workers >= slice.limits.examined);
}

void count_tasks(pass_slice& slice, std::uint64_t tasks)
{
    slice.tasks += tasks;
    slice.state.counts.examined_tasks += tasks;
}

/** Returns the services of which a large part of the processors is not reserved. */
std::set<service_id> services_with_idle_capacity(const job_scheduler& state)
{
    std::map<service_id, resources> reserved;
    std::map<service_id, resources> capacity;
    for (const auto& [id, worker] : state.workers) {
        reserved[worker.record.service] += worker.reserved;
        capacity[worker.record.service] += worker.record.capacity;
    }
    std::set<service_id> idle;
    for (const auto& [service, sum] : reserved) {
        if (sum.processors.value() * 100 <
            capacity[service].processors.value() * max_reserved_percent_of_idle_service)
            idle.insert(service);
    }
    return idle;
}

void start_run(pass_slice& slice, open_job& job, const wire::task_ref& ref, open_task& task,
               job_worker& worker, std::uint32_t run_number,
               std::uint32_t pace_percent = full_pace_percent)
{
    task_run run;
    run.pace_percent = pace_percent;
    run.claimed_percent = pace_percent;
    run.number = run_number;
    run.worker = worker.record.id;
    const auto& step = job.spec.steps[ref.step];
    set_demand(run, step);
    run.phase_since = slice.now;
    run.commanded_at = slice.now;
    run.progressed_at = slice.now;
    // A placement that the forecast does not allow is a trial, made to learn how the images
    // interfere.
    const bool is_slowed = pace_percent < full_pace_percent;
    const bool is_trial = !is_slowed && run.best_effort_processors.value() > 0 &&
                          !worker.serving_images.empty() && !keeps_tail_targets(worker, step);
    if (is_trial) {
        const auto harm = expected_trial_harm(slice.state, worker, step, slice.now);
        begin_trial(slice.state, worker, step, harm.value_or(0), slice.now);
        ++slice.state.counts.trials;
    }
    slice.state.counts.slowed_starts += is_slowed ? 1 : 0;
    job.unplaced_since.reset();
    begin_run(slice.state, ref, task, std::move(run));
    ++slice.state.counts.planned;
    slice.commands.push_back({ref, run_number, worker.record.id, job.spec.text, task.checkpoint,
                              is_suspect(task), slice.now});
}

bool has_runs(const open_job& job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(),
                       [](const auto& task) { return task.run || task.recording > 0; });
}

/**
 * Returns whether the job is past its latest useful completion and has no run. Such a job may
 * oversubscribe a worker.
 */
bool is_starving(const open_job& job, time_point now)
{
    return now >= job.latest_useful_completion && !has_runs(job);
}

/** Returns whether the job may start a best-effort task below full speed. */
bool may_start_slowed(pass_slice& slice, open_job& job)
{
    if (has_runs(job))
        return false;
    if (!job.unplaced_since)
        job.unplaced_since = slice.now;
    if (slice.now - *job.unplaced_since < max_wait_for_full_speed)
        return false;
    if (!slice.idle_services)
        slice.idle_services = services_with_idle_capacity(slice.state);
    return slice.idle_services->contains(job.queue.service);
}

/** Starts a best-effort task below full speed. Returns whether a worker can run it. */
bool start_slowed(pass_slice& slice, open_job& job, const wire::task_ref& ref, open_task& task,
                  bool oversubscribe)
{
    const placement_request request{&job,          ref,  &job.spec.steps[ref.step], {},
                                    oversubscribe, true, is_suspect(task)};
    const auto placement =
        choose_worker_for_slowed_run(slice.state, slice.candidates, request, slice.now);
    if (placement.worker == nullptr)
        return false;
    start_run(slice, job, ref, task, *placement.worker, task.last_run + 1, placement.pace_percent);
    if (request.suspect)
        isolate(*placement.worker, job.id, slice.now);
    slice.starving = false;
    return true;
}

/** Reserves a worker for a suspect that finds none without recent starts of others. */
void wait_for_others(pass_slice& slice, placement_request request)
{
    auto& state = slice.state;
    request.waits_for_others = true;
    const bool may_risk = !std::exchange(request.only_isolated, true);
    const auto& job = request.job->id;
    if (!may_risk || (has_isolated_worker(state, job, slice.now) &&
                      choose_worker(state, slice.candidates, request, slice.now) != nullptr))
        return;
    request.only_isolated = false;
    if (auto* worker = choose_worker(state, slice.candidates, request, slice.now))
        reserve_for_suspect(*worker, job, slice.now);
}

/** Reserves workers for the runs on silent workers that soon have to start again as suspects. */
void reserve_before_leases_expire(pass_slice& slice)
{
    for (const auto& [id, worker] : slice.state.workers) {
        const auto left = worker.lease_expires_at - slice.now;
        if (!worker.lost || left < duration::zero() || left > reservation_lead)
            continue;
        for (const auto& item : crash_items(slice.state, worker)) {
            const auto& job = slice.state.jobs.at(item.task.job);
            const auto& step = job.spec.steps[item.task.step];
            if (item.suspicion == wire::crash_suspicion::cleared || step.gang || job.ending)
                continue;
            const auto& run = *find_task(slice.state, item.task)->run;
            if (next_life_may_run(slice.state, worker, run, worker.lease_expires_at))
                continue;
            const bool only_isolated = !may_risk_worker(slice.state, slice.now);
            wait_for_others(slice, {&job, item.task, &step, {}, false, false, true, only_isolated});
        }
    }
}

/** Returns whether further tasks of the step are worth placing in this slice. */
bool start_task(pass_slice& slice, open_job& job, const wire::task_ref& ref, open_task& task)
{
    const auto& step = job.spec.steps[ref.step];
    if (!needs_run(task))
        return true;
    const bool suspect = is_suspect(task);
    const bool only_isolated = suspect && !may_risk_worker(slice.state, slice.now);
    if (only_isolated && !has_isolated_worker(slice.state, job.id, slice.now))
        return true;
    const placement_request request{&job,           ref,   &step,   {},
                                    slice.starving, false, suspect, only_isolated};
    auto* worker = choose_worker(slice.state, slice.candidates, request, slice.now);
    if (worker == nullptr) {
        if (suspect)
            wait_for_others(slice, request);
        if (step.long_running && job.last_preemption + preemption_interval <= slice.now) {
            job.last_preemption = slice.now;
            preempt_best_effort(slice.state, request, slice.now);
        }
        // Other tasks of the step may start beside tasks that have just started.
        if (only_isolated || !step.best_effort || !may_start_slowed(slice, job))
            return suspect;
        if (start_slowed(slice, job, ref, task, false))
            return true;
        slice.state.pass.unplaced.push_back({*job.unplaced_since, ref});
        // The others need no worker without recent starts.
        return suspect;
    }
    start_run(slice, job, ref, task, *worker, task.last_run + 1);
    if (suspect)
        isolate(*worker, job.id, slice.now);
    slice.starving = false;
    return true;
}

/** What reserve_gang does with the workers that it has found. */
enum class gang_use { start, wait_for_others };

/** Reserves a worker for every member of the gang, or for none. */
bool reserve_gang(pass_slice& slice, open_job& job, const wire::task_ref& first,
                  std::size_t position, const rack_id& rack, gang_use use)
{
    const auto& step = job.spec.steps[first.step];
    std::uint32_t run_number = 0;
    std::string checkpoint;
    std::uint32_t checkpoint_run = 0;
    bool suspect = false;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const auto& member = job.tasks[position + index];
        suspect = suspect || is_suspect(member);
        run_number = std::max(run_number, member.last_run + 1);
        // All members start from one checkpoint.
        if (!member.checkpoint.empty() &&
            (checkpoint.empty() || member.checkpoint_run > checkpoint_run)) {
            checkpoint = member.checkpoint;
            checkpoint_run = member.checkpoint_run;
        }
    }
    const auto commands_before = slice.commands.size();
    std::vector<std::pair<job_worker*, recent_starts>> starts_before;
    const bool waits = use == gang_use::wait_for_others;
    const auto take_back = [&] {
        auto ref = first;
        for (std::uint32_t placed = 0; placed < starts_before.size(); ++placed) {
            ref.index = placed;
            clear_run(slice.state, ref, job.tasks[position + placed]);
        }
        while (!starts_before.empty()) {
            auto& worker_before = *starts_before.back().first;
            worker_before.starts = starts_before.back().second;
            restore_bounds(slice.state, slice.candidates, step, worker_before, slice.now);
            starts_before.pop_back();
        }
        slice.commands.resize(commands_before);
    };
    for (std::uint32_t index = 0; index < step.count; ++index) {
        auto ref = first;
        ref.index = index;
        auto& member = job.tasks[position + index];
        member.checkpoint = checkpoint;
        member.checkpoint_run = checkpoint_run;
        const placement_request request{&job,  ref,     &step, rack, false,
                                        false, suspect, false, waits};
        auto* worker = choose_worker(slice.state, slice.candidates, request, slice.now);
        if (worker != nullptr) {
            starts_before.emplace_back(worker, worker->starts);
            start_run(slice, job, ref, member, *worker, run_number);
            continue;
        }
        take_back();
        return false;
    }
    if (waits) {
        for (const auto& entry : starts_before)
            reserve_for_suspect(*entry.first, job.id, slice.now);
        take_back();
        return true;
    }
    if (suspect) {
        for (const auto& entry : starts_before)
            isolate(*entry.first, job.id, slice.now);
    }
    return true;
}

void start_gang(pass_slice& slice, open_job& job, const wire::task_ref& first, std::size_t position)
{
    const auto& step = job.spec.steps[first.step];
    const auto members = job.tasks.begin() + static_cast<std::ptrdiff_t>(position);
    if (!std::all_of(members, members + step.count, needs_run))
        return;
    std::set<rack_id> racks{rack_id{}};
    if (step.one_rack) {
        racks.clear();
        for (const auto& [id, worker] : slice.state.workers)
            racks.insert(worker.record.rack);
    }
    const auto reserve_somewhere = [&](gang_use use) {
        if (!step.data_rack.empty() &&
            reserve_gang(slice, job, first, position, step.data_rack, use))
            return true;
        return std::any_of(racks.begin(), racks.end(), [&](const auto& rack) {
            return reserve_gang(slice, job, first, position, rack, use);
        });
    };
    if (reserve_somewhere(gang_use::start) ||
        !std::any_of(members, members + step.count, is_suspect))
        return;
    if (may_risk_worker(slice.state, slice.now) &&
        !has_isolated_worker(slice.state, job.id, slice.now))
        reserve_somewhere(gang_use::wait_for_others);
}

/** Starts tasks of the step at the position. Returns false where the slice is used up before. */
bool start_step(pass_slice& slice, open_job& job, task_position& position)
{
    const auto& spec = job.spec;
    const auto index = std::size_t{position.occurrence} * spec.steps.size() + position.step;
    if (job.remaining_tasks[index] == 0 || !is_ready(job, position.occurrence, position.step))
        return true;
    wire::task_ref ref{job.id, position.occurrence, position.step, 0};
    const auto first = *wire::position_of(spec, ref);
    if (is_used_up(slice))
        return false;
    if (spec.steps[position.step].gang) {
        count_tasks(slice, spec.steps[position.step].count);
        start_gang(slice, job, ref, first);
        return true;
    }
    for (ref.index = position.index; ref.index < spec.steps[position.step].count; ++ref.index) {
        position.index = ref.index;
        if (is_used_up(slice))
            return false;
        count_tasks(slice, needs_run(job.tasks[first + ref.index]) ? 1 : 0);
        if (!start_task(slice, job, ref, job.tasks[first + ref.index]))
            return true;
    }
    return true;
}

/** Starts ready tasks from the position on. Returns false where the slice is used up before. */
bool start_ready_tasks(pass_slice& slice, open_job& job, task_position& position)
{
    slice.starving = is_starving(job, slice.now);
    for (; position.occurrence < wire::occurrences_of(job.spec); ++position.occurrence) {
        if (job.spec.schedule.occurrences > 0 && slice.wall < due_at(job.spec, position.occurrence))
            return true;
        for (; position.step < job.spec.steps.size(); ++position.step) {
            if (!start_step(slice, job, position))
                return false;
            position.index = 0;
        }
        position.step = 0;
    }
    return true;
}

/** Sorts the waiting tasks the first time, so that a later slice continues where one ended. */
void sort_unplaced(starts_pass& pass)
{
    if (std::exchange(pass.unplaced_sorted, true))
        return;
    std::stable_sort(
        pass.unplaced.begin(), pass.unplaced.end(),
        [](const auto& first, const auto& second) { return first.since < second.since; });
}

/**
 * Lets the job that has waited longest oversubscribe a worker. One at a time, because the runs
 * beside it get slower. Returns false where the slice is used up before.
 */
bool start_longest_waiting(pass_slice& slice)
{
    auto& pass = slice.state.pass;
    if (slice.now - slice.state.last_oversubscription < oversubscription_interval)
        return true;
    sort_unplaced(pass);
    for (; pass.next_unplaced < pass.unplaced.size(); ++pass.next_unplaced) {
        if (is_used_up(slice))
            return false;
        count_tasks(slice, 1);
        const auto& ref = pass.unplaced[pass.next_unplaced].ref;
        auto* job = find_job(slice.state, ref.job);
        if (job == nullptr || job->ending)
            continue;
        auto& task = *find_task(slice.state, ref);
        // Another task of the job may have started since in this pass.
        if (!needs_run(task) || has_runs(*job) || !start_slowed(slice, *job, ref, task, true))
            continue;
        slice.state.last_oversubscription = slice.now;
        return true;
    }
    return true;
}

/** Returns whether an image of the worker was observed for the first time since its forecast. */
bool has_new_estimate(const job_scheduler& state, const job_worker& worker)
{
    return std::any_of(worker.tail_forecasts.begin(), worker.tail_forecasts.end(),
                       [&](const auto& entry) {
                           return entry.second.estimate == nullptr &&
                                  find_estimate(state.interference, entry.first) != nullptr;
                       });
}

/** Updates the tail forecasts of the workers that have changed since the last slice. */
void update_changed_forecasts(job_scheduler& state)
{
    state.serving_workers = 0;
    for (auto& [id, worker] : state.workers) {
        state.serving_workers += worker.serving_images.empty() ? 0 : 1;
        if (worker.change > state.last_forecast_change || has_new_estimate(state, worker))
            update_tail_forecasts(state, worker);
    }
    state.last_forecast_change = state.last_change;
}

/** Returns whether all runs started by an earlier leader are known or have certainly ended. */
bool are_inherited_runs_known(job_scheduler& state, time_point now)
{
    if (now >= state.inherited_runs_expire_at)
        state.unread_workers.clear();
    return state.unread_workers.empty();
}

} // namespace

namespace {

/**
 * Places for runs that move from workers that leave. Each place is promised to one run: it counts
 * as reserved as long as this object exists.
 */
class planned_moves {
public:
    planned_moves(job_scheduler& state, time_point now)
        : state_{state}, now_{now}, candidates_{placement_candidates(state, now)}
    {
    }
    planned_moves(const planned_moves&) = delete;
    planned_moves& operator=(const planned_moves&) = delete;
    ~planned_moves()
    {
        for (const auto& [worker, reserved] : promised_) {
            worker->reserved -= reserved;
            // What has failed meanwhile may fit there.
            mark_changed(state_, *worker);
        }
    }

    /** Returns whether another worker can run the task. */
    bool find_place(const wire::task_ref& ref)
    {
        const auto& job = state_.jobs.at(ref.job);
        const auto& step = job.spec.steps[ref.step];
        auto* worker = choose_worker(state_, candidates_, {&job, ref, &step, {}, false}, now_);
        if (worker == nullptr)
            return false;
        worker->reserved += reservation_of(step);
        promised_.emplace_back(worker, reservation_of(step));
        return true;
    }

private:
    job_scheduler& state_;
    time_point now_;
    placement_index candidates_;
    std::vector<std::pair<job_worker*, resources>> promised_;
};

} // namespace

void drain_leaving_workers(job_scheduler& state, time_point now)
{
    std::vector<wire::task_ref> ending;
    std::vector<wire::task_ref> running;
    std::vector<wire::task_ref> moving;
    for (const auto& [id, worker] : state.workers) {
        if (!worker.leaving)
            continue;
        for (const auto& [ref, number] : worker.runs) {
            const auto* task = find_task(state, ref);
            if (task == nullptr)
                continue;
            // A finite task has until the worker leaves; a long-running one moves as soon as
            // another worker can run it.
            const bool moves = state.jobs.at(ref.job).spec.steps[ref.step].long_running;
            if (!moves && !worker.left)
                continue;
            if (task->run->phase == run_phase::running)
                (moves ? running : ending).push_back(ref);
            else if (moves && task->run->cause == stop_cause::worker_leaving)
                moving.push_back(ref);
        }
    }
    // The end of the worker cuts them off without a checkpoint, at a moment that is not known.
    for (const auto& ref : ending)
        stop_run(state, ref, *find_task(state, ref), stop_cause::worker_leaving, now);
    if (running.empty())
        return;
    mark_ended_pauses(state, now);
    planned_moves moves{state, now};
    for (const auto& ref : moving)
        moves.find_place(ref);
    for (const auto& ref : running) {
        if (moves.find_place(ref))
            stop_run(state, ref, *find_task(state, ref), stop_cause::worker_leaving, now);
    }
}

namespace {

/**
 * Returns the priority below which changes are urgent: that of the most urgent queues and of those
 * that the pass has reached.
 */
std::uint32_t urgent_below(const job_scheduler& state)
{
    const auto& pass = state.pass;
    constexpr auto all = std::numeric_limits<std::uint32_t>::max();
    if (pass.turns.empty() || (pass.active && pass.next_turn >= pass.turns.size()))
        return all;
    // The turns are in order, also those of the last pass.
    const auto most_urgent = std::min(pass.turns.front().priority, all - 1) + 1;
    return pass.active ? std::max(most_urgent, pass.turns[pass.next_turn].priority) : most_urgent;
}

/** Returns the changed jobs whose turn comes first, in order of priority and arrival. */
std::vector<open_job*> urgent_jobs(job_scheduler& state)
{
    const auto limit = urgent_below(state);
    std::vector<open_job*> urgent;
    for (const auto& id : state.changed_jobs) {
        auto* job = find_job(state, id);
        if (job != nullptr && !job->ending && job->queue.priority < limit)
            urgent.push_back(job);
    }
    std::sort(urgent.begin(), urgent.end(), [](const auto* first, const auto* second) {
        return std::pair{first->queue.priority, first->arrived} <
               std::pair{second->queue.priority, second->arrived};
    });
    return urgent;
}

/** Gives a turn to the changed jobs that are less urgent than what the pass has reached. */
void add_turns(job_scheduler& state)
{
    auto& pass = state.pass;
    const auto next = pass.turns.begin() + static_cast<std::ptrdiff_t>(pass.next_turn);
    std::set<submission_id> waiting;
    for (auto turn = next; turn != pass.turns.end(); ++turn)
        waiting.insert(turn->id);
    const auto limit = urgent_below(state);
    for (const auto& id : std::exchange(state.changed_jobs, {})) {
        const auto* job = find_job(state, id);
        if (job == nullptr || job->ending)
            continue;
        // Those that did not get their turn in this slice remain urgent.
        if (job->queue.priority < limit) {
            state.changed_jobs.insert(id);
            continue;
        }
        if (waiting.contains(id))
            continue;
        const auto from = pass.turns.begin() + static_cast<std::ptrdiff_t>(pass.next_turn);
        const auto position = std::upper_bound(
            from, pass.turns.end(), job->queue.priority,
            [](std::uint32_t priority, const auto& turn) { return priority < turn.priority; });
        // The turn that a slice has begun keeps its place.
        const auto place = position == from && from != pass.turns.end() ? from + 1 : position;
        pass.turns.insert(place, {job->queue.priority, id});
    }
}

/** Gives the next turn of the pass, if one is under way, to the rest of the job. */
void continue_in_turn(starts_pass& pass, const open_job& job, const task_position& position)
{
    if (!pass.active)
        return;
    const auto next = pass.turns.begin() + static_cast<std::ptrdiff_t>(pass.next_turn);
    pass.turns.insert(next, {job.queue.priority, job.id});
    pass.position = position;
}

/** Places the changed jobs that come first, into all capacity that is free now. */
void place_urgent_jobs(pass_slice& slice)
{
    const bool runs_known = are_inherited_runs_known(slice.state, slice.now);
    for (auto* job : urgent_jobs(slice.state)) {
        if (is_used_up(slice))
            return;
        slice.state.changed_jobs.erase(job->id);
        task_position position;
        if ((!runs_known && job->inherited) || start_ready_tasks(slice, *job, position))
            continue;
        // What is started makes progress, and remains urgent.
        if (slice.commands.size() >= slice.limits.starts)
            slice.state.changed_jobs.insert(job->id);
        else
            continue_in_turn(slice.state.pass, *job, position);
        return;
    }
}

/** Gives the jobs their turns. Returns false where the slice is used up before. */
bool place_in_turn(pass_slice& slice)
{
    auto& pass = slice.state.pass;
    const bool runs_known = are_inherited_runs_known(slice.state, slice.now);
    for (; pass.next_turn < pass.turns.size(); ++pass.next_turn) {
        auto* job = find_job(slice.state, pass.turns[pass.next_turn].id);
        const bool has_turn = job != nullptr && !job->ending && (runs_known || !job->inherited);
        if (has_turn && !start_ready_tasks(slice, *job, pass.position))
            return false;
        pass.position = {};
    }
    return start_longest_waiting(slice);
}

} // namespace

std::vector<start_command> plan_starts(job_scheduler& state, time_point now, wall_time wall)
{
    begin_pass(state, now);
    return continue_pass(
        state, now, wall,
        {std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::size_t>::max()});
}

void begin_pass(job_scheduler& state, time_point now)
{
    ++state.counts.passes;
    forget_departed_starts(state, now);
    update_changed_forecasts(state);
    mark_ended_pauses(state, now);
    state.pass = {};
    state.pass.active = true;
    state.pass.candidates = placement_candidates(state, now);
    for (const auto* job : order_jobs(state, now))
        state.pass.turns.push_back({job->queue.priority, job->id});
    state.changed_jobs.clear();
}

std::vector<start_command> continue_pass(job_scheduler& state, time_point now, wall_time wall,
                                         slice_limits limits)
{
    ++state.counts.slices;
    std::vector<start_command> commands;
    if (has_urgent_changes(state)) {
        auto candidates = placement_candidates(state, now);
        pass_slice slice{state, now,   wall, candidates, limits,
                         {},    false, {},   0,          state.counts.candidates};
        place_urgent_jobs(slice);
        commands = std::move(slice.commands);
    }
    auto& pass = state.pass;
    if (!pass.active)
        return commands;
    add_turns(state);
    validate_candidates(state, pass.candidates, now);
    pass_slice slice{state, now, wall, pass.candidates,        limits, {},
                     false, {},  0,    state.counts.candidates};
    reserve_before_leases_expire(slice);
    pass.active = !place_in_turn(slice);
    commands.insert(commands.end(), std::make_move_iterator(slice.commands.begin()),
                    std::make_move_iterator(slice.commands.end()));
    return commands;
}

bool has_urgent_changes(const job_scheduler& state)
{
    const auto limit = urgent_below(state);
    return std::any_of(state.changed_jobs.begin(), state.changed_jobs.end(), [&](const auto& id) {
        const auto job = state.jobs.find(id);
        return job != state.jobs.end() && !job->second.ending && job->second.queue.priority < limit;
    });
}

} // namespace galenaturn::schedule
