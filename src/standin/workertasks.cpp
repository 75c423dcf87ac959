#include "workertasks.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace galenaturn::standin {

namespace {

/** How long an ended task is reported, unless the steward stops it earlier. */
constexpr std::chrono::seconds ended_retention{30};
/** Share of its demanded resources that a task uses. */
constexpr double used_share = 0.8;

std::int64_t share_of(std::int64_t amount, double share)
{
    return static_cast<std::int64_t>(static_cast<double>(amount) * share);
}

/** Returns the progress in milliseconds that follows the last '-' of a checkpoint id. */
duration progress_of(const checkpoint_id& checkpoint)
{
    const auto dash = checkpoint.value().rfind('-');
    if (dash == std::string::npos)
        return {};
    return std::chrono::milliseconds{std::atoll(checkpoint.value().c_str() + dash + 1)};
}

} // namespace

worker_tasks::worker_tasks(task_behaviour behaviour) : behaviour_{std::move(behaviour)} {}

bool worker_tasks::is_long_running(const job_id& job) const
{
    const auto& names = behaviour_.long_running_jobs;
    return std::any_of(names.begin(), names.end(), [&job](const std::string& part) {
        return job.value().find(part) != std::string::npos;
    });
}

void worker_tasks::apply(const wire::worker_response& response, time_point sent, time_point now)
{
    using kind = wire::worker_command_kind;
    const auto lease_end = sent + response.lease;
    for (const auto& command : response.commands) {
        auto& highest_epoch = highest_epochs_[command.id];
        if (command.assignment < highest_epoch)
            continue;
        highest_epoch = command.assignment;
        if (command.kind == kind::start) {
            start(command, lease_end, now);
            continue;
        }
        const auto found = tasks_.find(command.id);
        if (found == tasks_.end() || found->second.report.assignment != command.assignment)
            continue;
        auto& task = found->second;
        advance_task(task, now);
        if (command.kind == kind::stop && !task.running)
            tasks_.erase(found);
        else if (command.kind == kind::stop)
            end(task, wire::worker_task_state::stopped, "stopped", now);
        else if (command.kind == kind::renew)
            task.lease_end = std::max(task.lease_end, lease_end);
        else if (command.kind == kind::checkpoint && task.running)
            take_checkpoint(task, now);
        else if (command.kind == kind::throttle && task.demand.processors.value() > 0)
            task.speed = static_cast<double>(command.processors.value()) /
                         static_cast<double>(task.demand.processors.value());
    }
}

void worker_tasks::start(const wire::worker_command& command, time_point lease_end, time_point now)
{
    const auto found = tasks_.find(command.id);
    if (found != tasks_.end()) {
        auto& earlier = found->second;
        if (earlier.report.assignment == command.assignment) {
            earlier.lease_end = std::max(earlier.lease_end, lease_end);
            return;
        }
        if (earlier.running)
            end(earlier, wire::worker_task_state::stopped, "superseded", now);
    }
    if (lease_end <= now)
        return;
    task_state task;
    task.report.id = command.id;
    task.report.assignment = command.assignment;
    task.report.state = wire::worker_task_state::running;
    task.report.checkpoint = command.checkpoint;
    task.report.used = {millicores{share_of(command.demand.processors.value(), used_share)},
                        bytes{share_of(command.demand.memory.value(), used_share)},
                        command.demand.accelerators};
    task.demand = command.demand;
    task.long_running = is_long_running(command.job);
    task.running = true;
    task.lease_end = lease_end;
    task.advanced = now;
    task.checkpointed = now;
    if (command.checkpoint)
        task.progress = progress_of(*command.checkpoint);
    events_.push_back({command.id, command.assignment, true, "started"});
    tasks_[command.id] = std::move(task);
}

void worker_tasks::end(task_state& task, wire::worker_task_state state, const std::string& reason,
                       time_point now)
{
    task.running = false;
    task.ended = now;
    task.report.state = state;
    task.report.reason = reason;
    task.report.used = {};
    events_.push_back({task.report.id, task.report.assignment, false, reason});
}

void worker_tasks::take_checkpoint(task_state& task, time_point now)
{
    const auto progress = std::chrono::duration_cast<std::chrono::milliseconds>(task.progress);
    task.report.checkpoint =
        checkpoint_id{task.report.id.value() + "-" + std::to_string(progress.count())};
    task.checkpointed = now;
}

void worker_tasks::advance_task(task_state& task, time_point now)
{
    if (!task.running)
        return;
    if (now >= task.lease_end)
        return end(task, wire::worker_task_state::evicted, "lease_expired", now);
    if (behaviour_.fail_all)
        return end(task, wire::worker_task_state::failed, "asked_to_fail", now);
    const auto elapsed = static_cast<double>((now - task.advanced).count());
    task.progress += duration{static_cast<std::int64_t>(elapsed * task.speed)};
    task.advanced = now;
    if (!task.long_running && task.progress >= behaviour_.run_time)
        return end(task, wire::worker_task_state::succeeded, "succeeded", now);
    if (now - task.checkpointed >= behaviour_.checkpoint_interval)
        take_checkpoint(task, now);
}

void worker_tasks::advance(time_point now)
{
    for (auto& [id, task] : tasks_)
        advance_task(task, now);
    forget_ended(now);
}

void worker_tasks::forget_ended(time_point now)
{
    std::erase_if(tasks_, [now](const auto& item) {
        return !item.second.running && now - item.second.ended > ended_retention;
    });
}

void worker_tasks::stop_all(time_point now, const std::string& reason)
{
    for (auto& [id, task] : tasks_) {
        advance_task(task, now);
        if (task.running)
            end(task, wire::worker_task_state::stopped, reason, now);
    }
}

std::vector<wire::worker_task> worker_tasks::reports() const
{
    std::vector<wire::worker_task> reports;
    for (const auto& [id, task] : tasks_)
        reports.push_back(task.report);
    return reports;
}

std::size_t worker_tasks::running() const
{
    return static_cast<std::size_t>(std::count_if(
        tasks_.begin(), tasks_.end(), [](const auto& item) { return item.second.running; }));
}

std::vector<task_event> worker_tasks::take_events()
{
    return std::exchange(events_, {});
}

} // namespace galenaturn::standin
