#include "latencyreactions.h"
#include "steward.h"
#include "taskchart.h"
#include "taskfailures.h"
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
        found->second.slot = steward.workers_by_slot.size();
        steward.workers_by_slot.push_back(&found->second);
    }
    return found->second;
}

void record_checkpoint(steward_state& steward, task_entry& task, const wire::worker_task& report,
                       time_point now)
{
    if (!report.checkpoint || task.record.checkpoint == report.checkpoint)
        return;
    task.record.checkpoint = report.checkpoint;
    task.last_checkpoint = now;
    if (!task.withdrawn) {
        auto& item = steward.pending_reports[task.record.id];
        item.id = task.record.id;
        item.assignment = task.record.assignment;
        item.checkpoint = report.checkpoint;
        item.worker = task.worker;
    }
    if (task.state == "checkpointing")
        apply_task_event(steward, task, "evict", now);
}

/** Handles the end of a placement that the worker reported. */
void on_placement_end(steward_state& steward, worker_entry& worker, task_entry& task,
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
    const bool end_commanded =
        task.state == "ending" || task.state == "evicting" || task.state == "checkpointing";
    if (report.state == worker_task_state::evicted && !end_commanded)
        ++steward.counters.evictions[static_cast<std::size_t>(eviction_reason::worker_evicted)];
    apply_task_event(steward, task, "gone", now);
    if (task.state != "waiting" || task.withdrawn)
        return;
    if (report.state == worker_task_state::failed)
        on_task_failure(steward, task, worker, report.reason, now);
    if (report.state == worker_task_state::out_of_memory)
        on_out_of_memory(steward, task, now);
}

/** Adopts a running placement that a previous steward made. */
void adopt_placement(steward_state& steward, worker_entry& worker, task_entry& task,
                     const wire::worker_task& report, time_point now)
{
    task.placement = report.assignment;
    task.worker = worker.id;
    task.record.worker = worker.id;
    task.confirmed = true;
    task.lease_until = std::max(steward.predecessor_leases_end, now);
    apply_task_event(steward, task, "seen_running", now);
    // The previous steward may have throttled it.
    repeat_full_speed(steward, task, now);
    if (task.record.cancel_requested || task.record.stop_requested)
        apply_task_event(steward, task, "end", now);
}

/** Handles a reported placement of an inherited task that this steward did not make. */
void on_inherited_placement_report(steward_state& steward, worker_entry& worker, task_entry& task,
                                   const wire::worker_task& report, time_point now)
{
    if (has_ended(report.state)) {
        if (has_reservation(task) ||
            (task.inherited_outcome && task.inherited_outcome->assignment > report.assignment))
            return;
        task.inherited_outcome = report;
        task.inherited_outcome_worker = worker.id;
        return;
    }
    if (has_reservation(task))
        apply_task_event(steward, task, "gone", now);
    if (task.state == "waiting")
        adopt_placement(steward, worker, task, report, now);
}

void on_own_placement_report(steward_state& steward, worker_entry& worker, task_entry& task,
                             const wire::worker_task& report, time_point now)
{
    task.confirmed = true;
    task.used = report.used;
    // The use of a throttled task reflects its limit, not its need.
    if (task.state == "running")
        learn_use(steward.sizes, task.record.job, report.used);
    record_checkpoint(steward, task, report, now);
    if (has_ended(report.state))
        on_placement_end(steward, worker, task, report, now);
    else if (apply_task_event(steward, task, "seen_running", now))
        clear_reported_wait(steward, task);
}

/**
 * Processes one task of an announcement. Returns false if the worker must stop it or may forget it.
 */
bool on_task_report(steward_state& steward, worker_entry& worker, const wire::worker_task& report,
                    time_point now)
{
    const auto found = steward.tasks.find(report.id);
    if (found == steward.tasks.end())
        return false;
    auto& task = found->second;
    if (task.worker == worker.id && task.placement == report.assignment) {
        on_own_placement_report(steward, worker, task, report, now);
        return has_reservation(task) || steward.pending_reports.contains(report.id);
    }
    const bool later = report.assignment > task.placement &&
                       assignment_of(report.assignment) == task.record.assignment;
    if (later && task.inherited && !task.withdrawn) {
        on_inherited_placement_report(steward, worker, task, report, now);
        return true;
    }
    const bool ended_here = task.placement == report.assignment && !has_reservation(task);
    if (!ended_here)
        ++steward.counters.stale_reports;
    return ended_here && steward.pending_reports.contains(report.id);
}

/** Ends placements that the worker reported before and no longer reports. */
void end_unreported_placements(steward_state& steward, worker_entry& worker, time_point now)
{
    const auto tasks = worker.tasks;
    for (const auto& id : tasks) {
        auto& task = steward.tasks.at(id);
        const auto reported = worker.reported_tasks.find(id);
        if (!task.confirmed ||
            (reported != worker.reported_tasks.end() && reported->second == task.placement))
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
    if (announced.incarnation_number < worker.last_incarnation ||
        (announced.incarnation_number == worker.last_incarnation &&
         announced.heartbeat < worker.heartbeat)) {
        ++steward.counters.stale_reports;
        return announcement_result::outdated;
    }
    if (announced.incarnation_number == worker.last_incarnation &&
        announced.heartbeat == worker.heartbeat)
        return announcement_result::repeated;
    const bool same_incarnation = announced.incarnation_number == worker.last_incarnation;
    worker.last_incarnation = announced.incarnation_number;
    worker.heartbeat = announced.heartbeat;
    worker.heartbeat_received_at = now;
    worker.rack = announced.rack;
    worker.rack_index =
        steward.rack_indexes.try_emplace(announced.rack, steward.rack_indexes.size()).first->second;
    worker.capacity = announced.capacity;
    auto& largest = steward.largest_capacity;
    largest.processors = std::max(largest.processors, worker.capacity.processors);
    largest.memory = std::max(largest.memory, worker.capacity.memory);
    largest.accelerators = std::max(largest.accelerators, worker.capacity.accelerators);
    worker.leaving = announced.leaving;
    worker.silent = false;
    worker.response_due = false;
    worker.reported_tasks.clear();
    worker.orphans.clear();
    for (const auto& report : announced.tasks) {
        worker.reported_tasks[report.id] = report.assignment;
        if (!on_task_report(steward, worker, report, now))
            worker.orphans[report.id] = report.assignment;
    }
    // After a restart of the worker, tasks of its previous incarnation end when their leases expire
    // at the latest.
    if (same_incarnation)
        end_unreported_placements(steward, worker, now);
    // Commands for orphans are sent at once instead of at the end of the long poll.
    worker.response_due = !worker.orphans.empty();
    on_latency_measurement(steward, worker, announced.service_latency, announced.usage_age, now);
    record_occupancy(steward, worker, now);
    update_capacity_index(steward, worker);
    steward.placement_due = true;
    erase_withdrawn_tasks(steward, now);
    return announcement_result::accepted;
}

bool has_unacknowledged_outcome(const steward_state& steward, const worker_id& id)
{
    const auto worker = steward.workers.find(id);
    if (worker == steward.workers.end())
        return false;
    for (const auto& [task, placement] : worker->second.reported_tasks) {
        const auto report = steward.pending_reports.find(task);
        if (report != steward.pending_reports.end() &&
            report->second.outcome != wire::task_outcome::none &&
            report->second.assignment == assignment_of(placement))
            return true;
    }
    return false;
}

} // namespace galenaturn::schedule
