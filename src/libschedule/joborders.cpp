#include "joborder.h"
#include "jobplacement.h"
#include "jobruns.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace galenaturn::schedule {

namespace {

/**
 * A worker that reported no capacity gets no new tasks for this long; a run may end there at any
 * moment.
 */
constexpr duration no_room_pause = std::chrono::milliseconds{300};
/** An unhealthy worker gets no new tasks for this long. */
constexpr duration unwell_pause = std::chrono::seconds{2};
/** Minimum time between preemptions for a job: what was stopped before has to end first. */
constexpr duration make_room_pause = std::chrono::milliseconds{100};
/** A stop without a reply is sent again after this time. */
constexpr duration stop_resend = std::chrono::milliseconds{600};
/**
 * A pace without a reply is sent again after this time; shorter, because a tail is over its target
 * meanwhile.
 */
constexpr duration pace_resend = std::chrono::milliseconds{300};

/**
 * Demands that found no worker in this scheduling pass. A demand of the same kind that is at least
 * as large finds none either.
 */
class misses {
public:
    [[nodiscard]] bool hopeless(const open_job& job, const wire::job_step& step) const
    {
        const auto known = missed_.find(kind_of(job, step));
        if (known == missed_.end())
            return false;
        const auto wanted = reserved_by(step);
        const auto filling = filled_by(step);
        return std::any_of(known->second.begin(), known->second.end(), [&](const auto& miss) {
            return fits(miss.demand, wanted) && miss.filling <= filling;
        });
    }

    void add(const open_job& job, const wire::job_step& step)
    {
        const bool bound =
            !step.required_label.empty() || step.most_per_worker > 0 || step.one_rack;
        if (!bound)
            missed_[kind_of(job, step)].push_back({reserved_by(step), filled_by(step)});
    }

private:
    struct miss {
        resources demand;
        millicores filling;
    };
    /**
     * Properties that decide about a placement besides the size: the service, whether the step is
     * best effort or latency-critical, and the image.
     */
    using kind = std::tuple<std::string_view, bool, bool, std::string_view>;

    static kind kind_of(const open_job& job, const wire::job_step& step)
    {
        return {job.queue.service.value(), step.fills, step.tail_target.count() > 0, step.image};
    }

    std::map<kind, std::vector<miss>> missed_;
};

struct pass {
    job_scheduler& state;
    time_point now;
    wall_time wall;
    misses missed;
    std::vector<start_order> orders;
    /** The job being placed has had no run for too long. */
    bool starving{false};
};

void place(pass& at, open_job& job, const wire::task_ref& ref, open_task& task, job_worker& worker,
           std::uint32_t number)
{
    task_run run;
    run.number = number;
    run.worker = worker.record.id;
    set_demand(run, job.spec.steps[ref.step]);
    run.since = at.now;
    run.ordered_at = at.now;
    run.progressed_at = at.now;
    // A placement that the forecast does not allow is a trial, made to learn how the images
    // interfere.
    const bool unknown = run.filling.value() > 0 && !worker.serving_images.empty() &&
                         !has_tail_room(at.state, worker, job.spec.steps[ref.step]);
    set_trial(at.state, worker, worker.on_trial || unknown);
    at.state.counts.trials += unknown ? 1 : 0;
    begin_run(at.state, ref, task, std::move(run));
    job.started = true;
    ++at.state.counts.starts;
    at.orders.push_back({ref, number, worker.record.id, job.spec.text, task.checkpoint});
}

/**
 * Returns whether a job past its latest useful completion has no run: it may oversubscribe a
 * worker.
 */
bool is_starving(const open_job& job, time_point now)
{
    if (now < job.late_by)
        return false;
    return std::none_of(job.tasks.begin(), job.tasks.end(),
                        [](const auto& task) { return task.run || task.recording; });
}

/** Returns whether further tasks of the step are worth placing in this pass. */
bool start_task(pass& at, open_job& job, const wire::task_ref& ref, open_task& task)
{
    const auto& step = job.spec.steps[ref.step];
    if (!may_start(task))
        return true;
    if (at.missed.hopeless(job, step) && !at.starving)
        return false;
    const placement_request request{&job, ref, &step, {}, at.starving};
    auto* worker = choose_worker(at.state, request, at.now);
    if (worker == nullptr) {
        if (step.endless && job.room_made_at + make_room_pause <= at.now) {
            job.room_made_at = at.now;
            make_room(at.state, request, at.now);
        }
        at.missed.add(job, step);
        return false;
    }
    place(at, job, ref, task, *worker, task.last_run + 1);
    at.starving = false;
    return true;
}

/** Reserves a worker for every member of the gang, or for none. */
bool reserve_gang(pass& at, open_job& job, const wire::task_ref& first, std::size_t position,
                  const rack_id& rack)
{
    const auto& step = job.spec.steps[first.step];
    std::uint32_t number = 0;
    std::string checkpoint;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const auto& member = job.tasks[position + index];
        number = std::max(number, member.last_run + 1);
        if (checkpoint.empty())
            checkpoint = member.checkpoint;
    }
    const auto orders_before = at.orders.size();
    for (std::uint32_t index = 0; index < step.count; ++index) {
        auto ref = first;
        ref.index = index;
        auto& member = job.tasks[position + index];
        member.checkpoint = checkpoint;
        auto* worker = choose_worker(at.state, {&job, ref, &step, rack, false}, at.now);
        if (worker != nullptr) {
            place(at, job, ref, member, *worker, number);
            continue;
        }
        for (std::uint32_t placed = 0; placed < index; ++placed) {
            ref.index = placed;
            clear_run(at.state, ref, job.tasks[position + placed]);
        }
        at.orders.resize(orders_before);
        return false;
    }
    return true;
}

void start_gang(pass& at, open_job& job, const wire::task_ref& first, std::size_t position)
{
    const auto& step = job.spec.steps[first.step];
    const auto members = job.tasks.begin() + static_cast<std::ptrdiff_t>(position);
    if (!std::all_of(members, members + step.count, may_start))
        return;
    std::set<rack_id> racks{rack_id{}};
    if (step.one_rack) {
        racks.clear();
        for (const auto& [id, worker] : at.state.workers)
            racks.insert(worker.record.rack);
    }
    if (!step.data_rack.empty() && reserve_gang(at, job, first, position, step.data_rack))
        return;
    for (const auto& rack : racks) {
        if (reserve_gang(at, job, first, position, rack))
            return;
    }
}

void start_step(pass& at, open_job& job, std::uint32_t occurrence, std::uint32_t step)
{
    const auto slot = std::size_t{occurrence} * job.spec.steps.size() + step;
    if (job.left[slot] == 0 || !is_ready(job, occurrence, step))
        return;
    wire::task_ref ref{job.id, occurrence, step, 0};
    const auto position = *wire::position_of(job.spec, ref);
    if (job.spec.steps[step].gang)
        return start_gang(at, job, ref, position);
    for (; ref.index < job.spec.steps[step].count; ++ref.index) {
        if (!start_task(at, job, ref, job.tasks[position + ref.index]))
            return;
    }
}

void start_ready(pass& at, open_job& job)
{
    at.starving = is_starving(job, at.now);
    for (std::uint32_t occurrence = 0; occurrence < wire::occurrences_of(job.spec); ++occurrence) {
        if (job.spec.schedule.occurrences > 0 && at.wall < due_at(job.spec, occurrence))
            return;
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step)
            start_step(at, job, occurrence, step);
    }
}

/** Returns whether all runs started by an earlier leader are known or have certainly ended. */
bool inheritance_known(job_scheduler& state, time_point now)
{
    if (now >= state.inherited_until)
        state.unread.clear();
    return state.unread.empty();
}

} // namespace

void leave_workers(job_scheduler& state, time_point now)
{
    for (auto& [id, worker] : state.workers) {
        if (!worker.leaving)
            continue;
        const auto runs = worker.runs;
        for (const auto& [ref, number] : runs) {
            auto* job = find_job(state, ref.job);
            auto* task = find_task(state, ref);
            if (task == nullptr || task->run->phase != run_phase::running)
                continue;
            const auto& step = job->spec.steps[ref.step];
            // A finite task ends before the worker leaves; a long-running one moves as soon as
            // another worker can run it.
            if (step.endless && choose_worker(state, {job, ref, &step, {}, false}, now) != nullptr)
                stop_run(state, ref, *task, now);
        }
    }
}

std::vector<start_order> plan_starts(job_scheduler& state, time_point now, wall_time wall)
{
    for (auto& [id, worker] : state.workers) {
        if (!worker.serving_images.empty())
            refresh_tails(state, worker);
    }
    pass at{state, now, wall, {}, {}, false};
    const bool known = inheritance_known(state, now);
    for (auto* job : order_jobs(state, now)) {
        if (known || !job->inherited)
            start_ready(at, *job);
    }
    return std::move(at.orders);
}

std::vector<stop_order> plan_stops(job_scheduler& state, time_point now)
{
    std::vector<stop_order> orders;
    for (const auto& ref : state.stops_due) {
        auto& run = *find_task(state, ref)->run;
        // The first stop is sent at once; from then on `phase_since` is when the last one was sent.
        const bool first = run.phase == run_phase::stopping && !run.stop_sent;
        if (!first && now - run.since < stop_resend)
            continue;
        run.stop_sent = true;
        run.since = now;
        ++state.counts.stops;
        orders.push_back({ref, run.number, run.worker});
    }
    for (const auto& stray : state.strays)
        orders.push_back({stray.task, stray.run, stray.worker});
    state.strays.clear();
    return orders;
}

std::vector<pace_order> plan_paces(job_scheduler& state, time_point now)
{
    std::vector<pace_order> orders;
    for (const auto& ref : state.paces_due) {
        auto& run = *find_task(state, ref)->run;
        if (run.pace_sent_at && now - *run.pace_sent_at < pace_resend)
            continue;
        run.pace_sent_at = now;
        ++state.counts.paced;
        orders.push_back({ref, run.number, run.worker, run.pace});
    }
    return orders;
}

void take_start_answer(job_scheduler& state, const start_order& order, order_answer answer,
                       time_point now)
{
    auto* task = find_task(state, order.task);
    const bool current = task != nullptr && task->run && task->run->number == order.run &&
                         task->run->worker == order.worker;
    if (!current)
        return;
    const auto worker = state.workers.find(order.worker);
    auto& run = *task->run;
    if (answer == order_answer::accepted) {
        ++state.counts.confirmed;
        if (run.phase == run_phase::ordered)
            set_phase(run, run_phase::running, now);
        return;
    }
    if (answer == order_answer::none) {
        ++state.counts.unanswered;
        if (run.phase == run_phase::ordered)
            set_phase(run, run_phase::unknown, now);
        return;
    }
    // Every other result means that no run was started.
    ++state.counts.refused;
    if (worker != state.workers.end()) {
        auto& avoid = worker->second.avoid_until;
        if (answer == order_answer::no_room)
            avoid = now + no_room_pause;
        if (answer == order_answer::unwell || answer == order_answer::refused)
            avoid = now + unwell_pause;
    }
    clear_run(state, order.task, *task);
    drop_ended(state, order.task.job);
}

void take_stop_answer(job_scheduler& state, const stop_order& order, order_answer answer,
                      time_point now)
{
    auto* task = find_task(state, order.task);
    const bool current = task != nullptr && task->run && task->run->number == order.run &&
                         task->run->phase == run_phase::stopping;
    if (!current || answer == order_answer::none)
        return;
    state.stops_due.erase(order.task);
    set_phase(*task->run, run_phase::stopped, now);
}

void take_pace_answer(job_scheduler& state, const pace_order& order, order_answer answer)
{
    auto* task = find_task(state, order.task);
    const bool current = task != nullptr && task->run && task->run->number == order.run &&
                         task->run->worker == order.worker;
    if (!current || answer == order_answer::none)
        return;
    task->run->pace_sent_at.reset();
    // The pace may have changed again while the command was in flight.
    if (task->run->pace == order.percent)
        state.paces_due.erase(order.task);
}

} // namespace galenaturn::schedule
