#include "placement.h"
#include "steward.h"
#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** A worker that missed this share of a lease gets nothing new until it is heard again. */
constexpr int silent_lease_share = 2;

/** Ends the placements whose leases are over: their worker has stopped them by itself. */
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

void watch_workers(steward_state& steward, time_point now)
{
    for (auto& [id, worker] : steward.workers) {
        const bool silent =
            now > worker.received_at + steward.terms.worker_lease / silent_lease_share;
        if (silent != worker.silent) {
            worker.silent = silent;
            update_index(steward, worker);
        }
        lapse_leases(steward, worker, now);
    }
}

/** Takes over the ends that a predecessor's workers reported, once its leases are over. */
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

void on_tick(steward_state& steward, time_point now)
{
    if (steward.stewardship == epoch{})
        return;
    watch_workers(steward, now);
    settle_inherited(steward, now);
    place_waiting(steward, now);
    forget_dropped(steward, now);
}

} // namespace galenaturn::schedule
