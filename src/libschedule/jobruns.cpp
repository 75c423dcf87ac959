#include "jobruns.h"

#include "baselinelatency.h"
#include "colocationtrial.h"
#include "jobplacement.h"
#include "workercrashes.h"

#include <algorithm>
#include <utility>

namespace galenaturn::schedule {

namespace {

/** Returns whether the run is being stopped, or could be preempted. */
bool is_reclaimable(const task_run& run)
{
    return run.best_effort_processors.value() > 0 || is_being_stopped(run.phase);
}

void release_best_effort(job_worker& worker, const task_run& run)
{
    const auto claimed = claimed_processors(run);
    worker.best_effort_processors -= claimed;
    auto& same_image = worker.best_effort_by_image[run.image];
    same_image -= claimed;
    if (same_image.value() == 0)
        worker.best_effort_by_image.erase(run.image);
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
    if (is_reclaimable(run))
        worker.reclaimable -= run.reserved;
    worker.serving_processors -= run.serving_processors;
    worker.finite_processors -= run.finite_processors;
    if (run.tail_target.count() > 0)
        release_serving(worker, job, run);
    if (worker.serving_images.empty())
        worker.tail_target = duration::max();
    if (run.best_effort_processors.value() > 0)
        release_best_effort(worker, run);
    if (worker.best_effort_by_image.empty())
        end_trial(state, worker);
    update_tail_forecasts(state, worker);
    mark_changed(state, worker);
}

} // namespace

open_job* find_job(job_scheduler& state, const submission_id& job)
{
    const auto found = state.jobs.find(job);
    return found == state.jobs.end() ? nullptr : &found->second;
}

open_task* find_task(job_scheduler& state, const wire::task_ref& ref)
{
    auto* job = find_job(state, ref.job);
    if (job == nullptr)
        return nullptr;
    const auto position = wire::position_of(job->spec, ref);
    return position ? &job->tasks[*position] : nullptr;
}

const task_run* find_run(const job_scheduler& state, const wire::task_ref& ref,
                         std::uint32_t number, const worker_id& worker)
{
    const auto job = state.jobs.find(ref.job);
    if (job == state.jobs.end())
        return nullptr;
    const auto position = wire::position_of(job->second.spec, ref);
    if (!position)
        return nullptr;
    const auto& run = job->second.tasks[*position].run;
    return run && run->number == number && run->worker == worker ? &*run : nullptr;
}

bool is_unsent(run_phase phase)
{
    return phase == run_phase::planned || phase == run_phase::withdrawn;
}

bool is_being_stopped(run_phase phase)
{
    return phase == run_phase::withdrawn || phase == run_phase::stopping ||
           phase == run_phase::stopped;
}

bool is_unconfirmed(run_phase phase)
{
    return phase == run_phase::planned || phase == run_phase::commanded;
}

bool needs_run(const open_task& task)
{
    return !task.succeeded && !task.run && task.recording == 0 && !task.recording_crash &&
           task.orphans == 0;
}

millicores claimed_processors(const task_run& run)
{
    return millicores{run.best_effort_processors.value() * run.claimed_percent / full_pace_percent};
}

void raise_claim(const job_scheduler& state, job_worker& worker, task_run& run,
                 std::uint32_t percent)
{
    if (percent <= run.claimed_percent)
        return;
    const auto before = claimed_processors(run);
    run.claimed_percent = percent;
    const auto added = claimed_processors(run) - before;
    worker.best_effort_processors += added;
    worker.best_effort_by_image[run.image] += added;
    update_tail_forecasts(state, worker);
}

void begin_run(job_scheduler& state, const wire::task_ref& ref, open_task& task, task_run run)
{
    GN_INVARIANT(!task.run && !task.succeeded, {"task", ref}, {"run", run.number});
    auto& worker = state.workers.at(run.worker);
    worker.reserved += run.reserved;
    if (is_reclaimable(run))
        worker.reclaimable += run.reserved;
    worker.serving_processors += run.serving_processors;
    worker.finite_processors += run.finite_processors;
    if (run.tail_target.count() > 0) {
        ++worker.serving_images[run.image][ref.job];
        worker.tail_target = std::min(worker.tail_target, run.tail_target);
    }
    if (run.best_effort_processors.value() > 0) {
        const auto claimed = claimed_processors(run);
        worker.best_effort_processors += claimed;
        worker.best_effort_by_image[run.image] += claimed;
    }
    update_tail_forecasts(state, worker);
    record_start(worker.starts, ref.job, run.commanded_at);
    worker.runs[ref] = run.number;
    state.next_lease_expiry = std::min(state.next_lease_expiry, worker.lease_expires_at);
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

void update_tail_forecasts(const job_scheduler& state, job_worker& worker)
{
    worker.tail_forecasts.clear();
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target}.count();
    for (const auto& [image, jobs] : worker.serving_images) {
        auto& forecast = worker.tail_forecasts[image];
        for (const auto& [id, count] : jobs) {
            const auto job = state.jobs.find(id);
            const auto baseline =
                job == state.jobs.end() ? target : expected_baseline(job->second.baseline, target);
            forecast.baseline = std::max(forecast.baseline, baseline);
        }
        forecast.estimate = find_estimate(state.interference, image);
        forecast.expected = forecast.baseline * cautious_tail_ratio(state.interference, image,
                                                                    worker.best_effort_by_image);
    }
}

void set_phase(task_run& run, run_phase phase, time_point now)
{
    run.phase = phase;
    run.phase_since = now;
}

void mark_begun(job_scheduler& state, const submission_id& id, time_point now)
{
    auto* job = find_job(state, id);
    if (job == nullptr || std::exchange(job->begun, true))
        return;
    state.begun_jobs.push_back({id, job->queue.name, now - job->arrived});
}

void confirm_run(job_scheduler& state, const wire::task_ref& ref, task_run& run, time_point now)
{
    set_phase(run, run_phase::running, now);
    if (!run.confirmed_at)
        run.confirmed_at = now;
    mark_begun(state, ref.job, now);
    // Workers start every run at full speed.
    if (run.pace_percent < full_pace_percent)
        state.paces_due.set(ref, now);
}

void stop_run(job_scheduler& state, const wire::task_ref& ref, open_task& task, stop_cause cause,
              time_point now)
{
    if (is_being_stopped(task.run->phase))
        return;
    const bool sent = task.run->phase != run_phase::planned;
    const auto worker = state.workers.find(task.run->worker);
    if (worker != state.workers.end() && !is_reclaimable(*task.run))
        worker->second.reclaimable += task.run->reserved;
    set_phase(*task.run, sent ? run_phase::stopping : run_phase::withdrawn, now);
    task.run->cause = cause;
    task.run->stop_requested_at = now;
    if (sent)
        state.stops_due.set(ref, now);
    state.paces_due.erase(ref);
}

void settle_doubtful_start(job_scheduler& state, job_worker& worker, const wire::task_ref& ref,
                           std::uint32_t run)
{
    const auto settled = std::erase_if(worker.doubtful_starts, [&](const auto& doubtful) {
        return doubtful.task == ref && doubtful.run <= run;
    });
    if (settled > 0 && worker.doubtful_starts.empty())
        mark_changed(state, worker);
}

void forget_if_ended(job_scheduler& state, const submission_id& id)
{
    const auto job = state.jobs.find(id);
    if (job == state.jobs.end() || !job->second.ending)
        return;
    const bool idle = std::none_of(job->second.tasks.begin(), job->second.tasks.end(),
                                   [](const auto& task) { return task.run.has_value(); });
    if (!idle)
        return;
    state.failed.by_job.erase(id);
    state.jobs.erase(job);
}

const char* to_string(command_result outcome)
{
    switch (outcome) {
    case command_result::accepted:
        return "accepted";
    case command_result::no_capacity:
        return "no_room";
    case command_result::stale_run:
        return "old_run";
    case command_result::too_late:
        return "too_late";
    case command_result::fenced:
        return "fenced";
    case command_result::unhealthy:
        return "unwell";
    case command_result::other_incarnation:
        return "other_life";
    case command_result::refused:
        return "refused";
    case command_result::not_sent:
        return "not_sent";
    case command_result::unreachable:
        return "unreachable";
    case command_result::none:
        return "none";
    }
    return "unknown";
}

const char* to_string(stop_cause cause)
{
    switch (cause) {
    case stop_cause::none:
        return "none";
    case stop_cause::tail:
        return "tail";
    case stop_cause::trial:
        return "trial";
    case stop_cause::preempted:
        return "preempted";
    case stop_cause::job_ended:
        return "job_ended";
    case stop_cause::task_succeeded:
        return "task_succeeded";
    case stop_cause::worker_leaving:
        return "worker_leaving";
    case stop_cause::gang_incomplete:
        return "gang_incomplete";
    case stop_cause::unconfirmed:
        return "unconfirmed";
    case stop_cause::orphan:
        return "orphan";
    }
    return "unknown";
}

const char* to_string(drop_reason reason)
{
    switch (reason) {
    case drop_reason::outdated:
        return "outdated";
    case drop_reason::worker_lost:
        return "worker_lost";
    case drop_reason::worker_leaving:
        return "worker_leaving";
    case drop_reason::no_capacity:
        return "no_capacity";
    case drop_reason::no_lease:
        return "no_lease";
    case drop_reason::not_recorded:
        return "not_recorded";
    case drop_reason::unanswered:
        return "unanswered";
    case drop_reason::not_isolated:
        return "not_isolated";
    }
    return "unknown";
}

const char* to_string(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::succeeded:
        return "succeeded";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::expired:
        return "lapsed";
    case run_outcome::broken:
        return "broken";
    case run_outcome::alone:
        return "alone";
    }
    return "unknown";
}

} // namespace galenaturn::schedule
