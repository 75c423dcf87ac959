#include "fakeledger.h"

namespace galenaturn::schedule {

using wire::task_outcome;
using wire::task_phase;

duration checkpoint_progress(const std::optional<checkpoint_id>& checkpoint)
{
    return checkpoint ? duration{std::stoll(checkpoint->value())} : duration{};
}

fake_change fake_ledger_state::apply(const wire::command& command)
{
    fake_change change;
    if (const auto* assign = std::get_if<wire::assign_tasks>(&command)) {
        for (const auto& item : assign->items)
            apply_assignment(item, change);
    }
    if (const auto* report = std::get_if<wire::report_tasks>(&command)) {
        for (const auto& item : report->items)
            apply_report(item, change);
    }
    if (const auto* cancel = std::get_if<wire::cancel_task>(&command))
        apply_end(cancel->id, &wire::task_record::cancel_requested, change);
    if (const auto* stop = std::get_if<wire::stop_task>(&command))
        apply_end(stop->id, &wire::task_record::stop_requested, change);
    if (const auto* grant = std::get_if<wire::grant_stewardship>(&command)) {
        auto& held = stewardships[grant->domain];
        if (held.number == grant->expected) {
            held = {grant->steward, grant->expected.next()};
            change.stewardships = true;
        }
    }
    return change;
}

void fake_ledger_state::finish(wire::task_record& task, task_outcome outcome, fake_change& change)
{
    GN_INVARIANT(task.phase != task_phase::finished, {"task", task.id});
    task.phase = task_phase::finished;
    task.outcome = outcome;
    change.tasks.push_back(task.id);
}

void fake_ledger_state::apply_assignment(const wire::assign_tasks::item& item, fake_change& change)
{
    auto& task = tasks.at(item.id);
    const bool movable = task.phase == task_phase::pending ||
                         (task.phase == task_phase::assigned && task.domain != item.domain &&
                          stewardships[task.domain].number == item.from_stewardship);
    if (!movable || task.assignment != item.expected)
        return;
    if (task.cancel_requested || task.stop_requested) {
        finish(task, task.cancel_requested ? task_outcome::cancelled : task_outcome::stopped,
               change);
        return;
    }
    task.phase = task_phase::assigned;
    task.domain = item.domain;
    task.assignment = item.expected.next();
    change.tasks.push_back(task.id);
}

void fake_ledger_state::apply_report(const wire::report_tasks::item& item, fake_change& change)
{
    auto& task = tasks.at(item.id);
    if (task.phase != task_phase::assigned || task.assignment != item.assignment)
        return;
    if (item.checkpoint)
        task.checkpoint = item.checkpoint;
    task.reason = item.reason;
    if (item.outcome != task_outcome::none) {
        finish(task, item.outcome, change);
        return;
    }
    if (item.released)
        task.phase = task_phase::pending;
    change.tasks.push_back(task.id);
}

void fake_ledger_state::apply_end(const task_id& id, bool wire::task_record::*flag,
                                  fake_change& change)
{
    auto& task = tasks.at(id);
    if (task.phase == task_phase::finished || task.*flag)
        return;
    task.*flag = true;
    if (task.phase == task_phase::pending)
        finish(task, task.cancel_requested ? task_outcome::cancelled : task_outcome::stopped,
               change);
    else
        change.tasks.push_back(id);
}

} // namespace galenaturn::schedule
