#include "displacement.h"
#include "placement.h"
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
constexpr int silent_lease_share = 2;
/** A probe that runs for this long on a quarantined worker ends the quarantine. */
constexpr std::chrono::seconds probe_limit{30};
/** Maximum time that an eviction waits for a checkpoint. */
constexpr std::chrono::seconds checkpoint_limit{10};

/** Ends placements whose leases have expired: the worker has stopped them on its own. */
void lapse_leases(steward_state& steward, worker_entry& worker, time_point now)
{
    if (now < worker.next_lease_end)
        return;
    const auto tasks = worker.tasks;
    worker.next_lease_end = time_point::max();
    for (const auto& id : tasks) {
        auto& task = steward.tasks.at(id);
        if (now < task.lease_until) {
            worker.next_lease_end = std::min(worker.next_lease_end, task.lease_until);
            continue;
        }
        ++steward.counters.leases_lapsed;
        if (task.seen && task.state != "ending" && task.state != "evicting")
            ++steward.counters.evictions[static_cast<std::size_t>(eviction_reason::worker_lost)];
        apply_task_event(steward, task, "gone", now);
    }
}

/**
 * Evicts tasks whose time for a checkpoint is over, and starts evicting all tasks of a leaving
 * worker.
 */
void watch_evictions(steward_state& steward, worker_entry& worker, time_point now)
{
    for (const auto& id : worker.tasks) {
        auto& task = steward.tasks.at(id);
        if (task.state == "checkpointing" && now >= task.checkpoint_deadline)
            apply_task_event(steward, task, "evict", now);
        const bool stays =
            task.state == "running" || task.state == "throttled" || task.state == "starting";
        if (worker.leaving && stays)
            order_eviction(steward, task, eviction_reason::worker_leaving, now);
    }
}

bool waits(const steward_state& steward, const task_id& id)
{
    const auto task = steward.tasks.find(id);
    return task != steward.tasks.end() && task->second.state == "waiting";
}

/**
 * Ends the quarantine if the probe has run for long enough. If the probe left the worker without a
 * result, schedules another one.
 */
void watch_probe(worker_entry& worker, steward_state& steward, time_point now)
{
    auto& health = worker.health;
    if (!health.quarantined || health.probe.empty())
        return;
    if (!worker.tasks.contains(health.probe)) {
        health.probe = task_id{};
        health.probe_at = now + health.probe_pause;
        return;
    }
    const auto& probe = steward.tasks.at(health.probe);
    if (!probe.seen || now < probe.started + probe_limit)
        return;
    health = worker_health{};
    update_index(steward, worker);
}

void watch_workers(steward_state& steward, time_point now)
{
    for (auto& [id, worker] : steward.workers) {
        const bool silent =
            now > worker.received_at + steward.terms.worker_lease / silent_lease_share;
        watch_probe(worker, steward, now);
        const bool hold_over = !worker.held_for.empty() &&
                               (now >= worker.held_until || !waits(steward, worker.held_for));
        if (hold_over)
            worker.held_for = task_id{};
        if (silent != worker.silent || hold_over) {
            worker.silent = silent;
            update_index(steward, worker);
        }
        lapse_leases(steward, worker, now);
        watch_evictions(steward, worker, now);
    }
}

/**
 * Applies outcomes that were reported for placements of the previous steward, once its leases have
 * expired.
 */
void settle_inherited(steward_state& steward, time_point now)
{
    if (!steward.inheritance_open || now < steward.predecessor_until)
        return;
    steward.inheritance_open = false;
    for (auto& [id, task] : steward.tasks) {
        if (!task.inherited || task.state != "waiting")
            continue;
        if (task.record.cancel_requested || task.record.stop_requested) {
            apply_task_event(steward, task, "end", now);
            continue;
        }
        if (!task.inherited_end || task.inherited_end->assignment <= task.placement)
            continue;
        const auto& end = *task.inherited_end;
        if (end.checkpoint)
            task.record.checkpoint = end.checkpoint;
        if (end.state == wire::worker_task_state::succeeded) {
            task.record.worker = task.inherited_end_worker;
            apply_task_event(steward, task, "succeed", now);
        }
    }
    steward.queue_changed = true;
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

bool order_eviction(steward_state& steward, task_entry& task, eviction_reason reason,
                    time_point now)
{
    if (!apply_task_event(steward, task, "checkpoint", now))
        return evict_task(steward, task, reason, now);
    ++steward.counters.evictions[static_cast<std::size_t>(reason)];
    ++task.evictions;
    task.last_eviction = now;
    task.checkpoint_deadline = now + checkpoint_limit;
    return true;
}

void on_tick(steward_state& steward, time_point now)
{
    if (steward.stewardship == epoch{})
        return;
    watch_workers(steward, now);
    settle_inherited(steward, now);
    place_waiting(steward, now);
    settle_unplaceable(steward, now);
    report_waits(steward, now);
    forget_dropped(steward, now);
}

} // namespace galenaturn::schedule
