#include "latencyreactions.h"

#include "steward.h"
#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** How long the occupancy of a worker is kept to be matched with late measurements. */
constexpr seconds occupancy_history_time{90};
/**
 * Latencies in relation to the objective: above the first a service is too slow, below the second
 * batch work may be unthrottled.
 */
constexpr double high_latency_ratio = 1.0;
constexpr double low_latency_ratio = 0.8;
/**
 * Batch work is throttled when the latency of a service exceeds this multiple of its baseline...
 */
constexpr double max_slowdown = 1.2;
/** ...and unthrottled when the expected latency does not exceed this multiple. */
constexpr double max_slowdown_after_unthrottle = 1.12;
/** A single slow measurement may be an outlier. */
constexpr std::uint32_t samples_before_reaction = 2;
constexpr std::uint32_t samples_before_unthrottling = 6;
constexpr double throttle_factor = 0.4;
/** A task that uses no more than this part of its unthrottled use is not throttled further. */
constexpr double min_throttled_part = 0.15;
/** A guarded task is not evicted again within this time, unless there is no other choice. */
constexpr minutes eviction_guard_time{10};
constexpr double guarded_task_penalty = 1e6;
constexpr std::uint32_t evictions_before_guard = 2;
/** The effect of one job on another counts as unknown while its variance is above this. */
constexpr double unknown_variance = 0.3;
/** Long enough for measurements of the trial to arrive, which may be late. */
constexpr seconds trial_duration{30};

bool is_batch(const task_entry& task)
{
    return task.record.task_class == work_class::batch;
}

bool is_service(const task_entry& task)
{
    return task.record.task_class == work_class::interactive;
}

double unthrottled_use(const steward_state& steward, const task_entry& task)
{
    return static_cast<double>(
        expected_processors(steward.sizes, task.record.job, task.record.demand.processors).value());
}

/** Returns the highest baseline latency of the services, in relation to the objective. */
double baseline_latency(const steward_state& steward, const std::vector<job_id>& services,
                        time_point now)
{
    double baseline = 0;
    for (const auto& service : services)
        baseline = std::max(baseline, effect_of(steward.interference, service, job_id{}, now).mean);
    return baseline;
}

double processor_share(const steward_state& steward, const worker_entry& worker,
                       const task_entry& task)
{
    auto used = expected_processors(steward.sizes, task.record.job, task.record.demand.processors);
    if (task.state == "throttled")
        used = std::min(used, task.throttled_to);
    return static_cast<double>(used.value()) /
           static_cast<double>(std::max<std::int64_t>(worker.capacity.processors.value(), 1));
}

/** Returns the lowest latency objective of the owners; 0 if none has an objective. */
duration tightest_objective(const steward_state& steward, const std::vector<owner_id>& owners)
{
    duration tightest{};
    for (const auto& owner : owners) {
        const auto found = steward.latency_objectives.find(owner);
        if (found != steward.latency_objectives.end() &&
            (tightest == duration{} || found->second < tightest))
            tightest = found->second;
    }
    return tightest;
}

const occupancy* occupancy_at(const worker_entry& worker, time_point when)
{
    const occupancy* latest = nullptr;
    for (const auto& entry : worker.occupancy_history) {
        if (entry.since <= when)
            latest = &entry;
    }
    return latest;
}

/**
 * Returns the batch task with the best ratio of expected latency reduction to the cost of
 * throttling or evicting it, or null if there is none.
 */
task_entry* choose_task_to_throttle(steward_state& steward, const worker_entry& worker,
                                    const occupancy& measured_with, time_point now)
{
    task_entry* chosen = nullptr;
    double best = 0;
    for (const auto& id : worker.tasks) {
        auto& task = steward.tasks.at(id);
        const bool ran_at_measurement =
            std::find(measured_with.tasks.begin(), measured_with.tasks.end(), id) !=
            measured_with.tasks.end();
        const bool can_throttle_or_evict =
            task.state == "running" || (task.state == "throttled" &&
                                        (worker.latency_ratio > high_latency_ratio ||
                                         static_cast<double>(task.throttled_to.value()) >
                                             min_throttled_part * unthrottled_use(steward, task)));
        if (!is_batch(task) || !ran_at_measurement || !can_throttle_or_evict || task.record.urgent)
            continue;
        double latency_reduction = 0;
        for (const auto& service : measured_with.service_jobs)
            latency_reduction +=
                std::max(effect_of(steward.interference, service, task.record.job, now).mean,
                         0.01) *
                processor_share(steward, worker, task);
        const double cost = 1 + eviction_cost(task, now);
        if (latency_reduction / cost > best) {
            best = latency_reduction / cost;
            chosen = &task;
        }
    }
    return chosen;
}

void throttle_or_evict(steward_state& steward, worker_entry& worker, const occupancy& measured_with,
                       time_point now)
{
    auto* chosen = choose_task_to_throttle(steward, worker, measured_with, now);
    if (chosen == nullptr)
        return;
    worker.last_reaction = now;
    const bool throttled = chosen->state == "throttled";
    if (!throttled || worker.latency_ratio <= high_latency_ratio) {
        const double from = throttled ? static_cast<double>(chosen->throttled_to.value())
                                      : unthrottled_use(steward, *chosen);
        chosen->throttled_to = millicores{static_cast<std::int64_t>(from * throttle_factor)};
        apply_task_event(steward, *chosen, "throttle", now);
        ++steward.counters.throttles;
        return;
    }
    evict_after_checkpoint(steward, *chosen, eviction_reason::service_tail, now);
}

/**
 * Returns whether the expected latency of the services stays acceptable with the task at full
 * speed.
 */
bool may_unthrottle(const steward_state& steward, const worker_entry& worker,
                    const task_entry& task, time_point now)
{
    const auto& services = worker.measured_occupancy.service_jobs;
    const auto additional_share =
        (unthrottled_use(steward, task) - static_cast<double>(task.throttled_to.value())) /
        static_cast<double>(worker.capacity.processors.value());
    double latency_increase = 0;
    for (const auto& service : services)
        latency_increase = std::max(
            latency_increase,
            additional_share * effect_of(steward.interference, service, task.record.job, now).mean);
    const auto baseline = baseline_latency(steward, services, now);
    return worker.latency_ratio + latency_increase <=
           std::min(high_latency_ratio, max_slowdown_after_unthrottle * baseline);
}

void unthrottle_one(steward_state& steward, worker_entry& worker, time_point now)
{
    for (const auto& id : worker.tasks) {
        auto& task = steward.tasks.at(id);
        if (task.state != "throttled" || !may_unthrottle(steward, worker, task, now))
            continue;
        apply_task_event(steward, task, "unthrottle", now);
        worker.last_reaction = now;
        return;
    }
}

/**
 * Returns the pairs of a service job on the worker and the task's job whose interference is
 * unknown.
 */
std::vector<std::pair<job_id, job_id>> unknown_pairs(const steward_state& steward,
                                                     const worker_entry& worker,
                                                     const task_entry& task, time_point now)
{
    std::vector<std::pair<job_id, job_id>> pairs;
    if (is_service(task) || worker.service_count == 0 || !steward.interference.learning)
        return pairs;
    for (const auto& id : worker.tasks) {
        const auto& other = steward.tasks.at(id);
        if (is_service(other) &&
            effect_of(steward.interference, other.record.job, task.record.job, now).variance >
                unknown_variance)
            pairs.emplace_back(other.record.job, task.record.job);
    }
    return pairs;
}

} // namespace

bool is_on_trial_elsewhere(const steward_state& steward, const worker_entry& worker,
                           const task_entry& task, time_point now)
{
    for (const auto& pair : unknown_pairs(steward, worker, task, now)) {
        const auto trial = steward.colocation_trials.find(pair);
        if (trial != steward.colocation_trials.end() && now < trial->second)
            return true;
    }
    return false;
}

void begin_colocation_trials(steward_state& steward, const worker_entry& worker,
                             const task_entry& task, time_point now)
{
    for (const auto& pair : unknown_pairs(steward, worker, task, now))
        steward.colocation_trials[pair] = now + trial_duration;
}

double eviction_cost(const task_entry& task, time_point now)
{
    const auto saved_at = std::max(task.started, task.last_checkpoint);
    const auto lost_seconds = std::chrono::duration<double>(now - saved_at).count();
    const double processors = static_cast<double>(task.reserved.processors.value()) / 1000;
    return std::max(lost_seconds, 0.0) * processors +
           (is_guarded(task, now) ? guarded_task_penalty : 0);
}

bool is_guarded(const task_entry& task, time_point now)
{
    return task.evictions >= evictions_before_guard &&
           now < task.last_eviction + eviction_guard_time;
}

void record_occupancy(steward_state& steward, worker_entry& worker, time_point now)
{
    occupancy current;
    current.since = now;
    for (const auto& id : worker.tasks) {
        const auto& task = steward.tasks.at(id);
        if (!task.confirmed)
            continue;
        current.tasks.push_back(id);
        if (is_service(task)) {
            current.service_jobs.push_back(task.record.job);
            current.service_owners.push_back(task.record.owner);
        }
        else {
            current.neighbours.push_back({task.record.job, processor_share(steward, worker, task)});
        }
    }
    worker.occupancy_history.push_back(std::move(current));
    while (worker.occupancy_history.size() > 1 &&
           worker.occupancy_history.front().since < now - occupancy_history_time)
        worker.occupancy_history.pop_front();
}

void on_latency_measurement(steward_state& steward, worker_entry& worker, duration latency,
                            duration age, time_point now)
{
    const auto measured_at = now - age;
    const auto* measured_with = occupancy_at(worker, measured_at);
    if (latency == duration{} || measured_with == nullptr || measured_with->service_jobs.empty() ||
        measured_at <= worker.latency_measured_at)
        return;
    const auto objective = tightest_objective(steward, measured_with->service_owners);
    if (objective == duration{})
        return;
    const double ratio =
        static_cast<double>(latency.count()) / static_cast<double>(objective.count());
    worker.latency_ratio = ratio;
    worker.latency_measured_at = measured_at;
    worker.measured_occupancy = *measured_with;
    for (const auto& service : measured_with->service_jobs)
        learn_latency(steward.interference, service, measured_with->neighbours, ratio, now);
    // A measurement made before the last reaction does not show the effect of that reaction.
    if (measured_at <= worker.last_reaction && steward.hysteresis)
        return;
    const auto baseline = baseline_latency(steward, measured_with->service_jobs, now);
    const bool high = ratio > std::min(high_latency_ratio, max_slowdown * baseline);
    worker.consecutive_high_samples = high ? worker.consecutive_high_samples + 1 : 0;
    worker.consecutive_low_samples =
        ratio < low_latency_ratio ? worker.consecutive_low_samples + 1 : 0;
    react_to_latency(steward, worker, now);
}

void react_to_latency(steward_state& steward, worker_entry& worker, time_point now)
{
    const auto samples_to_react = steward.hysteresis ? samples_before_reaction : 1;
    const auto samples_to_unthrottle = steward.hysteresis ? samples_before_unthrottling : 1;
    if (worker.consecutive_high_samples >= samples_to_react) {
        worker.consecutive_high_samples = 0;
        throttle_or_evict(steward, worker, worker.measured_occupancy, now);
    }
    else if (worker.consecutive_low_samples >= samples_to_unthrottle) {
        worker.consecutive_low_samples = 0;
        unthrottle_one(steward, worker, now);
    }
}

std::vector<neighbour> batch_neighbours(const steward_state& steward, const worker_entry& worker,
                                        const task_entry* extra)
{
    std::vector<neighbour> neighbours;
    for (const auto& id : worker.tasks) {
        const auto& task = steward.tasks.at(id);
        if (!is_service(task))
            neighbours.push_back({task.record.job, processor_share(steward, worker, task)});
    }
    if (extra != nullptr && !is_service(*extra))
        neighbours.push_back({extra->record.job, processor_share(steward, worker, *extra)});
    return neighbours;
}

latency_estimate worst_latency(const steward_state& steward, const worker_entry& worker,
                               const task_entry& extra, time_point now)
{
    std::vector<job_id> services;
    for (const auto& id : worker.tasks) {
        const auto& task = steward.tasks.at(id);
        if (is_service(task))
            services.push_back(task.record.job);
    }
    if (is_service(extra))
        services.push_back(extra.record.job);
    latency_estimate worst;
    if (services.empty())
        return worst;
    const auto neighbours = batch_neighbours(steward, worker, &extra);
    for (const auto& service : services) {
        const auto estimate = predict_latency(steward.interference, service, neighbours, now);
        if (estimate.mean + estimate.deviation > worst.mean + worst.deviation)
            worst = estimate;
    }
    return worst;
}

} // namespace galenaturn::schedule
