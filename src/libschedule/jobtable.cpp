#include "jobruns.h"

#include "joborder.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/**
 * Upper bound of the run numbers that an earlier leader assigned to a task without the ledger
 * recording them.
 */
constexpr std::uint32_t unrecorded_runs = 4;
/** A job is no longer useful to its caller beyond this multiple of its objective. */
constexpr int late_factor = 3;

/**
 * Sets the objective from the estimates of the whole job, before any recorded progress is applied.
 */
void set_objective(open_job& job)
{
    const auto chain = static_cast<double>(job.chain_left.count());
    const duration objective =
        duration{static_cast<duration::rep>(chain * job.queue.stretch)} + job.queue.latency;
    job.wanted_by = job.arrived + objective;
    job.late_by = job.arrived + objective * late_factor;
}

void count_left(open_job& job)
{
    const auto steps = job.spec.steps.size();
    job.left.assign(wire::occurrences_of(job.spec) * steps, 0);
    std::size_t position = 0;
    for (std::size_t slot = 0; slot < job.left.size(); ++slot) {
        for (std::uint32_t index = 0; index < job.spec.steps[slot % steps].count; ++index)
            job.left[slot] += job.tasks[position++].succeeded ? 0 : 1;
    }
    job.work_left = work_left(job);
    job.chain_left = chain_left(job);
}

/** Applies the progress that the ledger has recorded for each task. */
void take_progress(open_job& job, const wire::job_record& record)
{
    for (std::size_t position = 0; position < record.tasks.size(); ++position) {
        const auto& known = record.tasks[position];
        auto& task = job.tasks[position];
        if (known.last_run > task.last_run)
            task.last_run = known.last_run;
        task.succeeded = known.succeeded;
        task.failures = known.failures;
    }
    count_left(job);
}

open_job make_job(const wire::job_record& record, time_point now)
{
    open_job job;
    job.id = record.id;
    job.queue = record.queue;
    job.spec = record.spec;
    job.arrived = now;
    job.tasks.resize(record.tasks.size());
    for (std::size_t position = 0; position < record.tasks.size(); ++position)
        job.tasks[position].checkpoint = record.tasks[position].checkpoint;
    count_left(job);
    set_objective(job);
    job.work = job.work_left;
    take_progress(job, record);
    job.endless = is_endless(job);
    return job;
}

void learn_usual_work(job_scheduler& state, const open_job& job)
{
    auto& usual = state.usual_work[job.queue.name];
    ++usual.jobs;
    usual.average += (job.work - usual.average) / static_cast<double>(usual.jobs);
}

} // namespace

job_scheduler take_over(const std::map<submission_id, wire::job_record>& jobs,
                        const std::map<worker_id, wire::worker_record>& workers,
                        const job_settings& settings, time_point now, wall_time wall)
{
    job_scheduler state;
    state.settings = settings;
    state.inherited_until = now + certain_lapse(settings.lease);
    for (const auto& [id, record] : jobs) {
        if (record.phase != wire::job_phase::open)
            continue;
        const auto age = std::max(wall - record.submitted, std::chrono::milliseconds{0});
        auto job = make_job(record, now - age);
        job.inherited = true;
        for (auto& task : job.tasks)
            task.last_run += unrecorded_runs;
        learn_usual_work(state, job);
        state.jobs.emplace(id, std::move(job));
    }
    for (const auto& [id, record] : workers) {
        auto& worker = state.workers[id];
        worker.record = record;
        worker.admitted = true;
        worker.lease_ends = state.inherited_until;
        state.unread.insert(id);
    }
    return state;
}

void add_job(job_scheduler& state, const wire::job_record& record, time_point now)
{
    if (record.phase != wire::job_phase::open || state.jobs.contains(record.id))
        return;
    auto job = make_job(record, now);
    learn_usual_work(state, job);
    state.jobs.emplace(record.id, std::move(job));
}

void take_record(job_scheduler& state, const wire::job_record& record, time_point now)
{
    const auto known = state.jobs.find(record.id);
    if (known == state.jobs.end())
        return add_job(state, record, now);
    auto& job = known->second;
    if (record.phase == wire::job_phase::open)
        return take_progress(job, record);
    job.ending = true;
    for_each_task(job, [&](const wire::task_ref& ref, open_task& task) {
        if (task.run)
            stop_run(state, ref, task, now);
    });
    drop_ended(state, job.id);
}

std::uint64_t jobs_waiting(const job_scheduler& state, const std::string& queue)
{
    return static_cast<std::uint64_t>(
        std::count_if(state.jobs.begin(), state.jobs.end(), [&](const auto& job) {
            return job.second.queue.name == queue && !job.second.started && !job.second.ending;
        }));
}

room_summary summarize(const job_scheduler& state)
{
    room_summary sum;
    for (const auto& [id, worker] : state.workers) {
        const bool serves = !worker.serving_images.empty();
        sum.serving_workers += serves ? 1 : 0;
        sum.mixed_workers += worker.serving_images.size() > 1 ? 1 : 0;
        (serves ? sum.filled_beside_serving : sum.filled_elsewhere) += worker.filling;
        sum.reserved += worker.reserved.processors;
    }
    sum.open_jobs = state.jobs.size();
    for (const auto& [id, job] : state.jobs)
        sum.waiting_tasks +=
            static_cast<std::size_t>(std::count_if(job.tasks.begin(), job.tasks.end(), may_start));
    return sum;
}

bool has_started(const job_scheduler& state, const submission_id& job)
{
    const auto known = state.jobs.find(job);
    return known != state.jobs.end() && known->second.started;
}

} // namespace galenaturn::schedule
