#include "failures.h"
#include "reactions.h"
#include "steward.h"
#include "taskchart.h"
#include "waitreports.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

using wire::worker_task_state;

bool has_ended(worker_task_state state)
{
    return state != worker_task_state::starting && state != worker_task_state::running &&
           state != worker_task_state::checkpointing;
}

worker_entry& find_or_add_worker(steward_state& steward, const worker_id& id)
{
    const auto [found, added] = steward.workers.try_emplace(id);
    if (added) {
        found->second.id = id;
        found->second.slot = steward.slots.size();
        steward.slots.push_back(&found->second);
    }
    return found->second;
}

void note_checkpoint(steward_state& steward, task_entry& task, const wire::worker_task& report,
                     time_point now)
{
    if (!report.checkpoint || task.record.checkpoint == report.checkpoint)
        return;
    task.record.checkpoint = report.checkpoint;
    task.last_checkpoint = now;
    if (!task.dropped) {
        auto& item = steward.reports[task.record.id];
        item.id = task.record.id;
        item.assignment = task.record.assignment;
        item.checkpoint = report.checkpoint;
        item.worker = task.worker;
    }
    if (task.state == "checkpointing")
        apply_task_event(steward, task, "evict", now);
}

/** Handles the end of a placement that the worker reported. */
void end_placement(steward_state& steward, worker_entry& worker, task_entry& task,
                   const wire::worker_task& report, time_point now)
{
    if (report.state == worker_task_state::succeeded) {
        on_task_success(steward, task, worker, now);
        // The last run of a resumed task is not representative of its whole run time.
        if (!task.resumed)
            learn_run_time(steward.sizes, task.record.job, now - task.started);
        apply_task_event(steward, task, "succeed", now);
        return;
    }
    const bool ordered =
        task.state == "ending" || task.state == "evicting" || task.state == "checkpointing";
    if (report.state == worker_task_state::evicted && !ordered)
        ++steward.counters.evictions[static_cast<std::size_t>(eviction_reason::worker_evicted)];
    apply_task_event(steward, task, "gone", now);
    if (task.state != "waiting" || task.dropped)
        return;
    if (report.state == worker_task_state::failed)
        on_task_failure(steward, task, worker, report.reason, now);
    if (report.state == worker_task_state::out_of_memory)
        on_out_of_memory(steward, task, now);
}

/** Adopts a running placement that a previous steward made. */
void adopt(steward_state& steward, worker_entry& worker, task_entry& task,
           const wire::worker_task& report, time_point now)
{
    task.placement = report.assignment;
    task.worker = worker.id;
    task.record.worker = worker.id;
    task.seen = true;
    task.lease_until = std::max(steward.predecessor_until, now);
    apply_task_event(steward, task, "seen_running", now);
    if (task.record.cancel_requested || task.record.stop_requested)
        apply_task_event(steward, task, "end", now);
}

/** Handles a reported placement of an inherited task that this steward did not make. */
void take_inherited(steward_state& steward, worker_entry& worker, task_entry& task,
                    const wire::worker_task& report, time_point now)
{
    if (has_ended(report.state)) {
        if (on_worker(task) ||
            (task.inherited_end && task.inherited_end->assignment > report.assignment))
            return;
        task.inherited_end = report;
        task.inherited_end_worker = worker.id;
        return;
    }
    if (on_worker(task))
        apply_task_event(steward, task, "gone", now);
    if (task.state == "waiting")
        adopt(steward, worker, task, report, now);
}

void take_known(steward_state& steward, worker_entry& worker, task_entry& task,
                const wire::worker_task& report, time_point now)
{
    task.seen = true;
    task.used = report.used;
    // The use of a throttled task reflects its limit, not its need.
    if (task.state == "running")
        learn_use(steward.sizes, task.record.job, report.used);
    note_checkpoint(steward, task, report, now);
    if (has_ended(report.state))
        end_placement(steward, worker, task, report, now);
    else if (apply_task_event(steward, task, "seen_running", now))
        report_running(steward, task);
}

/**
 * Processes one task of an announcement. Returns false if the worker must stop it or may forget it.
 */
bool take_task(steward_state& steward, worker_entry& worker, const wire::worker_task& report,
               time_point now)
{
    const auto found = steward.tasks.find(report.id);
    if (found == steward.tasks.end())
        return false;
    auto& task = found->second;
    if (task.worker == worker.id && task.placement == report.assignment) {
        take_known(steward, worker, task, report, now);
        return on_worker(task) || steward.reports.contains(report.id);
    }
    const bool later = report.assignment > task.placement &&
                       assignment_of(report.assignment) == task.record.assignment;
    if (later && task.inherited && !task.dropped) {
        take_inherited(steward, worker, task, report, now);
        return true;
    }
    const bool ended_here = task.placement == report.assignment && !on_worker(task);
    if (!ended_here)
        ++steward.counters.stale_reports;
    return ended_here && steward.reports.contains(report.id);
}

/** Ends placements that the worker reported before and no longer reports. */
void end_missing(steward_state& steward, worker_entry& worker, time_point now)
{
    const auto tasks = worker.tasks;
    for (const auto& id : tasks) {
        auto& task = steward.tasks.at(id);
        const auto listed = worker.listed.find(id);
        if (!task.seen || (listed != worker.listed.end() && listed->second == task.placement))
            continue;
        if (task.state != "ending" && task.state != "evicting")
            ++steward.counters.evictions[static_cast<std::size_t>(eviction_reason::worker_lost)];
        apply_task_event(steward, task, "gone", now);
    }
}

} // namespace

announcement_result on_announcement(steward_state& steward,
                                    const wire::worker_announcement& announced, time_point now)
{
    auto& worker = find_or_add_worker(steward, announced.id);
    if (announced.life < worker.life ||
        (announced.life == worker.life && announced.heartbeat < worker.heartbeat)) {
        ++steward.counters.stale_reports;
        return announcement_result::late;
    }
    if (announced.life == worker.life && announced.heartbeat == worker.heartbeat)
        return announcement_result::repeated;
    const bool same_life = announced.life == worker.life;
    worker.life = announced.life;
    worker.heartbeat = announced.heartbeat;
    worker.received_at = now;
    worker.rack = announced.rack;
    worker.rack_number =
        steward.racks.try_emplace(announced.rack, steward.racks.size()).first->second;
    worker.capacity = announced.capacity;
    auto& largest = steward.largest_capacity;
    largest.processors = std::max(largest.processors, worker.capacity.processors);
    largest.memory = std::max(largest.memory, worker.capacity.memory);
    largest.accelerators = std::max(largest.accelerators, worker.capacity.accelerators);
    worker.leaving = announced.leaving;
    worker.silent = false;
    worker.due = false;
    worker.listed.clear();
    worker.strays.clear();
    for (const auto& report : announced.tasks) {
        worker.listed[report.id] = report.assignment;
        if (!take_task(steward, worker, report, now))
            worker.strays[report.id] = report.assignment;
    }
    // After a restart of the worker, tasks of its previous incarnation end when their leases expire
    // at the latest.
    if (same_life)
        end_missing(steward, worker, now);
    // Commands for orphans are sent at once instead of at the end of the long poll.
    worker.due = !worker.strays.empty();
    take_latency(steward, worker, announced.service_latency, announced.usage_age, now);
    note_occupancy(steward, worker, now);
    update_index(steward, worker);
    steward.queue_changed = true;
    forget_dropped(steward, now);
    return announcement_result::accepted;
}

bool awaits_ledger(const steward_state& steward, const worker_id& id)
{
    const auto worker = steward.workers.find(id);
    if (worker == steward.workers.end())
        return false;
    for (const auto& [task, placement] : worker->second.listed) {
        const auto report = steward.reports.find(task);
        if (report != steward.reports.end() && report->second.outcome != wire::task_outcome::none &&
            report->second.assignment == assignment_of(placement))
            return true;
    }
    return false;
}

} // namespace galenaturn::schedule
