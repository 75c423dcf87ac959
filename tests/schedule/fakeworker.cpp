#include "fakeworker.h"

#include <algorithm>

namespace galenaturn::schedule {

using wire::worker_command_kind;
using wire::worker_task_state;

duration checkpoint_progress(const std::optional<checkpoint_id>& checkpoint)
{
    return checkpoint ? duration{std::stoll(checkpoint->value())} : duration{};
}

namespace {

constexpr std::size_t max_remembered_heartbeats = 64;

} // namespace

bool is_active(const fake_run& run)
{
    return run.state == worker_task_state::running || run.state == worker_task_state::checkpointing;
}

bool fake_worker::runs_task(const task_id& task) const
{
    const auto run = runs_.find(task);
    return run != runs_.end() && is_active(run->second);
}

wire::worker_announcement fake_worker::announce(time_point now)
{
    heartbeat_ = heartbeat_.next();
    heartbeat_sent_at_[heartbeat_] = now;
    if (heartbeat_sent_at_.size() > max_remembered_heartbeats)
        heartbeat_sent_at_.erase(heartbeat_sent_at_.begin());
    wire::worker_announcement announced;
    announced.id = id;
    announced.domain = domain;
    announced.rack = rack;
    announced.incarnation_number = worker_incarnation;
    announced.heartbeat = heartbeat_;
    announced.capacity = capacity;
    for (auto& [task, run] : runs_) {
        if (!is_active(run) && run.outcome_reported_in == heartbeat_number{})
            run.outcome_reported_in = heartbeat_;
        announced.tasks.push_back({task, run.placement, run.state, run.checkpoint, run.demand, {}});
    }
    return announced;
}

std::vector<task_id> fake_worker::on_worker_response(const wire::worker_response& response,
                                                     time_point now)
{
    std::vector<task_id> granted;
    const auto sent = heartbeat_sent_at_.find(response.heartbeat);
    if (sent == heartbeat_sent_at_.end() || response.stewardship < stewardship_)
        return granted;
    stewardship_ = response.stewardship;
    // Expires leases now instead of at the worker's next step.
    advance(now, duration{});
    forget_reported(response.heartbeat);
    const auto lease_until = sent->second + response.lease;
    for (const auto& command : response.commands) {
        const auto run = runs_.find(command.id);
        const bool same = run != runs_.end() && run->second.placement == command.assignment;
        if (command.kind == worker_command_kind::start && lease_until > now && !same)
            start(command, lease_until);
        const bool grant = command.kind == worker_command_kind::start ||
                           command.kind == worker_command_kind::renew;
        if (grant && runs_task(command.id) && runs_[command.id].placement == command.assignment) {
            runs_[command.id].lease_until = std::max(runs_[command.id].lease_until, lease_until);
            granted.push_back(command.id);
        }
        if (command.kind == worker_command_kind::checkpoint && same)
            run->second.checkpoint_requested = true;
        if (command.kind == worker_command_kind::stop && same) {
            if (is_active(run->second))
                run->second.state = worker_task_state::stopped;
        }
    }
    check_capacity();
    return granted;
}

void fake_worker::start(const wire::worker_command& command, time_point lease_until)
{
    auto& highest = highest_epochs_[command.id];
    if (command.assignment <= highest)
        return;
    highest = command.assignment;
    fake_run run;
    run.placement = command.assignment;
    run.job = command.job;
    run.demand = command.demand;
    run.checkpoint = command.checkpoint;
    run.work_done = checkpoint_progress(command.checkpoint);
    run.lease_until = lease_until;
    runs_[command.id] = run;
}

void fake_worker::forget_reported(heartbeat_number acknowledged)
{
    std::erase_if(runs_, [acknowledged](const auto& entry) {
        const auto& run = entry.second;
        return !is_active(run) && run.outcome_reported_in != heartbeat_number{} &&
               run.outcome_reported_in <= acknowledged;
    });
}

void fake_worker::advance(time_point now, duration span)
{
    for (auto& [task, run] : runs_) {
        if (!is_active(run))
            continue;
        if (now >= run.lease_until) {
            run.state = worker_task_state::stopped;
            continue;
        }
        run.work_done += span;
        if (std::exchange(run.checkpoint_requested, false))
            run.checkpoint = checkpoint_id{std::to_string(run.work_done.count())};
    }
}

void fake_worker::end_run(const task_id& task, worker_task_state state)
{
    runs_.at(task).state = state;
}

void fake_worker::crash()
{
    up = false;
    worker_incarnation = worker_incarnation.next();
    runs_.clear();
    highest_epochs_.clear();
    heartbeat_sent_at_.clear();
    heartbeat_ = heartbeat_number{};
    stewardship_ = epoch{};
}

void fake_worker::check_capacity() const
{
    resources used;
    for (const auto& [task, run] : runs_) {
        if (is_active(run))
            used += run.demand;
    }
    GN_INVARIANT(fits(used, capacity), {"worker", id}, {"processors", used.processors});
}

} // namespace galenaturn::schedule
