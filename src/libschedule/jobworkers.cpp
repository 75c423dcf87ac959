#include "jobplacement.h"
#include "jobruns.h"
#include "tailwatch.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** Consecutive failures of runs, without a success between, that are attributed to the worker. */
constexpr std::uint32_t failing_streak = 3;
constexpr duration failing_pause = std::chrono::seconds{6};

using end_items = std::vector<wire::record_ends::item>;

struct list_step {
    job_scheduler& state;
    job_worker& worker;
    time_point asked;
    time_point now;
    end_items to_record;
};

void adopt(list_step& at, const worker_list::running_task& listed, open_task& task)
{
    const auto& step = find_job(at.state, listed.task.job)->spec.steps[listed.task.step];
    task_run run;
    run.number = listed.run;
    run.worker = at.worker.record.id;
    set_demand(run, step);
    run.phase = run_phase::running;
    run.since = at.now;
    run.ordered_at = at.now;
    run.progressed_at = at.now;
    run.percent = listed.percent;
    // Processor use far below the demand suggests that the earlier leader reduced the pace.
    const bool slowed = listed.figure * 100 < run.filling.value() * 70;
    begin_run(at.state, listed.task, task, std::move(run));
    if (slowed)
        at.state.paces_due.insert(listed.task);
    find_job(at.state, listed.task.job)->started = true;
    ++at.state.counts.adopted;
}

void take_running(list_step& at, const worker_list::running_task& listed)
{
    auto* job = find_job(at.state, listed.task.job);
    auto* task = find_task(at.state, listed.task);
    const auto stray = [&] {
        ++at.state.counts.strays;
        at.state.strays.push_back({listed.task, listed.run, at.worker.record.id});
    };
    if (task == nullptr || task->succeeded)
        return stray();
    task->last_run = std::max(task->last_run, listed.run);
    if (!task->run && !job->ending && !task->recording)
        adopt(at, listed, *task);
    if (!task->run || task->run->worker != at.worker.record.id || task->run->number != listed.run)
        return stray();
    auto& run = *task->run;
    if (!listed.checkpoint.empty())
        task->checkpoint = listed.checkpoint;
    if (run.phase == run_phase::ordered || run.phase == run_phase::unknown)
        set_phase(run, run_phase::running, at.now);
    if (listed.percent != run.percent) {
        run.percent = listed.percent;
        run.progressed_at = at.now;
    }
}

/**
 * One success completes the whole gang: the worker reports of the other members no longer list
 * them.
 */
void clear_gang(list_step& at, open_job& job, const wire::task_ref& ref)
{
    auto member = ref;
    for (member.index = 0; member.index < job.spec.steps[ref.step].count; ++member.index)
        clear_run(at.state, member, *find_task(at.state, member));
}

void judge_worker(list_step& at, run_end how)
{
    if (how == run_end::succeeded)
        at.worker.failure_streak = 0;
    if (how != run_end::failed)
        return;
    if (++at.worker.failure_streak >= failing_streak)
        at.worker.avoid_until = at.now + failing_pause;
}

void count(job_counts& counts, run_end how)
{
    counts.succeeded += how == run_end::succeeded ? 1 : 0;
    counts.failed += how == run_end::failed ? 1 : 0;
    counts.lapsed += how == run_end::lapsed ? 1 : 0;
}

void take_end(list_step& at, const worker_list::ended_run& ended)
{
    count(at.state.counts, ended.how);
    judge_worker(at, ended.how);
    auto* job = find_job(at.state, ended.task.job);
    auto* task = find_task(at.state, ended.task);
    if (task == nullptr)
        return;
    task->last_run = std::max(task->last_run, ended.run);
    if (!ended.checkpoint.empty())
        task->checkpoint = ended.checkpoint;
    const bool current =
        task->run && task->run->number == ended.run && task->run->worker == at.worker.record.id;
    const auto& step = job->spec.steps[ended.task.step];
    if (current)
        clear_run(at.state, ended.task, *task);
    if (ended.how == run_end::failed)
        task->failed_on.insert(at.worker.record.id);
    const bool counts = ended.how == run_end::succeeded || ended.how == run_end::failed;
    if (!counts || step.endless || task->succeeded || job->ending)
        return drop_ended(at.state, ended.task.job);
    if (step.gang && ended.how == run_end::succeeded)
        clear_gang(at, *job, ended.task);
    // Another run of the task may be in flight elsewhere; the task is done nevertheless.
    if (task->run && ended.how == run_end::succeeded)
        stop_run(at.state, ended.task, *task, at.now);
    task->recording = true;
    at.to_record.push_back(
        {ended.task, ended.run, ended.how == run_end::succeeded, ended.checkpoint});
}

/** Clears runs that the report should list, as running or as ended, and does not. */
void clear_unlisted(list_step& at, const worker_list& list)
{
    std::set<wire::task_ref> listed;
    for (const auto& running : list.running)
        listed.insert(running.task);
    const auto runs = at.worker.runs;
    for (const auto& [ref, number] : runs) {
        auto* task = find_task(at.state, ref);
        if (listed.contains(ref) || task == nullptr || !task->run || task->run->since >= at.asked)
            continue;
        const auto phase = task->run->phase;
        if (phase == run_phase::running || phase == run_phase::stopped) {
            clear_run(at.state, ref, *task);
            drop_ended(at.state, ref.job);
        }
        if (phase == run_phase::unknown)
            stop_run(at.state, ref, *task, at.now);
    }
}

void end_all_runs(job_scheduler& state, job_worker& worker)
{
    const auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
        if (auto* task = find_task(state, ref))
            clear_run(state, ref, *task);
        drop_ended(state, ref.job);
    }
}

} // namespace

void hear_worker(job_scheduler& state, const wire::worker_beat& beat)
{
    if (beat.left)
        return remove_worker(state, beat.worker.id);
    auto& worker = state.workers[beat.worker.id];
    worker.record = beat.worker;
    worker.leaving = beat.leaving;
}

void admit_worker(job_scheduler& state, const worker_id& id)
{
    const auto worker = state.workers.find(id);
    if (worker != state.workers.end())
        worker->second.admitted = true;
}

void remove_worker(job_scheduler& state, const worker_id& id)
{
    state.unread.erase(id);
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end())
        return;
    end_all_runs(state, worker->second);
    state.workers.erase(worker);
}

void note_lease(job_scheduler& state, const worker_id& id, time_point now)
{
    const auto worker = state.workers.find(id);
    if (worker != state.workers.end())
        worker->second.lease_ends =
            std::max(worker->second.lease_ends, now + certain_lapse(state.settings.lease));
}

void note_answer(job_scheduler& state, const worker_id& id, time_point asked)
{
    const auto worker = state.workers.find(id);
    if (worker != state.workers.end())
        worker->second.answered_at = std::max(worker->second.answered_at, asked);
}

std::vector<wire::record_ends::item> take_list(job_scheduler& state, const worker_id& id,
                                               const worker_list& list, time_point asked,
                                               time_point now)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end())
        return {};
    list_step at{state, worker->second, asked, now, {}};
    // Completions first: a task that ended and runs again is in both lists.
    for (const auto& ended : list.ended) {
        if (ended.number <= worker->second.ends_read)
            continue;
        worker->second.ends_read = ended.number;
        take_end(at, ended);
    }
    for (const auto& running : list.running)
        take_running(at, running);
    clear_unlisted(at, list);
    watch_tails(state, worker->second, list, now);
    worker->second.read = true;
    state.unread.erase(id);
    if (at.to_record.empty())
        worker->second.ends_settled = worker->second.ends_read;
    return std::move(at.to_record);
}

void ends_recorded(job_scheduler& state, const std::vector<wire::record_ends::item>& items)
{
    for (const auto& item : items) {
        if (auto* task = find_task(state, item.task))
            task->recording = false;
    }
}

void settle_ends(job_scheduler& state, const worker_id& id)
{
    const auto worker = state.workers.find(id);
    if (worker != state.workers.end())
        worker->second.ends_settled = worker->second.ends_read;
}

void expire_leases(job_scheduler& state, time_point now)
{
    for (auto& [id, worker] : state.workers) {
        if (now <= worker.lease_ends || worker.runs.empty())
            continue;
        state.counts.lapsed += worker.runs.size();
        end_all_runs(state, worker);
    }
}

} // namespace galenaturn::schedule
