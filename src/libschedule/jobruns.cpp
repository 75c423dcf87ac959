#include "jobruns.h"

#include "owntail.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

void release_filling(job_worker& worker, const task_run& run)
{
    worker.filling -= run.filling;
    auto& same_image = worker.filling_images[run.image];
    same_image -= run.filling;
    if (same_image.value() == 0)
        worker.filling_images.erase(run.image);
}

void release_serving(job_worker& worker, const submission_id& job, const task_run& run)
{
    auto& jobs = worker.serving_images[run.image];
    if (--jobs[job] == 0)
        jobs.erase(job);
    if (jobs.empty())
        worker.serving_images.erase(run.image);
}

void release(job_scheduler& state, job_worker& worker, const submission_id& job,
             const task_run& run)
{
    worker.reserved -= run.reserved;
    worker.serving -= run.serving;
    if (run.tail_target.count() > 0)
        release_serving(worker, job, run);
    if (worker.serving_images.empty())
        worker.tail_target = duration::max();
    if (run.filling.value() > 0)
        release_filling(worker, run);
    if (worker.filling_images.empty())
        set_trial(state, worker, false);
    refresh_tails(state, worker);
}

} // namespace

open_job* find_job(job_scheduler& state, const submission_id& job)
{
    const auto known = state.jobs.find(job);
    return known == state.jobs.end() ? nullptr : &known->second;
}

open_task* find_task(job_scheduler& state, const wire::task_ref& ref)
{
    auto* job = find_job(state, ref.job);
    if (job == nullptr)
        return nullptr;
    const auto position = wire::position_of(job->spec, ref);
    return position ? &job->tasks[*position] : nullptr;
}

bool may_start(const open_task& task)
{
    return !task.succeeded && !task.run && !task.recording;
}

void begin_run(job_scheduler& state, const wire::task_ref& ref, open_task& task, task_run run)
{
    GN_INVARIANT(!task.run && !task.succeeded, {"task", ref}, {"run", run.number});
    auto& worker = state.workers.at(run.worker);
    worker.reserved += run.reserved;
    worker.serving += run.serving;
    if (run.tail_target.count() > 0) {
        ++worker.serving_images[run.image][ref.job];
        worker.tail_target = std::min(worker.tail_target, run.tail_target);
    }
    if (run.filling.value() > 0) {
        worker.filling += run.filling;
        worker.filling_images[run.image] += run.filling;
    }
    refresh_tails(state, worker);
    worker.runs[ref] = run.number;
    task.last_run = std::max(task.last_run, run.number);
    task.run = std::move(run);
}

void clear_run(job_scheduler& state, const wire::task_ref& ref, open_task& task)
{
    if (!task.run)
        return;
    const auto worker = state.workers.find(task.run->worker);
    if (worker != state.workers.end()) {
        release(state, worker->second, ref.job, *task.run);
        worker->second.runs.erase(ref);
    }
    state.stops_due.erase(ref);
    state.paces_due.erase(ref);
    task.run.reset();
}

void refresh_tails(const job_scheduler& state, job_worker& worker)
{
    worker.tails.clear();
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target}.count();
    for (const auto& [image, jobs] : worker.serving_images) {
        auto& outlook = worker.tails[image];
        for (const auto& [id, count] : jobs) {
            const auto job = state.jobs.find(id);
            const auto alone =
                job == state.jobs.end() ? target : tail_to_expect(job->second.tail, target);
            outlook.alone = std::max(outlook.alone, alone);
        }
        outlook.expected =
            outlook.alone * cautious_factor(state.tails, image, worker.filling_images);
    }
}

void set_trial(job_scheduler& state, job_worker& worker, bool on_trial)
{
    if (worker.on_trial == on_trial)
        return;
    worker.on_trial = on_trial;
    state.trials += on_trial ? 1 : -std::size_t{1};
}

void set_phase(task_run& run, run_phase phase, time_point now)
{
    run.phase = phase;
    run.since = now;
}

void stop_run(job_scheduler& state, const wire::task_ref& ref, open_task& task, time_point now)
{
    if (task.run->phase == run_phase::stopping || task.run->phase == run_phase::stopped)
        return;
    set_phase(*task.run, run_phase::stopping, now);
    state.stops_due.insert(ref);
    state.paces_due.erase(ref);
}

void drop_ended(job_scheduler& state, const submission_id& id)
{
    const auto job = state.jobs.find(id);
    if (job == state.jobs.end() || !job->second.ending)
        return;
    const bool idle = std::none_of(job->second.tasks.begin(), job->second.tasks.end(),
                                   [](const auto& task) { return task.run.has_value(); });
    if (idle)
        state.jobs.erase(job);
}

const char* to_string(order_answer answer)
{
    switch (answer) {
    case order_answer::accepted:
        return "accepted";
    case order_answer::no_room:
        return "no_room";
    case order_answer::old_run:
        return "old_run";
    case order_answer::too_late:
        return "too_late";
    case order_answer::fenced:
        return "fenced";
    case order_answer::unwell:
        return "unwell";
    case order_answer::other_life:
        return "other_life";
    case order_answer::refused:
        return "refused";
    case order_answer::none:
        return "none";
    }
    return "unknown";
}

const char* to_string(run_end how)
{
    switch (how) {
    case run_end::succeeded:
        return "succeeded";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    }
    return "unknown";
}

} // namespace galenaturn::schedule
