#include "steward.h"

#include "taskchart.h"

#include <algorithm>
#include <utility>

namespace galenaturn::schedule {

namespace {

/** Returns whether the record assigns the task to this domain. */
bool is_assigned_here(const steward_state& steward, const wire::task_record* record)
{
    return record != nullptr && record->phase == wire::task_phase::assigned &&
           record->domain == steward.domain;
}

void add_task(steward_state& steward, const wire::task_record& record, bool inherited,
              time_point now)
{
    auto& task = steward.tasks[record.id];
    task = task_entry{};
    task.record = record;
    task.state = steward.chart->initial;
    task.reserved = needed_reservation(steward.sizes, record.job, record.demand);
    task.inherited = inherited;
    task.not_before = inherited ? steward.predecessor_leases_end : now;
    enqueue_task(steward, task, now);
    if ((record.cancel_requested || record.stop_requested) && !inherited)
        apply_task_event(steward, task, "end", now);
}

/**
 * Removes a task that the ledger withdrew. Returns true if its entry is kept until its worker has
 * stopped it.
 */
bool withdraw_task(steward_state& steward, task_entry& task, time_point now)
{
    if (has_reservation(task)) {
        task.withdrawn = true;
        if (apply_task_event(steward, task, "end", now))
            ++steward.counters
                  .evictions[static_cast<std::size_t>(eviction_reason::moved_by_ledger)];
        return true;
    }
    steward.queue.erase(task.queue_position);
    steward.pending_reports.erase(task.record.id);
    steward.tasks.erase(task_id{task.record.id});
    return false;
}

void update_record(steward_state& steward, task_entry& task, const wire::task_record& record,
                   time_point now)
{
    const auto checkpoint = task.record.checkpoint;
    const auto worker = task.record.worker;
    task.record = record;
    // The checkpoint and worker known here are at least as recent as those in the ledger.
    if (checkpoint)
        task.record.checkpoint = checkpoint;
    if (!worker.empty())
        task.record.worker = worker;
    const bool waits_for_predecessor =
        task.inherited && now < task.not_before && !has_reservation(task);
    if ((record.cancel_requested || record.stop_requested) && !waits_for_predecessor)
        apply_task_event(steward, task, "end", now);
}

} // namespace

void begin_stewardship(steward_state& steward, epoch number, time_point now)
{
    end_stewardship(steward);
    steward.stewardship = number;
    steward.inherited_outcomes_pending = true;
    // Epoch 1 is the first stewardship of the domain: no earlier leases exist.
    const bool first = number == epoch{}.next();
    const auto lease = grantor_span(steward.terms, steward.terms.worker_lease);
    steward.predecessor_leases_end = first ? now : now + lease;
}

void renumber_stewardship(steward_state& steward, epoch number)
{
    GN_INVARIANT(number > steward.stewardship, {"held", steward.stewardship}, {"next", number});
    steward.stewardship = number;
}

void end_stewardship(steward_state& steward)
{
    steward.stewardship = epoch{};
    steward.acknowledged_send_time = time_point{};
    steward.tasks.clear();
    steward.workers.clear();
    steward.workers_by_slot.clear();
    steward.job_tasks_per_rack.clear();
    steward.rack_indexes.clear();
    steward.colocation_trials.clear();
    steward.ended_withdrawn_tasks.clear();
    steward.index = capacity_index{};
    steward.queue.clear();
    steward.pending_reports.clear();
}

void on_heartbeat_acknowledged(steward_state& steward, time_point sent)
{
    if (sent <= steward.acknowledged_send_time)
        return;
    steward.acknowledged_send_time = sent;
    steward.placement_due = true;
}

void on_catalogue(steward_state& steward, const catalogue& entries)
{
    steward.jobs = entries.jobs;
    steward.latency_objectives.clear();
    steward.quotas.clear();
    for (const auto& [id, entry] : entries.owners)
        steward.quotas[id] = entry.quota;
    for (const auto& [id, entry] : entries.services) {
        if (entry.latency_objective == duration{})
            continue;
        auto& objective = steward.latency_objectives[entry.owner];
        if (objective == duration{} || entry.latency_objective < objective)
            objective = entry.latency_objective;
    }
}

void on_task_record(steward_state& steward, const task_id& id, const wire::task_record* record,
                    bool inherited, time_point now)
{
    const auto found = steward.tasks.find(id);
    if (found == steward.tasks.end()) {
        if (is_assigned_here(steward, record))
            add_task(steward, *record, inherited, now);
        return;
    }
    auto& task = found->second;
    const bool same_assignment =
        is_assigned_here(steward, record) && record->assignment == task.record.assignment;
    if (same_assignment && !task.withdrawn) {
        update_record(steward, task, *record, now);
        return;
    }
    if (task.withdrawn || withdraw_task(steward, task, now)) {
        task.next_assignment =
            is_assigned_here(steward, record) ? std::optional{*record} : std::nullopt;
        return;
    }
    if (is_assigned_here(steward, record))
        add_task(steward, *record, inherited, now);
}

void erase_withdrawn_tasks(steward_state& steward, time_point now)
{
    for (const auto& id : std::exchange(steward.ended_withdrawn_tasks, {})) {
        const auto next_assignment = steward.tasks.at(id).next_assignment;
        steward.tasks.erase(id);
        if (next_assignment)
            add_task(steward, *next_assignment, false, now);
    }
}

std::vector<wire::report_tasks::item> next_reports(const steward_state& steward, std::size_t limit)
{
    std::vector<wire::report_tasks::item> due;
    for (const auto& [id, item] : steward.pending_reports) {
        if (due.size() >= limit)
            break;
        due.push_back(item);
    }
    return due;
}

void on_reports_accepted(steward_state& steward,
                         const std::vector<wire::report_tasks::item>& accepted)
{
    for (const auto& item : accepted) {
        const auto found = steward.pending_reports.find(item.id);
        if (found == steward.pending_reports.end())
            continue;
        const auto& pending = found->second;
        const bool unchanged =
            pending.assignment == item.assignment && pending.outcome == item.outcome &&
            pending.released == item.released && pending.checkpoint == item.checkpoint &&
            pending.reason == item.reason;
        if (unchanged)
            steward.pending_reports.erase(found);
    }
}

domain_load current_load(const steward_state& steward)
{
    domain_load load;
    for (const auto& [id, worker] : steward.workers) {
        if (worker.silent || worker.leaving)
            continue;
        load.capacity += worker.capacity;
        ++load.workers;
        load.quarantined += worker.health.quarantined ? 1 : 0;
        load.running += static_cast<std::uint32_t>(worker.tasks.size());
        auto& largest = load.largest_worker;
        largest.processors = std::max(largest.processors, worker.capacity.processors);
        largest.memory = std::max(largest.memory, worker.capacity.memory);
        largest.accelerators = std::max(largest.accelerators, worker.capacity.accelerators);
        if (!worker.health.quarantined)
            load.free += worker.capacity - worker.reserved;
    }
    load.largest_free = steward.index.largest_free();
    load.waiting = static_cast<std::uint32_t>(steward.queue.size());
    for (const auto& position : steward.queue)
        load.waiting_demand += steward.tasks.at(position.id).reserved;
    return load;
}

time_point max_lease_end(const steward_state& steward, const task_entry& task)
{
    if (steward.acknowledged_send_time == time_point{})
        return {};
    auto span = effective_hold(steward.terms, task.record.hold);
    if (steward.succession_possible)
        span = std::min(span, steward.terms.stewardship_limit);
    return steward.acknowledged_send_time + span;
}

} // namespace galenaturn::schedule
