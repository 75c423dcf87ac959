#include "applycommands.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

using wire::command_status;
using wire::task_outcome;
using wire::task_phase;
using wire::task_record;

void finish(apply_context& context, task_record& task, task_outcome outcome,
            const std::string& reason)
{
    GN_INVARIANT(task.phase != task_phase::finished, {"task", task.id});
    task.phase = task_phase::finished;
    task.outcome = outcome;
    task.reason = reason;
    // Before the first expire_records the clock is unset; the task finished after its submission.
    context.state.finished.push_back({task.id, std::max(context.state.clock, task.submitted)});
    context.change.tasks.push_back(task.id);
    remove_old_finished_tasks(context.state);
}

bool same_start(const task_record& task, const wire::start_task& body)
{
    return task.job == body.job && task.deadline == body.deadline &&
           (!body.demand || *body.demand == task.demand);
}

task_record make_task(const wire::start_task& body, const job_entry& job)
{
    task_record task;
    task.id = body.id;
    task.job = body.job;
    task.owner = job.owner;
    task.task_class = job.task_class;
    task.urgent = job.urgent;
    task.demand = body.demand.value_or(job.demand);
    task.hold = job.hold;
    task.submitted = body.submitted;
    task.deadline = body.deadline;
    return task;
}

/** Returns why a start is refused, or an empty string if it is not. */
std::string refuse_start(const ledger_state& state, const wire::start_task& body)
{
    const auto job = state.entries.jobs.find(body.job);
    if (job == state.entries.jobs.end())
        return "job '" + body.job.value() + "' is not in the catalogue";
    if (body.submitted <= state.latest_removed_submission)
        return "submitted so long ago that a task with this id may have finished and been removed";
    const auto owner = state.entries.owners.find(job->second.owner);
    const auto demand = body.demand.value_or(job->second.demand);
    if (owner != state.entries.owners.end() && !fits(demand, owner->second.quota))
        return "demand is larger than the quota of owner '" + job->second.owner.value() + "'";
    return {};
}

/** Finishes a task that no domain runs if its end was requested. Returns whether it did. */
bool finish_if_requested(apply_context& context, task_record& task)
{
    if (task.cancel_requested)
        finish(context, task, task_outcome::cancelled, "cancelled");
    else if (task.stop_requested)
        finish(context, task, task_outcome::stopped, "stopped");
    return task.phase == task_phase::finished;
}

wire::command_response request_end(apply_context& context, const task_id& id,
                                   bool task_record::*flag)
{
    const auto found = context.state.tasks.find(id);
    if (found == context.state.tasks.end())
        return make_response(command_status::rejected, "unknown task");
    auto& task = found->second;
    if (task.phase == task_phase::finished || task.*flag)
        return make_response(command_status::duplicate);
    task.*flag = true;
    if (task.phase == task_phase::pending)
        finish_if_requested(context, task);
    else
        context.change.tasks.push_back(id);
    return make_response(command_status::accepted);
}

/** Returns whether the item moves the task to another domain and names the current stewardship. */
bool may_move_to_other_domain(const ledger_state& state, const task_record& task,
                              const wire::assign_tasks::item& item)
{
    const auto current = state.stewardships.find(task.domain);
    const auto number = current == state.stewardships.end() ? epoch{} : current->second.number;
    return task.domain != item.domain && number == item.from_stewardship;
}

bool assign(apply_context& context, const wire::assign_tasks::item& item)
{
    const auto found = context.state.tasks.find(item.id);
    if (found == context.state.tasks.end())
        return false;
    auto& task = found->second;
    const bool movable =
        task.phase == task_phase::pending ||
        (task.phase == task_phase::assigned && may_move_to_other_domain(context.state, task, item));
    if (!movable || task.assignment != item.expected)
        return false;
    if (finish_if_requested(context, task))
        return true;
    task.phase = task_phase::assigned;
    task.domain = item.domain;
    task.assignment = item.expected.next();
    task.reason.clear();
    ++task.attempts;
    context.change.tasks.push_back(item.id);
    return true;
}

bool report(apply_context& context, const wire::report_tasks::item& item)
{
    const auto found = context.state.tasks.find(item.id);
    if (found == context.state.tasks.end())
        return false;
    auto& task = found->second;
    if (task.phase != task_phase::assigned || task.assignment != item.assignment)
        return false;
    if (item.checkpoint)
        task.checkpoint = item.checkpoint;
    if (!item.worker.empty())
        task.worker = item.worker;
    task.reason = item.reason;
    if (item.outcome != task_outcome::none) {
        finish(context, task, item.outcome, item.reason);
        return true;
    }
    if (item.released) {
        task.phase = task_phase::pending;
        task.domain = failure_domain_id{};
        if (finish_if_requested(context, task))
            return true;
    }
    context.change.tasks.push_back(item.id);
    return true;
}

template <class Items, class Apply>
wire::command_response apply_items(apply_context& context, const Items& items, Apply apply_item)
{
    std::size_t changed = 0;
    for (const auto& item : items)
        changed += apply_item(context, item) ? 1 : 0;
    if (changed == 0)
        return make_response(command_status::duplicate, "nothing changed");
    return make_response(command_status::accepted);
}

} // namespace

wire::command_response apply(apply_context& context, const wire::start_task& body)
{
    const auto existing = context.state.tasks.find(body.id);
    if (existing != context.state.tasks.end()) {
        if (same_start(existing->second, body))
            return make_response(command_status::duplicate);
        return make_response(command_status::rejected, "another task was started under this id");
    }
    auto reason = refuse_start(context.state, body);
    if (!reason.empty())
        return make_response(command_status::rejected, std::move(reason));
    context.state.tasks.emplace(body.id,
                                make_task(body, context.state.entries.jobs.find(body.job)->second));
    context.change.tasks.push_back(body.id);
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::cancel_task& body)
{
    return request_end(context, body.id, &task_record::cancel_requested);
}

wire::command_response apply(apply_context& context, const wire::stop_task& body)
{
    const auto found = context.state.tasks.find(body.id);
    if (found != context.state.tasks.end() && found->second.task_class == work_class::batch)
        return make_response(command_status::rejected,
                             "batch tasks end by themselves; cancel the task instead");
    return request_end(context, body.id, &task_record::stop_requested);
}

wire::command_response apply(apply_context& context, const wire::assign_tasks& body)
{
    return apply_items(context, body.items, assign);
}

wire::command_response apply(apply_context& context, const wire::report_tasks& body)
{
    return apply_items(context, body.items, report);
}

void remove_old_finished_tasks(ledger_state& state)
{
    auto& finished = state.finished;
    while (!finished.empty()) {
        const bool expired =
            finished.front().finished + limits.finished_task_retention < state.clock;
        if (!expired && finished.size() <= limits.max_finished_tasks)
            return;
        const auto task = state.tasks.find(finished.front().id);
        if (!expired)
            state.latest_removed_submission =
                std::max(state.latest_removed_submission, task->second.submitted);
        state.tasks.erase(task);
        finished.pop_front();
    }
}

} // namespace galenaturn::ledger
