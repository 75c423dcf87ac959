#include "jobruns.h"
#include "workercrashes.h"
#include "workerlives.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/**
 * Pause before a worker that reported a lack of capacity is used again. Short, because a run may
 * end there at any moment.
 */
constexpr duration no_capacity_pause = std::chrono::milliseconds{300};
/** Pause before a worker that did not answer, or may get no lease, is used again. */
constexpr duration unresponsive_pause = std::chrono::milliseconds{300};
/** Pause before a worker that reported itself unhealthy is used again. */
constexpr duration unhealthy_pause = std::chrono::seconds{2};

/** Stops the other members of a gang of which this member was not started. */
void stop_gang(job_scheduler& state, const start_command& command, time_point now)
{
    auto& job = *find_job(state, command.task.job);
    const auto& step = job.spec.steps[command.task.step];
    if (!step.gang)
        return;
    auto member = command.task;
    for (member.index = 0; member.index < step.count; ++member.index) {
        auto& task = *find_task(state, member);
        if (task.run && task.run->number == command.run)
            stop_run(state, member, task, stop_cause::gang_incomplete, now);
    }
}

/** Returns whether no member of the gang, if it is one, was cleared or is being stopped. */
bool is_gang_complete(const job_scheduler& state, const start_command& command)
{
    const auto& job = state.jobs.at(command.task.job);
    const auto& step = job.spec.steps[command.task.step];
    if (!step.gang)
        return true;
    auto member = command.task;
    for (member.index = 0; member.index < step.count; ++member.index) {
        const auto& run = job.tasks[*wire::position_of(job.spec, member)].run;
        if (!run || run->number != command.run || is_being_stopped(run->phase))
            return false;
    }
    return true;
}

} // namespace

std::optional<drop_reason> reason_to_drop(const job_scheduler& state, const start_command& command)
{
    const auto* run = find_run(state, command.task, command.run, command.worker);
    if (run == nullptr || run->phase != run_phase::planned)
        return drop_reason::outdated;
    if (!is_gang_complete(state, command))
        return drop_reason::outdated;
    const auto worker = state.workers.find(command.worker);
    if (worker == state.workers.end() || worker->second.lost)
        return drop_reason::worker_lost;
    if (worker->second.leaving)
        return drop_reason::worker_leaving;
    if (command.suspect &&
        last_start_of_others(worker->second.starts, command.task.job) > command.planned_at)
        return drop_reason::not_isolated;
    if (!worker->second.doubtful_starts.empty())
        return drop_reason::no_lease;
    if (!fits(worker->second.reserved, worker->second.record.capacity))
        return drop_reason::no_capacity;
    return std::nullopt;
}

void drop_start(job_scheduler& state, const start_command& command, drop_reason reason,
                time_point now)
{
    ++state.counts.dropped[static_cast<std::size_t>(reason)];
    const auto worker = state.workers.find(command.worker);
    const bool avoid = reason == drop_reason::no_lease || reason == drop_reason::unanswered;
    if (worker != state.workers.end() && avoid)
        worker->second.avoid_until = std::max(worker->second.avoid_until, now + unresponsive_pause);
    const auto* run = find_run(state, command.task, command.run, command.worker);
    if (run != nullptr && is_unsent(run->phase))
        on_start_result(state, command, command_result::not_sent, now);
}

void on_start_sent(job_scheduler& state, const start_command& command, time_point now)
{
    auto& run = *find_task(state, command.task)->run;
    GN_INVARIANT(run.phase == run_phase::planned && run.number == command.run,
                 {"task", command.task}, {"run", command.run});
    set_phase(run, run_phase::commanded, now);
    run.commanded_at = now;
    ++state.counts.starts;
    auto& worker = state.workers.at(command.worker);
    record_start(worker.starts, command.task.job, now);
    if (command.suspect)
        isolate(worker, command.task.job, now);
}

bool is_due(const job_scheduler& state, const stop_command& command)
{
    const auto worker = state.workers.find(command.worker);
    if (worker == state.workers.end())
        return false;
    const auto& doubtful = worker->second.doubtful_starts;
    if (std::any_of(doubtful.begin(), doubtful.end(), [&](const auto& start) {
            return start.task == command.task && start.run == command.run;
        }))
        return true;
    if (command.cause == stop_cause::orphan)
        return state.orphans.contains({command.worker, command.task, command.run});
    const auto* run = find_run(state, command.task, command.run, command.worker);
    return run != nullptr && run->phase == run_phase::stopping;
}

bool is_due(const job_scheduler& state, const pace_command& command)
{
    const auto* run = find_run(state, command.task, command.run, command.worker);
    return run != nullptr && run->phase == run_phase::running &&
           run->pace_percent == command.percent;
}

std::uint32_t on_stop_sent(job_scheduler& state, const stop_command& command)
{
    for (auto& start : state.workers.at(command.worker).doubtful_starts) {
        if (start.task == command.task && start.run == command.run)
            return ++start.stops_sent;
    }
    if (command.cause == stop_cause::orphan)
        return ++state.orphans.at({command.worker, command.task, command.run}).sent;
    return ++find_task(state, command.task)->run->stops_sent;
}

void on_start_result(job_scheduler& state, const start_command& command, command_result outcome,
                     time_point now)
{
    if (outcome == command_result::accepted)
        mark_begun(state, command.task.job, now);
    if (find_run(state, command.task, command.run, command.worker) == nullptr)
        return;
    auto* task = find_task(state, command.task);
    const auto worker = state.workers.find(command.worker);
    auto& run = *task->run;
    if (outcome == command_result::accepted) {
        if (worker != state.workers.end())
            worker->second.alive_at = std::max(worker->second.alive_at, now);
        ++state.counts.confirmed;
        if (is_unconfirmed(run.phase))
            confirm_run(state, command.task, run, now);
        return;
    }
    if (outcome == command_result::none) {
        ++state.counts.unanswered;
        extend_lease_to_limit(state, command.worker, now);
        if (is_unconfirmed(run.phase))
            set_phase(run, run_phase::unknown, now);
        return;
    }
    // Every other result means that no run was started.
    state.counts.refused += outcome == command_result::not_sent ? 0 : 1;
    if (worker != state.workers.end()) {
        auto& avoid_until = worker->second.avoid_until;
        if (outcome == command_result::no_capacity)
            avoid_until = now + no_capacity_pause;
        if (outcome == command_result::unreachable)
            avoid_until = std::max(avoid_until, now + unresponsive_pause);
        if (outcome == command_result::unhealthy || outcome == command_result::refused)
            avoid_until = now + unhealthy_pause;
    }
    clear_run(state, command.task, *task);
    stop_gang(state, command, now);
    forget_if_ended(state, command.task.job);
}

void on_stop_result(job_scheduler& state, const stop_command& command, command_result outcome,
                    time_point now)
{
    // A worker that has seen a higher run of the task will not begin this one.
    const bool confirmed =
        outcome == command_result::accepted || outcome == command_result::stale_run;
    if (!confirmed)
        return;
    const auto worker = state.workers.find(command.worker);
    if (worker != state.workers.end())
        settle_doubtful_start(state, worker->second, command.task, command.run);
    const auto* run = find_run(state, command.task, command.run, command.worker);
    if (run == nullptr || run->phase != run_phase::stopping)
        return;
    auto* task = find_task(state, command.task);
    state.stops_due.erase(command.task);
    set_phase(*task->run, run_phase::stopped, now);
}

void on_pace_result(job_scheduler& state, const pace_command& command, command_result outcome)
{
    auto* task = find_task(state, command.task);
    const bool is_current = task != nullptr && task->run && task->run->number == command.run &&
                            task->run->worker == command.worker;
    if (!is_current || outcome != command_result::accepted)
        return;
    // The pace may have changed again while the command was in flight.
    if (task->run->pace_percent == command.percent)
        state.paces_due.erase(command.task);
}

} // namespace galenaturn::schedule
