#include "reactions.h"

#include "steward.h"
#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** How long the occupancy of a worker is kept to be matched with late measurements. */
constexpr seconds history_kept{90};
/**
 * Latencies in relation to the objective: above the first a service is too slow, below the second
 * batch work may be unthrottled.
 */
constexpr double too_slow = 1.0;
constexpr double comfortable = 0.8;
/**
 * Batch work is throttled when the latency of a service exceeds this multiple of its baseline...
 */
constexpr double most_slowdown = 1.2;
/** ...and unthrottled when the expected latency does not exceed this multiple. */
constexpr double restored_slowdown = 1.12;
/** A single slow measurement may be an outlier. */
constexpr std::uint32_t samples_before_reaction = 2;
constexpr std::uint32_t samples_before_restoring = 6;
constexpr double throttle_factor = 0.4;
/** A task that uses no more than this part of its unthrottled use is not throttled further. */
constexpr double least_part = 0.15;
/** A guarded task is not evicted again within this time, unless there is no other choice. */
constexpr minutes eviction_guard{10};
constexpr double guarded_cost = 1e6;
constexpr std::uint32_t most_guarded_evictions = 2;
/** The effect of one job on another counts as unknown while its variance is above this. */
constexpr double unknown_variance = 0.3;
/** Long enough for measurements of the trial to arrive, which may be late. */
constexpr seconds trial_length{30};

bool is_batch(const task_entry& task)
{
    return task.record.task_class == work_class::batch;
}

bool is_service(const task_entry& task)
{
    return task.record.task_class == work_class::interactive;
}

double full_use(const steward_state& steward, const task_entry& task)
{
    return static_cast<double>(
        expected_processors(steward.sizes, task.record.job, task.record.demand.processors).value());
}

/** Returns the highest baseline latency of the services, in relation to the objective. */
double latency_alone(const steward_state& steward, const std::vector<job_id>& services,
                     time_point now)
{
    double alone = 0;
    for (const auto& service : services)
        alone = std::max(alone, effect_of(steward.interference, service, job_id{}, now).mean);
    return alone;
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
        const auto found = steward.objectives.find(owner);
        if (found != steward.objectives.end() &&
            (tightest == duration{} || found->second < tightest))
            tightest = found->second;
    }
    return tightest;
}

const occupancy* occupancy_at(const worker_entry& worker, time_point when)
{
    const occupancy* found = nullptr;
    for (const auto& entry : worker.history) {
        if (entry.since <= when)
            found = &entry;
    }
    return found;
}

/**
 * Returns the batch task with the best ratio of expected latency reduction to the cost of
 * throttling or evicting it, or null if there is none.
 */
task_entry* choose_culprit(steward_state& steward, const worker_entry& worker,
                           const occupancy& then, time_point now)
{
    task_entry* chosen = nullptr;
    double best = 0;
    for (const auto& id : worker.tasks) {
        auto& task = steward.tasks.at(id);
        const bool ran_then =
            std::find(then.tasks.begin(), then.tasks.end(), id) != then.tasks.end();
        const bool can_act =
            task.state == "running" ||
            (task.state == "throttled" &&
             (worker.latency_ratio > too_slow || static_cast<double>(task.throttled_to.value()) >
                                                     least_part * full_use(steward, task)));
        if (!is_batch(task) || !ran_then || !can_act || task.record.urgent)
            continue;
        double harm = 0;
        for (const auto& service : then.services)
            harm += std::max(effect_of(steward.interference, service, task.record.job, now).mean,
                             0.01) *
                    processor_share(steward, worker, task);
        const double cost = 1 + eviction_cost(task, now);
        if (harm / cost > best) {
            best = harm / cost;
            chosen = &task;
        }
    }
    return chosen;
}

void restrain(steward_state& steward, worker_entry& worker, const occupancy& then, time_point now)
{
    auto* culprit = choose_culprit(steward, worker, then, now);
    if (culprit == nullptr)
        return;
    worker.last_reaction = now;
    const bool throttled = culprit->state == "throttled";
    if (!throttled || worker.latency_ratio <= too_slow) {
        const double from = throttled ? static_cast<double>(culprit->throttled_to.value())
                                      : full_use(steward, *culprit);
        culprit->throttled_to = millicores{static_cast<std::int64_t>(from * throttle_factor)};
        apply_task_event(steward, *culprit, "throttle", now);
        ++steward.counters.throttles;
        return;
    }
    order_eviction(steward, *culprit, eviction_reason::service_tail, now);
}

/**
 * Returns whether the expected latency of the services stays acceptable with the task at full
 * speed.
 */
bool may_restore(const steward_state& steward, const worker_entry& worker, const task_entry& task,
                 time_point now)
{
    const auto& services = worker.measured_occupancy.services;
    const auto more = (full_use(steward, task) - static_cast<double>(task.throttled_to.value())) /
                      static_cast<double>(worker.capacity.processors.value());
    double rise = 0;
    for (const auto& service : services)
        rise = std::max(rise,
                        more * effect_of(steward.interference, service, task.record.job, now).mean);
    const auto alone = latency_alone(steward, services, now);
    return worker.latency_ratio + rise <= std::min(too_slow, restored_slowdown * alone);
}

void restore_one(steward_state& steward, worker_entry& worker, time_point now)
{
    for (const auto& id : worker.tasks) {
        auto& task = steward.tasks.at(id);
        if (task.state != "throttled" || !may_restore(steward, worker, task, now))
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
    if (is_service(task) || worker.services == 0 || !steward.interference.learning)
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

bool trial_elsewhere(const steward_state& steward, const worker_entry& worker,
                     const task_entry& task, time_point now)
{
    for (const auto& pair : unknown_pairs(steward, worker, task, now)) {
        const auto trial = steward.trials.find(pair);
        if (trial != steward.trials.end() && now < trial->second)
            return true;
    }
    return false;
}

void begin_trials(steward_state& steward, const worker_entry& worker, const task_entry& task,
                  time_point now)
{
    for (const auto& pair : unknown_pairs(steward, worker, task, now))
        steward.trials[pair] = now + trial_length;
}

double eviction_cost(const task_entry& task, time_point now)
{
    const auto since = std::max(task.started, task.last_checkpoint);
    const auto lost = std::chrono::duration<double>(now - since).count();
    const double processors = static_cast<double>(task.reserved.processors.value()) / 1000;
    return std::max(lost, 0.0) * processors + (is_guarded(task, now) ? guarded_cost : 0);
}

bool is_guarded(const task_entry& task, time_point now)
{
    return task.evictions >= most_guarded_evictions && now < task.last_eviction + eviction_guard;
}

void note_occupancy(steward_state& steward, worker_entry& worker, time_point now)
{
    occupancy present;
    present.since = now;
    for (const auto& id : worker.tasks) {
        const auto& task = steward.tasks.at(id);
        if (!task.seen)
            continue;
        present.tasks.push_back(id);
        if (is_service(task)) {
            present.services.push_back(task.record.job);
            present.owners.push_back(task.record.owner);
        }
        else {
            present.neighbours.push_back({task.record.job, processor_share(steward, worker, task)});
        }
    }
    worker.history.push_back(std::move(present));
    while (worker.history.size() > 1 && worker.history.front().since < now - history_kept)
        worker.history.pop_front();
}

void take_latency(steward_state& steward, worker_entry& worker, duration latency, duration age,
                  time_point now)
{
    const auto measured_at = now - age;
    const auto* then = occupancy_at(worker, measured_at);
    if (latency == duration{} || then == nullptr || then->services.empty() ||
        measured_at <= worker.latency_measured)
        return;
    const auto objective = tightest_objective(steward, then->owners);
    if (objective == duration{})
        return;
    const double ratio =
        static_cast<double>(latency.count()) / static_cast<double>(objective.count());
    worker.latency_ratio = ratio;
    worker.latency_measured = measured_at;
    worker.measured_occupancy = *then;
    for (const auto& service : then->services)
        learn_latency(steward.interference, service, then->neighbours, ratio, now);
    // A measurement made before the last reaction does not show the effect of that reaction.
    if (measured_at <= worker.last_reaction && steward.hysteresis)
        return;
    const auto alone = latency_alone(steward, then->services, now);
    const bool high = ratio > std::min(too_slow, most_slowdown * alone);
    worker.high_samples = high ? worker.high_samples + 1 : 0;
    worker.low_samples = ratio < comfortable ? worker.low_samples + 1 : 0;
    react_to_latency(steward, worker, now);
}

void react_to_latency(steward_state& steward, worker_entry& worker, time_point now)
{
    const auto before_reaction = steward.hysteresis ? samples_before_reaction : 1;
    const auto before_restoring = steward.hysteresis ? samples_before_restoring : 1;
    if (worker.high_samples >= before_reaction) {
        worker.high_samples = 0;
        restrain(steward, worker, worker.measured_occupancy, now);
    }
    else if (worker.low_samples >= before_restoring) {
        worker.low_samples = 0;
        restore_one(steward, worker, now);
    }
}

std::vector<neighbour> batch_neighbours(const steward_state& steward, const worker_entry& worker,
                                        const task_entry* extra)
{
    std::vector<neighbour> found;
    for (const auto& id : worker.tasks) {
        const auto& task = steward.tasks.at(id);
        if (!is_service(task))
            found.push_back({task.record.job, processor_share(steward, worker, task)});
    }
    if (extra != nullptr && !is_service(*extra))
        found.push_back({extra->record.job, processor_share(steward, worker, *extra)});
    return found;
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
