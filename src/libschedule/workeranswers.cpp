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
bool is_listed(const worker_entry& worker, const task_entry& task)
{
    const auto listed = worker.listed.find(task.record.id);
    return listed != worker.listed.end() && listed->second == task.placement;
}

/**
 * Adds a start or renew command that grants the placement a lease counted from the worker's last
 * heartbeat.
 */
void add_grant(steward_state& steward, const worker_entry& worker, task_entry& task,
               std::vector<wire::worker_command>& commands)
{
    const auto until = worker.received_at + grantor_span(steward.terms, steward.terms.worker_lease);
    if (until > grant_limit(steward, task))
        return;
    const bool listed = is_listed(worker, task);
    if (!listed && (task.seen || task.placed_life != worker.life))
        return;
    auto command = make_command(
        listed ? wire::worker_command_kind::renew : wire::worker_command_kind::start, task);
    if (!listed)
        command.checkpoint = task.record.checkpoint;
    commands.push_back(command);
    task.lease_until = std::max(task.lease_until, until);
}

void add_orders(const worker_entry& worker, task_entry& task,
                std::vector<wire::worker_command>& commands)
{
    if (task.state == "throttled" || task.restore_speed) {
        auto command = make_command(wire::worker_command_kind::throttle, task);
        command.processors =
            task.state == "throttled" ? task.throttled_to : task.reserved.processors;
        commands.push_back(command);
        task.restore_speed = false;
    }
    if (task.state == "checkpointing" && is_listed(worker, task))
        commands.push_back(make_command(wire::worker_command_kind::checkpoint, task));
}

} // namespace

wire::worker_answer answer_worker(steward_state& steward, const worker_id& id, time_point /*now*/)
{
    wire::worker_answer answer;
    answer.stewardship = steward.stewardship;
    answer.lease = steward.terms.worker_lease;
    const auto found = steward.workers.find(id);
    if (found == steward.workers.end())
        return answer;
    auto& worker = found->second;
    answer.heartbeat = worker.heartbeat;
    worker.due = false;
    worker.next_lease_end = time_point::max();
    for (const auto& task_name : worker.tasks) {
        auto& task = steward.tasks.at(task_name);
        if (task.state == "ending" || task.state == "evicting") {
            answer.commands.push_back(make_command(wire::worker_command_kind::stop, task));
        }
        else {
            add_grant(steward, worker, task, answer.commands);
            add_orders(worker, task, answer.commands);
        }
        worker.next_lease_end = std::min(worker.next_lease_end, task.lease_until);
    }
    for (const auto& [task_name, placement] : worker.strays) {
        wire::worker_command command;
        command.kind = wire::worker_command_kind::stop;
        command.id = task_name;
        command.assignment = placement;
        answer.commands.push_back(command);
    }
    return answer;
}

} // namespace galenaturn::schedule
