#include "placement.h"

#include "faileddemands.h"
#include "latencyreactions.h"
#include "steward.h"
#include "taskchart.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace galenaturn::schedule {

namespace {

/**
 * Maximum number of workers compared for one placement. The start of the search depends on the
 * task, which spreads the candidates over the domain.
 */
constexpr std::size_t candidate_limit = 16;
constexpr std::chrono::seconds placement_interval{1};
/** Bounds the time of one pass; the remaining tasks follow in the next tick. */
constexpr std::size_t max_placements_per_pass = 2000;

constexpr double same_rack_cost = 0.5;
constexpr double same_worker_cost = 1.0;
constexpr double wasted_accelerator_cost = 2.0;
constexpr double failed_here_cost = 10.0;
constexpr double imbalance_cost = 0.5;
constexpr double packing_cost = 0.3;
/** Cost per recent failure on a worker that is not (yet) quarantined. */
constexpr double worker_failure_cost = 1.0;
constexpr double latency_cost = 4.0;
/**
 * Batch work is colocated with a service only if the service's expected latency stays below this
 * multiple of its baseline.
 */
constexpr double max_slowdown = 1.12;
/**
 * Maximum pessimistic estimate of the latency, in relation to the objective, at which batch work is
 * colocated with a service...
 */
constexpr double max_latency_ratio = 1.0;
/** ...and the limit for batch work that has waited for longer than `late_wait_time`. */
constexpr double max_latency_ratio_when_late = 1.1;
constexpr std::chrono::minutes late_wait_time{30};

double fraction_of(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

/**
 * Prefers workers on which processors and memory fill up evenly, and keeps workers with
 * accelerators free for tasks that need them.
 */
double packing_score(const worker_entry& worker, const task_entry& task)
{
    const auto free = worker.capacity - worker.reserved - task.reserved;
    const auto processors =
        fraction_of(free.processors.value(), worker.capacity.processors.value());
    const auto memory = fraction_of(free.memory.value(), worker.capacity.memory.value());
    double cost = imbalance_cost * std::abs(processors - memory);
    // Batch tasks are packed densely; other tasks get the emptiest workers.
    const double fill = (processors + memory) / 2;
    cost += packing_cost * (task.record.task_class == work_class::batch ? fill : 1 - fill);
    if (task.reserved.accelerators == accelerator_count{})
        cost += wasted_accelerator_cost *
                fraction_of(free.accelerators.value(), worker.capacity.accelerators.value());
    return cost;
}

/** Spreads the tasks of a job over racks, and over workers within a rack. */
double spread_score(const std::vector<std::uint32_t>* tasks_per_rack, const worker_entry& worker,
                    const task_entry& task)
{
    if (task.record.task_class == work_class::batch)
        return 0;
    double cost = 0;
    if (tasks_per_rack != nullptr && worker.rack_index < tasks_per_rack->size())
        cost += same_rack_cost * static_cast<double>((*tasks_per_rack)[worker.rack_index]);
    const auto same = worker.tasks_per_job.find(task.record.job);
    if (same != worker.tasks_per_job.end())
        cost += same_worker_cost * same->second;
    return cost;
}

/**
 * Returns the cost of the expected latency increase of services, or nothing if the placement would
 * slow a service too much.
 */
std::optional<double> latency_score(const steward_state& steward, const worker_entry& worker,
                                    const task_entry& task, time_point now)
{
    const bool service = task.record.task_class == work_class::interactive;
    if (!service && worker.service_count == 0)
        return 0.0;
    const auto worst = worst_latency(steward, worker, task, now);
    const auto pessimistic_latency = worst.mean + worst.deviation;
    const bool late = now > task.waiting_since + late_wait_time;
    const auto limit = late ? max_latency_ratio_when_late : max_latency_ratio;
    const bool measured_slow = worker.latency_ratio > limit && !worker.occupancy_history.empty();
    // Refuses only pairs that are known to interfere. Unknown pairs may be tried, on one worker at
    // a time.
    const bool slows = worst.mean - worst.deviation > max_slowdown * worst.baseline && !late;
    if (!service && !task.record.urgent &&
        (slows || pessimistic_latency > limit || measured_slow ||
         is_on_trial_elsewhere(steward, worker, task, now)))
        return {};
    return latency_cost * std::max(0.0, pessimistic_latency - worst.baseline);
}

std::size_t search_start(const task_entry& task)
{
    return std::hash<task_id>{}(task.record.id) + task.placement_count;
}

/** Returns why the task may not be placed now, regardless of free capacity. */
wait_reason find_blocking_reason(const steward_state& steward, const task_entry& task,
                                 time_point now)
{
    if (now < steward.predecessor_leases_end)
        return wait_reason::predecessor_lease;
    if (now < task.not_before)
        return wait_reason::backing_off;
    const auto lease = grantor_span(steward.terms, steward.terms.worker_lease);
    if (now + lease > max_lease_end(steward, task))
        return wait_reason::hold_ending;
    return wait_reason::none;
}

/**
 * Returns a worker with enough free capacity that is reserved for the task, or that is quarantined
 * and due for a probe that the task may serve as.
 */
worker_entry* find_reserved_or_probe_worker(steward_state& steward, const task_entry& task,
                                            time_point now)
{
    const bool may_probe =
        task.record.task_class == work_class::batch && !task.record.urgent && task.failures == 0;
    for (const auto& id : steward.restricted_workers) {
        auto& worker = steward.workers.at(id);
        const bool reserved = worker.reserved_for_task == task.record.id;
        const bool probe = may_probe && worker.health.quarantined &&
                           worker.health.probe_task.empty() && now >= worker.health.probe_at;
        const bool usable = !worker.silent && !worker.leaving;
        if ((reserved || probe) && usable && fits(task.reserved, worker.capacity - worker.reserved))
            return &worker;
    }
    return nullptr;
}

void collect_restricted_workers(steward_state& steward)
{
    steward.restricted_workers.clear();
    for (const auto& [id, worker] : steward.workers) {
        if (!worker.reserved_for_task.empty() || worker.health.quarantined)
            steward.restricted_workers.push_back(id);
    }
}

} // namespace

placement_choice choose_worker(steward_state& steward, const task_entry& task, time_point now)
{
    std::vector<std::size_t> slots;
    slots.reserve(candidate_limit);
    steward.index.search(task.reserved, search_start(task), candidate_limit, slots);
    const auto job_tasks_per_rack = steward.job_tasks_per_rack.find(task.record.job);
    const auto* tasks_per_rack = job_tasks_per_rack == steward.job_tasks_per_rack.end()
                                     ? nullptr
                                     : &job_tasks_per_rack->second;
    placement_choice choice;
    double lowest_cost = std::numeric_limits<double>::max();
    for (const auto slot : slots) {
        auto& worker = *steward.workers_by_slot[slot];
        const auto latency = latency_score(steward, worker, task, now);
        if (!latency) {
            choice.refusal = wait_reason::would_slow_service;
            continue;
        }
        double cost = *latency + packing_score(worker, task) +
                      spread_score(tasks_per_rack, worker, task) +
                      worker_failure_cost * worker.health.failures;
        if (task.failed_on.contains(worker.id))
            cost += failed_here_cost;
        if (cost < lowest_cost) {
            lowest_cost = cost;
            choice.worker = &worker;
        }
    }
    if (choice.worker != nullptr)
        choice.refusal = wait_reason::none;
    else if (slots.empty())
        choice.refusal =
            steward.workers.empty() ? wait_reason::no_worker : wait_reason::no_capacity;
    return choice;
}

void place_task(steward_state& steward, task_entry& task, worker_entry& worker, time_point now)
{
    ++task.placement_count;
    task.placement =
        placement_epoch(task.record.assignment, steward.stewardship, task.placement_count);
    task.inherited = false;
    task.resumed = task.record.checkpoint.has_value();
    task.confirmed = false;
    task.placed_incarnation = worker.last_incarnation;
    task.worker = worker.id;
    task.record.worker = worker.id;
    // The lease counts from the worker's last heartbeat, which the response with the start command
    // answers.
    task.lease_until =
        worker.heartbeat_received_at + grantor_span(steward.terms, steward.terms.worker_lease);
    GN_INVARIANT(fits(task.reserved, worker.capacity - worker.reserved), {"task", task.record.id},
                 {"worker", worker.id});
    GN_INVARIANT(apply_task_event(steward, task, "place", now), {"task", task.record.id},
                 {"state", task.state});
    ++steward.counters.placements;
    begin_colocation_trials(steward, worker, task, now);
    if (worker.health.quarantined)
        worker.health.probe_task = task.record.id;
    if (worker.reserved_for_task == task.record.id) {
        worker.reserved_for_task = task_id{};
        update_capacity_index(steward, worker);
    }
}

void place_waiting(steward_state& steward, time_point now)
{
    if (!steward.placement_due && now < steward.next_placement_pass)
        return;
    steward.placement_due = false;
    steward.next_placement_pass = now + placement_interval;
    collect_restricted_workers(steward);
    failed_demands failed_demands_this_pass;
    std::size_t placed = 0;
    for (auto position = steward.queue.begin(); position != steward.queue.end();) {
        auto& task = steward.tasks.at(position->id);
        ++position;
        task.blocking_reason = find_blocking_reason(steward, task, now);
        if (task.blocking_reason != wait_reason::none)
            continue;
        auto* reserved_worker = find_reserved_or_probe_worker(steward, task, now);
        if (reserved_worker == nullptr && failed_demands_this_pass.covers(task.reserved)) {
            task.blocking_reason = wait_reason::no_capacity;
            continue;
        }
        const auto choice = reserved_worker != nullptr ? placement_choice{reserved_worker}
                                                       : choose_worker(steward, task, now);
        auto* worker = reserved_worker != nullptr ? reserved_worker : choice.worker;
        if (worker == nullptr) {
            task.blocking_reason = choice.refusal;
            ++steward.counters.placements_refused;
            if (choice.refusal == wait_reason::no_capacity)
                failed_demands_this_pass.add(task.reserved);
            continue;
        }
        place_task(steward, task, *worker, now);
        if (++placed == max_placements_per_pass) {
            steward.placement_due = true;
            return;
        }
    }
}

} // namespace galenaturn::schedule
