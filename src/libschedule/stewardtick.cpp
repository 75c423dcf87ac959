#include "placement.h"
#include "preemption.h"
#include "steward.h"
#include "taskchart.h"
#include "waitreports.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/**
 * A worker without a heartbeat for the worker lease divided by this gets no new tasks until its
 * next heartbeat.
 */
constexpr int silent_lease_divisor = 2;
/** A probe that runs for this long on a quarantined worker ends the quarantine. */
constexpr std::chrono::seconds probe_success_time{30};
/** Maximum time that an eviction waits for a checkpoint. */
constexpr std::chrono::seconds checkpoint_timeout{10};

/** Ends placements whose leases have expired: the worker has stopped them on its own. */
void expire_leases(steward_state& steward, worker_entry& worker, time_point now)
{
    if (now < worker.earliest_lease_end)
        return;
    const auto tasks = worker.tasks;
    worker.earliest_lease_end = time_point::max();
    for (const auto& id : tasks) {
        auto& task = steward.tasks.at(id);
        if (now < task.lease_until) {
            worker.earliest_lease_end = std::min(worker.earliest_lease_end, task.lease_until);
            continue;
        }
        ++steward.counters.leases_expired;
        if (task.confirmed && task.state != "ending" && task.state != "evicting")
            ++steward.counters.evictions[static_cast<std::size_t>(eviction_reason::worker_lost)];
        apply_task_event(steward, task, "gone", now);
    }
}

/**
 * Evicts tasks whose time for a checkpoint is over, and starts evicting all tasks of a leaving
 * worker.
 */
void continue_evictions(steward_state& steward, worker_entry& worker, time_point now)
{
    for (const auto& id : worker.tasks) {
        auto& task = steward.tasks.at(id);
        if (task.state == "checkpointing" && now >= task.checkpoint_deadline)
            apply_task_event(steward, task, "evict", now);
        const bool evictable =
            task.state == "running" || task.state == "throttled" || task.state == "starting";
        if (worker.leaving && evictable)
            evict_after_checkpoint(steward, task, eviction_reason::worker_leaving, now);
    }
}

bool is_waiting(const steward_state& steward, const task_id& id)
{
    const auto task = steward.tasks.find(id);
    return task != steward.tasks.end() && task->second.state == "waiting";
}

/**
 * Ends the quarantine if the probe has run for long enough. If the probe left the worker without a
 * result, schedules another one.
 */
void check_probe(worker_entry& worker, steward_state& steward, time_point now)
{
    auto& health = worker.health;
    if (!health.quarantined || health.probe_task.empty())
        return;
    if (!worker.tasks.contains(health.probe_task)) {
        health.probe_task = task_id{};
        health.probe_at = now + health.probe_delay;
        return;
    }
    const auto& probe = steward.tasks.at(health.probe_task);
    if (!probe.confirmed || now < probe.started + probe_success_time)
        return;
    health = worker_health{};
    update_capacity_index(steward, worker);
}

void check_workers(steward_state& steward, time_point now)
{
    for (auto& [id, worker] : steward.workers) {
        const bool silent =
            now > worker.heartbeat_received_at + steward.terms.worker_lease / silent_lease_divisor;
        check_probe(worker, steward, now);
        const bool reservation_over =
            !worker.reserved_for_task.empty() &&
            (now >= worker.reserved_until || !is_waiting(steward, worker.reserved_for_task));
        if (reservation_over)
            worker.reserved_for_task = task_id{};
        if (silent != worker.silent || reservation_over) {
            worker.silent = silent;
            update_capacity_index(steward, worker);
        }
        expire_leases(steward, worker, now);
        continue_evictions(steward, worker, now);
    }
}

/**
 * Applies outcomes that were reported for placements of the previous steward, once its leases have
 * expired.
 */
void apply_inherited_outcomes(steward_state& steward, time_point now)
{
    if (!steward.inherited_outcomes_pending || now < steward.predecessor_leases_end)
        return;
    steward.inherited_outcomes_pending = false;
    for (auto& [id, task] : steward.tasks) {
        if (!task.inherited || task.state != "waiting")
            continue;
        if (task.record.cancel_requested || task.record.stop_requested) {
            apply_task_event(steward, task, "end", now);
            continue;
        }
        if (!task.inherited_outcome || task.inherited_outcome->assignment <= task.placement)
            continue;
        const auto& outcome = *task.inherited_outcome;
        if (outcome.checkpoint)
            task.record.checkpoint = outcome.checkpoint;
        if (outcome.state == wire::worker_task_state::succeeded) {
            task.record.worker = task.inherited_outcome_worker;
            apply_task_event(steward, task, "succeed", now);
        }
    }
    steward.placement_due = true;
}

} // namespace

bool evict_task(steward_state& steward, task_entry& task, eviction_reason reason, time_point now)
{
    if (!apply_task_event(steward, task, "evict", now))
        return false;
    ++steward.counters.evictions[static_cast<std::size_t>(reason)];
    ++task.evictions;
    task.last_eviction = now;
    return true;
}

bool evict_after_checkpoint(steward_state& steward, task_entry& task, eviction_reason reason,
                            time_point now)
{
    if (!apply_task_event(steward, task, "checkpoint", now))
        return evict_task(steward, task, reason, now);
    ++steward.counters.evictions[static_cast<std::size_t>(reason)];
    ++task.evictions;
    task.last_eviction = now;
    task.checkpoint_deadline = now + checkpoint_timeout;
    return true;
}

void on_tick(steward_state& steward, time_point now)
{
    if (steward.stewardship == epoch{})
        return;
    check_workers(steward, now);
    apply_inherited_outcomes(steward, now);
    place_waiting(steward, now);
    handle_unplaced_tasks(steward, now);
    report_long_waits(steward, now);
    erase_withdrawn_tasks(steward, now);
}

} // namespace galenaturn::schedule
