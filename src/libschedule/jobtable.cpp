#include "jobruns.h"

#include "jobpriority.h"
#include "workerlives.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/**
 * A new leader skips this many run numbers of each task. An earlier leader may have assigned that
 * many without a record in the ledger: planned starts that were dropped have numbers too.
 */
constexpr std::uint32_t max_unrecorded_runs = 100'000;
/** A job is no longer useful to its caller beyond this multiple of its objective. */
constexpr int usefulness_factor = 3;

/**
 * Sets the objective from the estimates of the whole job, before any recorded progress is applied.
 */
void set_objective(open_job& job)
{
    const auto critical_path = static_cast<double>(job.remaining_critical_path.count());
    const duration objective =
        duration{static_cast<duration::rep>(critical_path * job.queue.stretch)} + job.queue.latency;
    job.target_completion = job.arrived + objective;
    job.latest_useful_completion = job.arrived + objective * usefulness_factor;
}

void update_remaining(open_job& job)
{
    const auto steps = job.spec.steps.size();
    job.remaining_tasks.assign(wire::occurrences_of(job.spec) * steps, 0);
    std::size_t position = 0;
    for (std::size_t step_index = 0; step_index < job.remaining_tasks.size(); ++step_index) {
        for (std::uint32_t task = 0; task < job.spec.steps[step_index % steps].count; ++task)
            job.remaining_tasks[step_index] += job.tasks[position++].succeeded ? 0 : 1;
    }
    job.remaining_work = remaining_work(job);
    job.remaining_critical_path = remaining_critical_path(job);
}

/** Applies the progress that the ledger has recorded for each task. */
void apply_progress(open_job& job, const wire::job_record& record)
{
    for (std::size_t position = 0; position < record.tasks.size(); ++position) {
        const auto& recorded = record.tasks[position];
        auto& task = job.tasks[position];
        if (recorded.last_run > task.last_run)
            task.last_run = recorded.last_run;
        task.succeeded = recorded.succeeded;
        task.failures = recorded.failures;
        job.begun = job.begun || recorded.succeeded || recorded.failures > 0;
    }
    for (const auto& [position, failed_runs] : record.failed_runs)
        job.tasks[position].failed_runs = failed_runs;
    for (const auto& [position, crashes] : record.crashes) {
        auto& task = job.tasks[position];
        if (crashes.count > task.crashes)
            task.cleared = false;
        task.crashes = crashes.count;
        task.last_run = std::max({task.last_run, crashes.last_run, crashes.started_run});
    }
    update_remaining(job);
}

open_job make_job(const wire::job_record& record, time_point now)
{
    open_job job;
    job.id = record.id;
    job.queue = record.queue;
    job.spec = record.spec;
    job.arrived = now;
    job.tasks.resize(record.tasks.size());
    for (std::size_t position = 0; position < record.tasks.size(); ++position) {
        job.tasks[position].checkpoint = record.tasks[position].checkpoint;
        job.tasks[position].checkpoint_run = record.tasks[position].last_run;
    }
    update_remaining(job);
    set_objective(job);
    job.work = job.remaining_work;
    apply_progress(job, record);
    job.long_running = is_long_running(job);
    return job;
}

/** Counts the job in its queue, and decides whether it is ranked by its size there. */
void count_job(job_scheduler& state, open_job& job)
{
    if (job.long_running)
        return;
    auto& queue = state.queue_sizes_of[job.queue.name];
    count_arrival(queue, job.work);
    job.ranked_by_size = !is_underserved(queue, job.work);
}

/** Counts the runs of an earlier job of that name which have not ended. */
void count_orphans(const job_scheduler& state, open_job& job)
{
    for (const auto& [orphan, stops] : state.orphans) {
        const auto position =
            orphan.task.job == job.id ? wire::position_of(job.spec, orphan.task) : std::nullopt;
        if (position)
            ++job.tasks[*position].orphans;
    }
}

/** Calls `visit(ref, crashes)` for each recorded start whose crash has not been recorded. */
template <class Visit>
void for_each_suspect_start(const std::map<submission_id, wire::job_record>& jobs,
                            const Visit& visit)
{
    for (const auto& [id, job] : jobs) {
        for (const auto& [position, crashes] : job.crashes) {
            const auto ref = wire::task_at(job.spec, id, position);
            if (ref && crashes.started_run > crashes.last_run)
                visit(*ref, crashes);
        }
    }
}

} // namespace

job_scheduler take_over(const std::map<submission_id, wire::job_record>& jobs,
                        const std::map<worker_id, wire::worker_record>& workers,
                        const job_settings& settings, time_point now, wall_time wall)
{
    job_scheduler state;
    state.settings = settings;
    const bool any_may_restart =
        std::any_of(workers.begin(), workers.end(), [](const auto& worker) {
            return incarnation_of(worker.first) != incarnation{};
        });
    const auto leases_expire_at = any_may_restart ? last_possible_expiry(settings, now)
                                                  : now + certain_expiry(settings.lease);
    state.inherited_runs_expire_at =
        any_may_restart ? last_possible_end(settings, now) : leases_expire_at;
    for (const auto& [id, record] : jobs) {
        if (record.phase != wire::job_phase::open)
            continue;
        const auto age = std::max(wall - record.submitted, std::chrono::milliseconds{0});
        auto job = make_job(record, now - age);
        job.inherited = true;
        for (auto& task : job.tasks)
            task.last_run += max_unrecorded_runs;
        count_job(state, job);
        state.jobs.emplace(id, std::move(job));
    }
    for (const auto& [id, record] : workers) {
        auto& worker = state.workers[id];
        worker.record = record;
        worker.admitted = true;
        worker.lease_expires_at = leases_expire_at;
        state.unread_workers.insert(id);
    }
    for_each_suspect_start(jobs, [&](const wire::task_ref& ref, const wire::task_crashes& start) {
        const auto worker = state.workers.find(start.started_on);
        if (worker != state.workers.end())
            worker->second.unexplained.push_back(
                {ref, start.started_run, wire::crash_suspicion::suspect});
    });
    return state;
}

void add_job(job_scheduler& state, const wire::job_record& record, time_point now)
{
    if (record.phase != wire::job_phase::open || state.jobs.contains(record.id))
        return;
    auto job = make_job(record, now);
    count_job(state, job);
    count_orphans(state, job);
    state.jobs.emplace(record.id, std::move(job));
    state.changed_jobs.insert(record.id);
}

void on_job_record(job_scheduler& state, const wire::job_record& record, time_point now)
{
    const auto recorded = state.jobs.find(record.id);
    if (recorded == state.jobs.end())
        return add_job(state, record, now);
    auto& job = recorded->second;
    if (record.phase == wire::job_phase::open)
        return apply_progress(job, record);
    if (record.phase == wire::job_phase::succeeded)
        count_outcome_once(state, job, now <= job.latest_useful_completion);
    job.ending = true;
    for_each_task(job, [&](const wire::task_ref& ref, open_task& task) {
        if (task.run)
            stop_run(state, ref, task, stop_cause::job_ended, now);
    });
    forget_if_ended(state, job.id);
}

std::uint64_t jobs_waiting(const job_scheduler& state, const std::string& queue)
{
    return static_cast<std::uint64_t>(
        std::count_if(state.jobs.begin(), state.jobs.end(), [&](const auto& job) {
            return job.second.queue.name == queue && !job.second.begun && !job.second.ending;
        }));
}

queue_summary summarize_queue(const job_scheduler& state, const std::string& queue, time_point now)
{
    queue_summary sum;
    for (const auto& [id, job] : state.jobs) {
        if (job.queue.name != queue)
            continue;
        ++sum.open;
        if (job.ending) {
            ++sum.ending;
            continue;
        }
        if (job.begun) {
            ++sum.begun;
            continue;
        }
        const bool has_run = std::any_of(job.tasks.begin(), job.tasks.end(),
                                         [](const auto& task) { return task.run.has_value(); });
        sum.unconfirmed += has_run ? 1 : 0;
        sum.longest_wait = std::max(sum.longest_wait, now - job.arrived);
    }
    return sum;
}

capacity_summary summarize_capacity(const job_scheduler& state)
{
    capacity_summary sum;
    for (const auto& [id, worker] : state.workers) {
        const bool is_serving = !worker.serving_images.empty();
        sum.serving_workers += is_serving ? 1 : 0;
        sum.mixed_workers += worker.serving_images.size() > 1 ? 1 : 0;
        (is_serving ? sum.best_effort_beside_serving : sum.best_effort_elsewhere) +=
            worker.best_effort_processors;
        sum.reserved += worker.reserved.processors;
    }
    sum.open_jobs = state.jobs.size();
    for (const auto& [id, job] : state.jobs) {
        const auto waiting =
            static_cast<std::size_t>(std::count_if(job.tasks.begin(), job.tasks.end(), needs_run));
        const bool best_effort = std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                                             [](const auto& step) { return step.best_effort; });
        sum.waiting_tasks += waiting;
        if (job.long_running)
            sum.waiting_long_running += waiting;
        else if (!best_effort)
            sum.waiting_reserved += waiting;
    }
    return sum;
}

bool has_started(const job_scheduler& state, const submission_id& job)
{
    const auto recorded = state.jobs.find(job);
    return recorded != state.jobs.end() && recorded->second.begun;
}

} // namespace galenaturn::schedule
