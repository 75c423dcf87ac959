#include "steward.h"
#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

wire::worker_command make_command(wire::worker_command_kind kind, const task_entry& task)
{
    wire::worker_command command;
    command.kind = kind;
    command.id = task.record.id;
    command.assignment = task.placement;
    command.job = task.record.job;
    command.demand = task.reserved;
    return command;
}

/** Returns whether the worker's last announcement contains the task's current placement. */
bool is_reported(const worker_entry& worker, const task_entry& task)
{
    const auto reported = worker.reported_tasks.find(task.record.id);
    return reported != worker.reported_tasks.end() && reported->second == task.placement;
}

/**
 * Adds a start or renew command that grants the placement a lease counted from the worker's last
 * heartbeat.
 */
void add_lease(steward_state& steward, const worker_entry& worker, task_entry& task,
               std::vector<wire::worker_command>& commands)
{
    const auto lease_end =
        worker.heartbeat_received_at + grantor_span(steward.terms, steward.terms.worker_lease);
    if (lease_end > max_lease_end(steward, task))
        return;
    const bool reported = is_reported(worker, task);
    if (!reported && (task.confirmed || task.placed_incarnation != worker.last_incarnation))
        return;
    auto command = make_command(
        reported ? wire::worker_command_kind::renew : wire::worker_command_kind::start, task);
    if (!reported)
        command.checkpoint = task.record.checkpoint;
    commands.push_back(command);
    task.lease_until = std::max(task.lease_until, lease_end);
}

void add_other_commands(const worker_entry& worker, const task_entry& task, time_point now,
                        std::vector<wire::worker_command>& commands)
{
    const bool repeats_full_speed = task.state == "running" && now < task.full_speed_repeated_until;
    if (task.state == "throttled" || repeats_full_speed) {
        auto command = make_command(wire::worker_command_kind::throttle, task);
        command.processors =
            task.state == "throttled" ? task.throttled_to : task.reserved.processors;
        commands.push_back(command);
    }
    if (task.state == "checkpointing" && is_reported(worker, task))
        commands.push_back(make_command(wire::worker_command_kind::checkpoint, task));
}

} // namespace

wire::worker_response make_worker_response(steward_state& steward, const worker_id& id,
                                           time_point now)
{
    wire::worker_response response;
    response.stewardship = steward.stewardship;
    response.lease = steward.terms.worker_lease;
    const auto found = steward.workers.find(id);
    if (found == steward.workers.end())
        return response;
    auto& worker = found->second;
    response.heartbeat = worker.heartbeat;
    worker.response_due = false;
    worker.earliest_lease_end = time_point::max();
    for (const auto& task_key : worker.tasks) {
        auto& task = steward.tasks.at(task_key);
        if (task.state == "ending" || task.state == "evicting") {
            response.commands.push_back(make_command(wire::worker_command_kind::stop, task));
        }
        else {
            add_lease(steward, worker, task, response.commands);
            add_other_commands(worker, task, now, response.commands);
        }
        worker.earliest_lease_end = std::min(worker.earliest_lease_end, task.lease_until);
    }
    for (const auto& [task_key, placement] : worker.orphans) {
        wire::worker_command command;
        command.kind = wire::worker_command_kind::stop;
        command.id = task_key;
        command.assignment = placement;
        response.commands.push_back(command);
    }
    return response;
}

} // namespace galenaturn::schedule
