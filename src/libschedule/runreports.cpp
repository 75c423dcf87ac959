#include "jobplacement.h"
#include "jobruns.h"
#include "orphans.h"
#include "tailcontrol.h"
#include "workercrashes.h"
#include "workerlives.h"

#include <algorithm>
#include <utility>

namespace galenaturn::schedule {

namespace {

/** Number of failed runs, without a success in between, after which a worker is avoided. */
constexpr std::uint32_t max_failure_streak = 3;
/** An adopted run is taken to have at least this pace: what it uses is measured roughly. */
constexpr std::int64_t min_adopted_pace_percent = 10;
/** Pause before a worker with that many failures gets new tasks. */
constexpr duration failing_worker_pause = std::chrono::seconds{6};

using completion_items = std::vector<wire::record_completions::item>;

struct report_context {
    job_scheduler& state;
    job_worker& worker;
    time_point requested_at;
    time_point now;
    completion_items to_record;
    /** The current runs that the report lists. */
    std::vector<listed_run> listed;
    /** Number of runs of the worker whose task the report lists. */
    std::size_t listed_tasks{0};
};

bool is_run(const task_run& run, const job_worker& worker, std::uint32_t number)
{
    return run.number == number && run.worker == worker.record.id;
}

/** Keeps the checkpoint, unless that of a newer run is known. */
void update_checkpoint(open_task& task, std::uint32_t run, const std::string& checkpoint)
{
    if (checkpoint.empty() || run < task.checkpoint_run)
        return;
    task.checkpoint = checkpoint;
    task.checkpoint_run = run;
}

open_task* find_task_of(open_job* job, const wire::task_ref& ref)
{
    const auto position = job == nullptr ? std::nullopt : wire::position_of(job->spec, ref);
    return position ? &job->tasks[*position] : nullptr;
}

void adopt(report_context& context, const worker_report::running_task& listed, open_job& job,
           open_task& task)
{
    const auto& step = job.spec.steps[listed.task.step];
    task_run run;
    run.number = listed.run;
    run.worker = context.worker.record.id;
    set_demand(run, step);
    run.phase = run_phase::running;
    run.phase_since = context.now;
    run.commanded_at = context.now;
    run.confirmed_at = context.now;
    run.listed = true;
    run.progressed_at = context.now;
    run.progress_percent = listed.percent;
    // Processor use far below the demand suggests that the earlier leader reduced the pace.
    const bool is_throttled = listed.measurement * 100 < run.best_effort_processors.value() * 70;
    if (is_throttled) {
        const auto used_percent = std::max<std::int64_t>(0, listed.measurement) *
                                  full_pace_percent / run.best_effort_processors.value();
        run.pace_percent =
            static_cast<std::uint32_t>(std::max(used_percent, min_adopted_pace_percent));
        run.claimed_percent = run.pace_percent;
    }
    // The worker has a lease of an earlier leader, which may not have expired.
    context.worker.lease_expires_at =
        std::max(context.worker.lease_expires_at,
                 context.now + certain_expiry(context.state.settings.lease));
    begin_run(context.state, listed.task, task, std::move(run));
    if (is_throttled)
        context.state.paces_due.set(listed.task, context.now);
    job.begun = true;
    ++context.state.counts.adopted;
}

void mark_orphan(report_context& context, const worker_report::running_task& listed)
{
    mark_orphan(context.state, context.worker, listed.task, listed.run, context.now);
}

/**
 * Clears the run of a task of which the worker lists another one, if that one is to be kept: it
 * runs while the other start was not sent, or it is the newer of two that are listed.
 */
void give_way_to(report_context& context, const worker_report::running_task& listed,
                 open_task& task)
{
    const auto& run = *task.run;
    const bool is_newer = run.listed && listed.run > run.number;
    if (!is_unsent(run.phase) && !is_newer)
        return;
    const auto worker = context.state.workers.find(run.worker);
    // A worker has one run of a task at most.
    const bool still_runs = run.listed && run.worker != context.worker.record.id;
    if (still_runs && worker != context.state.workers.end())
        mark_orphan(context.state, worker->second, listed.task, run.number, context.now);
    clear_run(context.state, listed.task, task);
}

void apply_to_task(report_context& context, const worker_report::running_task& listed,
                   open_job& job, open_task& task)
{
    if (task.succeeded)
        return mark_orphan(context, listed);
    task.last_run = std::max(task.last_run, listed.run);
    const bool is_stopped_as_orphan =
        task.orphans > 0 &&
        context.state.orphans.contains({context.worker.record.id, listed.task, listed.run});
    // An end that is being recorded says nothing about a run that is listed as running.
    const bool may_adopt = !job.ending && !task.success_read && !is_stopped_as_orphan;
    if (may_adopt && task.run && !is_run(*task.run, context.worker, listed.run))
        give_way_to(context, listed, task);
    if (may_adopt && !task.run)
        adopt(context, listed, job, task);
    if (!task.run || !is_run(*task.run, context.worker, listed.run))
        return mark_orphan(context, listed);
    auto& run = *task.run;
    run.listed = true;
    update_checkpoint(task, listed.run, listed.checkpoint);
    const bool withdrawn = run.phase == run_phase::withdrawn;
    if (is_unconfirmed(run.phase) || run.phase == run_phase::unknown || withdrawn)
        confirm_run(context.state, listed.task, run, context.now);
    if (withdrawn)
        stop_run(context.state, listed.task, task, run.cause, context.now);
    if (listed.percent != run.progress_percent) {
        run.progress_percent = listed.percent;
        run.progressed_at = context.now;
    }
}

/** Counts the run of a listed task once, also where several rows name the task. */
void count_listed_task(report_context& context, task_run& run)
{
    if (run.task_listed_at == context.now || run.worker != context.worker.record.id)
        return;
    run.task_listed_at = context.now;
    ++context.listed_tasks;
}

void apply_running(report_context& context, const worker_report::running_task& listed)
{
    settle_doubtful_start(context.state, context.worker, listed.task, listed.run);
    auto* job = find_job(context.state, listed.task.job);
    auto* task = find_task_of(job, listed.task);
    if (task == nullptr)
        return mark_orphan(context, listed);
    clear_if_survived(context.worker, *task);
    apply_to_task(context, listed, *job, *task);
    if (!task->run)
        return;
    count_listed_task(context, *task->run);
    if (task->run->number == listed.run)
        context.listed.push_back({&listed, job, task});
}

/**
 * One success completes the whole gang: the worker reports of the other members no longer list
 * them. Members of a later run are still running and are stopped.
 */
void end_gang(report_context& context, open_job& job, const worker_report::ended_run& ended)
{
    auto member = ended.task;
    for (member.index = 0; member.index < job.spec.steps[member.step].count; ++member.index) {
        auto* task = find_task(context.state, member);
        task->success_read = true;
        if (task->run && task->run->number == ended.run)
            clear_run(context.state, member, *task);
        else if (task->run)
            stop_run(context.state, member, *task, stop_cause::task_succeeded, context.now);
    }
}

/** Returns whether the ledger has recorded the end, so that it was applied by an earlier leader. */
bool is_recorded(const open_job& job, const worker_report::ended_run& ended)
{
    auto counted_at = ended.task;
    if (job.spec.steps[ended.task.step].gang)
        counted_at.index = 0;
    const auto& task = job.tasks[*wire::position_of(job.spec, counted_at)];
    if (ended.outcome == run_outcome::succeeded)
        return task.succeeded;
    return ended.outcome == run_outcome::failed &&
           std::find(task.failed_runs.begin(), task.failed_runs.end(), ended.run) !=
               task.failed_runs.end();
}

/**
 * Returns whether an earlier leader may have counted the end. Ends that the ledger does not record
 * are listed again to each leader until they are acknowledged, which its first report tells.
 */
bool may_be_counted(const report_context& context, const open_job& job,
                    const worker_report::ended_run& ended)
{
    const bool is_never_recorded =
        job.spec.steps[ended.task.step].long_running ||
        (ended.outcome != run_outcome::succeeded && ended.outcome != run_outcome::failed);
    return is_recorded(job, ended) || (is_never_recorded && !context.worker.report_read);
}

void update_failure_streak(report_context& context, run_outcome outcome)
{
    if (outcome == run_outcome::succeeded)
        context.worker.failure_streak = 0;
    if (outcome != run_outcome::failed)
        return;
    if (++context.worker.failure_streak >= max_failure_streak)
        context.worker.avoid_until = context.now + failing_worker_pause;
}

void count_outcome(job_counts& counts, run_outcome outcome)
{
    counts.succeeded += outcome == run_outcome::succeeded ? 1 : 0;
    counts.failed += outcome == run_outcome::failed ? 1 : 0;
    counts.expired += outcome == run_outcome::expired ? 1 : 0;
}

void apply_ended(report_context& context, const worker_report::ended_run& ended)
{
    settle_doubtful_start(context.state, context.worker, ended.task, ended.run);
    auto* job = find_job(context.state, ended.task.job);
    auto* task = find_task_of(job, ended.task);
    // The ends of a job are counted until it has no runs left.
    if (task == nullptr)
        return;
    if (!may_be_counted(context, *job, ended)) {
        count_outcome(context.state.counts, ended.outcome);
        update_failure_streak(context, ended.outcome);
    }
    clear_if_survived(context.worker, *task);
    mark_begun(context.state, ended.task.job, context.now);
    task->last_run = std::max(task->last_run, ended.run);
    update_checkpoint(*task, ended.run, ended.checkpoint);
    const bool is_current = task->run && is_run(*task->run, context.worker, ended.run);
    const auto& step = job->spec.steps[ended.task.step];
    if (is_current)
        clear_run(context.state, ended.task, *task);
    if (ended.outcome == run_outcome::failed)
        task->failed_on.insert(context.worker.record.id);
    const bool is_final_outcome =
        ended.outcome == run_outcome::succeeded || ended.outcome == run_outcome::failed;
    if (!is_final_outcome || step.long_running || task->succeeded || job->ending ||
        is_recorded(*job, ended))
        return forget_if_ended(context.state, ended.task.job);
    if (ended.outcome == run_outcome::succeeded)
        task->success_read = true;
    if (step.gang && ended.outcome == run_outcome::succeeded)
        end_gang(context, *job, ended);
    // Another run of the task may be in flight elsewhere; the task is done nevertheless.
    if (task->run && ended.outcome == run_outcome::succeeded)
        stop_run(context.state, ended.task, *task, stop_cause::task_succeeded, context.now);
    ++task->recording;
    context.to_record.push_back(
        {ended.task, ended.run, ended.outcome == run_outcome::succeeded, ended.checkpoint});
}

/** Returns the runs of the worker that the report does not list. */
std::vector<wire::task_ref> unlisted_runs(const job_worker& worker, const worker_report& report)
{
    const auto less = [](const wire::task_ref* left, const wire::task_ref* right) {
        return *left < *right;
    };
    std::vector<const wire::task_ref*> listed;
    listed.reserve(report.running.size());
    for (const auto& running : report.running)
        listed.push_back(&running.task);
    std::sort(listed.begin(), listed.end(), less);
    std::vector<wire::task_ref> unlisted;
    for (const auto& [ref, number] : worker.runs) {
        if (!std::binary_search(listed.begin(), listed.end(), &ref, less))
            unlisted.push_back(ref);
    }
    return unlisted;
}

/**
 * Returns whether the task of a stopped run has to wait: where the start got no reply, a stop that
 * this life of the worker has confirmed does not keep the next one from carrying it out.
 */
bool outlasts_stop(const report_context& context, const wire::task_ref& ref, const task_run& run)
{
    return !find_job(context.state, ref.job)->ending &&
           next_life_may_begin(context.state, context.worker, run, context.now);
}

/**
 * Clears runs that the report should list, as running or as ended, and does not. If it lists a part
 * of the ends, these runs keep their places until theirs are read.
 */
void clear_unlisted(report_context& context, const worker_report& report)
{
    if (context.listed_tasks == context.worker.runs.size())
        return;
    for (const auto& ref : unlisted_runs(context.worker, report)) {
        auto* task = find_task(context.state, ref);
        if (task == nullptr || !task->run)
            continue;
        clear_if_survived(context.worker, *task);
        if (task->run->phase_since >= context.requested_at)
            continue;
        const auto phase = task->run->phase;
        if (!report.complete) {
            task->run->end_unread = phase == run_phase::running || phase == run_phase::stopped;
            continue;
        }
        if (phase == run_phase::stopped && outlasts_stop(context, ref, *task->run))
            continue;
        if (phase == run_phase::running || phase == run_phase::stopped) {
            ++context.state.counts.unlisted;
            clear_run(context.state, ref, *task);
            forget_if_ended(context.state, ref.job);
        }
        if (phase == run_phase::unknown)
            stop_run(context.state, ref, *task, stop_cause::unconfirmed, context.now);
    }
}

} // namespace

std::vector<wire::record_completions::item>
on_worker_report(job_scheduler& state, const worker_id& id, const worker_report& report,
                 time_point requested_at, time_point now)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end())
        return {};
    report_context context{state, worker->second, requested_at, now, {}, {}, 0};
    context.listed.reserve(report.running.size());
    record_alive(worker->second, now);
    // It has seen the token of this leader for its present life, so earlier commands can no longer
    // extend its lease.
    if (!std::exchange(worker->second.has_reported, true))
        extend_lease_to_limit(state, id, now);
    worker->second.has_orphans = false;
    // Completions first: a task that ended and runs again is in both lists.
    for (const auto& ended : report.ended) {
        if (ended.number <= worker->second.completions_read)
            continue;
        worker->second.completions_read = ended.number;
        apply_ended(context, ended);
    }
    for (const auto& running : report.running)
        apply_running(context, running);
    if (report.complete)
        forget_orphans(state, id, now);
    clear_unlisted(context, report);
    control_tail_latency(state, worker->second, context.listed, now);
    mark_changed(state, worker->second);
    if (report.complete) {
        worker->second.report_read = true;
        state.unread_workers.erase(id);
    }
    else {
        ++state.counts.incomplete_reports;
    }
    if (!context.to_record.empty())
        worker->second.recording.insert(worker->second.completions_read);
    if (worker->second.recording.empty())
        worker->second.completions_acknowledged = worker->second.completions_read;
    return std::move(context.to_record);
}

void on_completions_recorded(job_scheduler& state,
                             const std::vector<wire::record_completions::item>& items)
{
    for (const auto& item : items) {
        auto* task = find_task(state, item.task);
        if (task == nullptr)
            continue;
        if (task->recording > 0)
            --task->recording;
        state.changed_jobs.insert(item.task.job);
    }
}

void acknowledge_completions(job_scheduler& state, const worker_id& id, std::uint64_t read_up_to)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end() || worker->second.recording.erase(read_up_to) == 0)
        return;
    if (worker->second.recording.empty())
        worker->second.completions_acknowledged = worker->second.completions_read;
}

} // namespace galenaturn::schedule
