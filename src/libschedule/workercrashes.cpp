#include "workercrashes.h"

#include "jobruns.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** A task alone is blamed only for a crash within this time after its start. */
constexpr duration blame_window = std::chrono::milliseconds{250};
/** At most this share of the workers is isolated for suspects at a time, but always one. */
constexpr std::size_t max_isolated_percent = 25;
/** Workers that are lost within this time of each other were not crashed by their tasks. */
constexpr duration joint_loss_span = std::chrono::milliseconds{50};
constexpr std::ptrdiff_t min_joint_losses = 2;
constexpr std::size_t max_contact_losses = 256;
/** A worker reserved for a suspect is kept for it this long; after the crash window it can start.
 */
constexpr duration max_wait_for_others = 2 * crash_window;

/** Returns whether so many workers were lost at that moment that no task explains it. */
bool is_joint_loss(const job_scheduler& state, time_point at)
{
    const auto& losses = state.contact_losses;
    return std::count_if(losses.begin(), losses.end(), [&](time_point other) {
               return other >= at - joint_loss_span && other <= at + joint_loss_span;
           }) >= min_joint_losses;
}

/** Returns whether it is known when the worker stopped, so that joint losses can be recognised. */
bool is_moment_known(const job_worker& worker)
{
    return worker.lost &&
           (worker.lost->closed || worker.lost->at - worker.alive_at <= joint_loss_span);
}

bool outlived_crash_window(const task_run& run, time_point alive_at)
{
    return run.confirmed_at && alive_at - *run.confirmed_at >= crash_window;
}

} // namespace

bool is_suspect(const open_task& task)
{
    return (task.crashes > 0 || task.lost_in_silence) && !task.cleared;
}

bool allows_start(const job_worker& worker, const placement_request& request, time_point now)
{
    const bool is_isolated = now < worker.isolated_until;
    if (!request.suspect)
        return !is_isolated;
    if (is_isolated ? worker.isolated_for != request.job->id : request.only_isolated)
        return false;
    return request.waits_for_others ||
           now - last_start_of_others(worker.starts, request.job->id) >= crash_window;
}

bool has_isolated_worker(const job_scheduler& state, const submission_id& job, time_point now)
{
    return std::any_of(state.workers.begin(), state.workers.end(), [&](const auto& entry) {
        return now < entry.second.isolated_until && entry.second.isolated_for == job;
    });
}

bool may_risk_worker(const job_scheduler& state, time_point now)
{
    const auto isolated = static_cast<std::size_t>(
        std::count_if(state.workers.begin(), state.workers.end(),
                      [&](const auto& entry) { return now < entry.second.isolated_until; }));
    return isolated < std::max<std::size_t>(1, state.workers.size() * max_isolated_percent / 100);
}

time_point last_start_of_others(const recent_starts& starts, const submission_id& job)
{
    return starts.last_job == job ? starts.other_at : starts.last_at;
}

void record_start(recent_starts& starts, const submission_id& job, time_point now)
{
    if (starts.last_job != job)
        starts.other_at = starts.last_at;
    starts.last_job = job;
    starts.last_at = std::max(starts.last_at, now);
}

void isolate(job_worker& worker, const submission_id& job, time_point now)
{
    worker.isolated_for = job;
    worker.isolated_until = now + crash_window;
}

void reserve_for_suspect(job_worker& worker, const submission_id& job, time_point now)
{
    worker.isolated_for = job;
    worker.isolated_until = now + max_wait_for_others;
}

void record_alive(job_worker& worker, time_point now)
{
    worker.alive_at = now;
    worker.lost.reset();
    worker.unexplained.clear();
}

void clear_if_survived(const job_worker& worker, open_task& task)
{
    if (is_suspect(task) && task.run && task.run->worker == worker.record.id &&
        outlived_crash_window(*task.run, worker.alive_at))
        task.cleared = true;
}

void record_contact_loss(job_scheduler& state, const worker_id& id, time_point now, bool closed)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end() || worker->second.lost)
        return;
    worker->second.lost = contact_loss{now, closed};
    if (closed)
        worker->second.alive_at = std::max(worker->second.alive_at, now);
    if (worker->second.left)
        return;
    state.contact_losses.push_back(now);
    if (state.contact_losses.size() > max_contact_losses)
        state.contact_losses.pop_front();
}

std::vector<wire::record_crash::item> crash_items(job_scheduler& state, const job_worker& worker)
{
    using wire::crash_suspicion;
    std::vector<wire::record_crash::item> items;
    std::set<submission_id> suspected_jobs;
    for (const auto& [ref, number] : worker.runs) {
        const auto* task = find_task(state, ref);
        const auto& run = *task->run;
        const bool never_arrived = is_unsent(run.phase) || (!run.confirmed_at && worker.lost &&
                                                            run.commanded_at > worker.lost->at);
        if (never_arrived || run.end_unread)
            continue;
        const bool cleared = outlived_crash_window(run, worker.alive_at);
        if (cleared && task->crashes == 0)
            continue;
        items.push_back(
            {ref, number, cleared ? crash_suspicion::cleared : crash_suspicion::suspect});
        if (!cleared)
            suspected_jobs.insert(ref.job);
    }
    if (!is_moment_known(worker) || suspected_jobs.size() != 1 ||
        is_joint_loss(state, worker.lost->at))
        return items;
    for (auto& item : items) {
        const auto& run = *find_task(state, item.task)->run;
        // An unconfirmed run may never have started.
        if (item.suspicion == crash_suspicion::suspect && run.confirmed_at &&
            worker.lost->at - run.commanded_at <= blame_window)
            item.suspicion = crash_suspicion::only_suspect;
    }
    return items;
}

} // namespace galenaturn::schedule
