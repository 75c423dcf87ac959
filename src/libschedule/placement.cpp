#include "placement.h"

#include "faileddemands.h"
#include "reactions.h"
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
constexpr std::chrono::seconds queue_pass_interval{1};
/** Bounds the time of one pass; the remaining tasks follow in the next tick. */
constexpr std::size_t placements_a_pass = 2000;

constexpr double rack_cost = 0.5;
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
constexpr double most_slowdown = 1.12;
/**
 * Maximum pessimistic estimate of the latency, in relation to the objective, at which batch work is
 * colocated with a service...
 */
constexpr double highest_latency = 1.0;
/** ...and the limit for batch work that has waited for longer than `late_after`. */
constexpr double highest_latency_when_late = 1.1;
constexpr std::chrono::minutes late_after{30};

double share(std::int64_t part, std::int64_t whole)
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
    const auto processors = share(free.processors.value(), worker.capacity.processors.value());
    const auto memory = share(free.memory.value(), worker.capacity.memory.value());
    double cost = imbalance_cost * std::abs(processors - memory);
    // Batch tasks are packed densely; other tasks get the emptiest workers.
    const double fill = (processors + memory) / 2;
    cost += packing_cost * (task.record.task_class == work_class::batch ? fill : 1 - fill);
    if (task.reserved.accelerators == accelerator_count{})
        cost += wasted_accelerator_cost *
                share(free.accelerators.value(), worker.capacity.accelerators.value());
    return cost;
}

/** Spreads the tasks of a job over racks, and over workers within a rack. */
double spread_score(const std::vector<std::uint32_t>* racks, const worker_entry& worker,
                    const task_entry& task)
{
    if (task.record.task_class == work_class::batch)
        return 0;
    double cost = 0;
    if (racks != nullptr && worker.rack_number < racks->size())
        cost += rack_cost * static_cast<double>((*racks)[worker.rack_number]);
    const auto same = worker.jobs.find(task.record.job);
    if (same != worker.jobs.end())
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
    if (!service && worker.services == 0)
        return 0.0;
    const auto worst = worst_latency(steward, worker, task, now);
    const auto pessimistic = worst.mean + worst.deviation;
    const bool late = now > task.waiting_since + late_after;
    const auto limit = late ? highest_latency_when_late : highest_latency;
    const bool measured_slow = worker.latency_ratio > limit && !worker.history.empty();
    // Refuses only pairs that are known to interfere. Unknown pairs may be tried, on one worker at
    // a time.
    const bool slows = worst.mean - worst.deviation > most_slowdown * worst.alone && !late;
    if (!service && !task.record.urgent &&
        (slows || pessimistic > limit || measured_slow ||
         trial_elsewhere(steward, worker, task, now)))
        return {};
    return latency_cost * std::max(0.0, pessimistic - worst.alone);
}

std::size_t search_start(const task_entry& task)
{
    return std::hash<task_id>{}(task.record.id) + task.placements;
}

/** Returns why the task may not be placed now, regardless of free capacity. */
wait_reason blocked_by(const steward_state& steward, const task_entry& task, time_point now)
{
    if (now < steward.predecessor_until)
        return wait_reason::predecessor_lease;
    if (now < task.not_before)
        return wait_reason::backing_off;
    const auto lease = grantor_span(steward.terms, steward.terms.worker_lease);
    if (now + lease > grant_limit(steward, task))
        return wait_reason::hold_ending;
    return wait_reason::none;
}

/**
 * Returns a worker with enough free capacity that is reserved for the task, or that is quarantined
 * and due for a probe that the task may serve as.
 */
worker_entry* kept_worker(steward_state& steward, const task_entry& task, time_point now)
{
    const bool may_probe =
        task.record.task_class == work_class::batch && !task.record.urgent && task.failures == 0;
    for (const auto& id : steward.special_workers) {
        auto& worker = steward.workers.at(id);
        const bool held = worker.held_for == task.record.id;
        const bool probe = may_probe && worker.health.quarantined && worker.health.probe.empty() &&
                           now >= worker.health.probe_at;
        const bool usable = !worker.silent && !worker.leaving;
        if ((held || probe) && usable && fits(task.reserved, worker.capacity - worker.reserved))
            return &worker;
    }
    return nullptr;
}

void find_special_workers(steward_state& steward)
{
    steward.special_workers.clear();
    for (const auto& [id, worker] : steward.workers) {
        if (!worker.held_for.empty() || worker.health.quarantined)
            steward.special_workers.push_back(id);
    }
}

} // namespace

placement_choice choose_worker(steward_state& steward, const task_entry& task, time_point now)
{
    std::vector<std::size_t> slots;
    slots.reserve(candidate_limit);
    steward.index.search(task.reserved, search_start(task), candidate_limit, slots);
    const auto job_racks = steward.job_racks.find(task.record.job);
    const auto* racks = job_racks == steward.job_racks.end() ? nullptr : &job_racks->second;
    placement_choice choice;
    double least = std::numeric_limits<double>::max();
    for (const auto slot : slots) {
        auto& worker = *steward.slots[slot];
        const auto latency = latency_score(steward, worker, task, now);
        if (!latency) {
            choice.refused = wait_reason::would_slow_service;
            continue;
        }
        double cost = *latency + packing_score(worker, task) + spread_score(racks, worker, task) +
                      worker_failure_cost * worker.health.failures;
        if (task.failed_on.contains(worker.id))
            cost += failed_here_cost;
        if (cost < least) {
            least = cost;
            choice.worker = &worker;
        }
    }
    if (choice.worker != nullptr)
        choice.refused = wait_reason::none;
    else if (slots.empty())
        choice.refused =
            steward.workers.empty() ? wait_reason::no_worker : wait_reason::no_capacity;
    return choice;
}

void place_task(steward_state& steward, task_entry& task, worker_entry& worker, time_point now)
{
    ++task.placements;
    task.placement = placement_epoch(task.record.assignment, steward.stewardship, task.placements);
    task.inherited = false;
    task.resumed = task.record.checkpoint.has_value();
    task.seen = false;
    task.placed_life = worker.life;
    task.worker = worker.id;
    task.record.worker = worker.id;
    // The lease counts from the worker's last heartbeat, which the response with the start command
    // answers.
    task.lease_until = worker.received_at + grantor_span(steward.terms, steward.terms.worker_lease);
    GN_INVARIANT(fits(task.reserved, worker.capacity - worker.reserved), {"task", task.record.id},
                 {"worker", worker.id});
    GN_INVARIANT(apply_task_event(steward, task, "place", now), {"task", task.record.id},
                 {"state", task.state});
    ++steward.counters.placements;
    begin_trials(steward, worker, task, now);
    if (worker.health.quarantined)
        worker.health.probe = task.record.id;
    if (worker.held_for == task.record.id) {
        worker.held_for = task_id{};
        update_index(steward, worker);
    }
}

void place_waiting(steward_state& steward, time_point now)
{
    if (!steward.queue_changed && now < steward.next_queue_pass)
        return;
    steward.queue_changed = false;
    steward.next_queue_pass = now + queue_pass_interval;
    find_special_workers(steward);
    failed_demands failed;
    std::size_t placed = 0;
    for (auto place = steward.queue.begin(); place != steward.queue.end();) {
        auto& task = steward.tasks.at(place->id);
        ++place;
        task.waits_for = blocked_by(steward, task, now);
        if (task.waits_for != wait_reason::none)
            continue;
        auto* kept = kept_worker(steward, task, now);
        if (kept == nullptr && failed.covers(task.reserved)) {
            task.waits_for = wait_reason::no_capacity;
            continue;
        }
        const auto choice =
            kept != nullptr ? placement_choice{kept} : choose_worker(steward, task, now);
        auto* worker = kept != nullptr ? kept : choice.worker;
        if (worker == nullptr) {
            task.waits_for = choice.refused;
            ++steward.counters.placements_refused;
            if (choice.refused == wait_reason::no_capacity)
                failed.add(task.reserved);
            continue;
        }
        place_task(steward, task, *worker, now);
        if (++placed == placements_a_pass) {
            steward.queue_changed = true;
            return;
        }
    }
}

} // namespace galenaturn::schedule
