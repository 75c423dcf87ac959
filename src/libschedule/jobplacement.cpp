#include "jobplacement.h"

#include "colocationtrial.h"
#include "jobruns.h"
#include "workercrashes.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** A worker whose lease has less time left gets no new tasks. */
constexpr duration min_lease_left = std::chrono::seconds{2};
/**
 * Latency-critical tasks use about half of their reservation; best-effort tasks may use the rest.
 */
constexpr std::int64_t unused_reservation_percent = 50;
/**
 * Oversubscription by jobs that have waited too long, in percent of the processors of the worker.
 * All best-effort tasks there slow down.
 */
constexpr std::int64_t oversubscription_percent = 50;
/**
 * Expected tails stay below this share of the target, because the load of latency-critical tasks
 * varies.
 */
constexpr double max_tail_share = 0.75;
/**
 * Preempted runs end within half a second; until then the freed capacity is not given to other
 * best-effort tasks.
 */
constexpr duration best_effort_block_span = std::chrono::seconds{1};
/**
 * Time for a tail latency to settle and be reported before best-effort tasks return to a worker
 * where some were stopped.
 */
constexpr duration tail_settling_pause = std::chrono::milliseconds{1500};
/** No run starts at a lower pace, at which it would hold its memory and get next to nothing done.
 */
constexpr double min_starting_pace_percent = 2;

std::uint32_t count_siblings(const job_worker& worker, const wire::task_ref& task)
{
    wire::task_ref first = task;
    first.index = 0;
    std::uint32_t count = 0;
    for (auto run = worker.runs.lower_bound(first); run != worker.runs.end(); ++run) {
        const auto& other = run->first;
        if (other.job != task.job || other.occurrence != task.occurrence || other.step != task.step)
            break;
        ++count;
    }
    return count;
}

bool has_label(const job_worker& worker, const std::string& label)
{
    const auto& labels = worker.record.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

resources free_capacity(const job_worker& worker)
{
    return worker.record.capacity - worker.reserved;
}

/** Slopes of latency-critical images beside the image of one step, each looked up once. */
class slope_cache {
public:
    explicit slope_cache(const wire::job_step& step) : step_{&step} {}

    const cautious_slope& slope_of(const tail_estimate* estimate)
    {
        const auto known = std::find_if(slopes_.begin(), slopes_.end(),
                                        [&](const auto& entry) { return entry.first == estimate; });
        if (known != slopes_.end())
            return known->second;
        return slopes_.emplace_back(estimate, cautious_slope_of(estimate, step_->image)).second;
    }

private:
    const wire::job_step* step_;
    std::vector<std::pair<const tail_estimate*, cautious_slope>> slopes_;
};

/**
 * Returns the longest expected tail on the worker with the step added, as a share of the shortest
 * target there.
 */
double tail_share(const job_worker& worker, const wire::job_step& step, slope_cache& slopes)
{
    const auto added = static_cast<double>(best_effort_demand_of(step).value()) / 1000;
    double longest_ms = 0;
    for (const auto& [image, forecast] : worker.tail_forecasts) {
        const auto slope = step.best_effort ? slopes.slope_of(forecast.estimate).slope : 0.0;
        longest_ms = std::max(longest_ms, forecast.expected + forecast.baseline * slope * added);
    }
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target};
    return longest_ms / target.count();
}

/** Returns the processors that a best-effort task may use if it oversubscribes the worker. */
millicores oversubscribed_processors(const job_worker& worker)
{
    const auto added = worker.serving_images.empty() ? worker.record.capacity.processors.value() *
                                                           oversubscription_percent / 100
                                                     : 0;
    return idle_processors(worker) + millicores{added};
}

/** Returns whether the worker may get best-effort tasks now. */
bool accepts_best_effort(const job_worker& worker, time_point now)
{
    if (now < worker.best_effort_blocked_until)
        return false;
    return worker.serving_images.empty() || now - worker.stopped_for_tail_at >= tail_settling_pause;
}

/** Returns whether the latency-critical tasks on the worker tolerate a run of the step now. */
bool tolerates_best_effort(const job_scheduler& state, const job_worker& worker,
                           const wire::job_step& step, slope_cache& slopes, time_point now)
{
    if (!accepts_best_effort(worker, now))
        return false;
    if (worker.serving_images.empty() || tail_share(worker, step, slopes) <= max_tail_share)
        return true;
    const auto harm = expected_trial_harm(state, worker, step, now);
    return harm && may_start_trial(state, worker, step, *harm);
}

/**
 * Returns whether so many workers have no latency-critical tasks that images can be kept on
 * separate workers.
 */
bool has_many_non_serving(const job_scheduler& state)
{
    const auto free =
        std::count_if(state.workers.begin(), state.workers.end(),
                      [](const auto& worker) { return worker.second.serving_images.empty(); });
    return static_cast<std::size_t>(free) * 5 > state.workers.size() * 2;
}

/**
 * Returns the cost of placing a latency-critical image beside the other such images on the worker.
 */
std::int64_t mixing_cost(const job_worker& worker, const std::string& image, bool many_non_serving)
{
    constexpr std::int64_t first_mix = 4'000'000;
    constexpr std::int64_t further_mix = 2'500'000;
    constexpr std::int64_t first_image = 3'000'000;
    constexpr std::int64_t first_image_of_many_non_serving = 1'000'000;
    const auto& images = worker.serving_images;
    if (images.empty())
        return many_non_serving ? first_image_of_many_non_serving : first_image;
    if (images.size() == 1)
        return images.contains(image) ? 0 : first_mix;
    // Further images go to workers that are already mixed, so that the others keep a single image.
    return images.contains(image) ? 0 : further_mix;
}

/**
 * Returns the placement cost; lower is better. Latency-critical tasks share as few workers as
 * possible, each with a single image: best-effort images that do not interfere with that image can
 * then use the worker, and any image can use the others.
 */
std::int64_t placement_cost(const job_scheduler& state, const job_worker& worker,
                            const placement_request& request, slope_cache& slopes,
                            bool many_non_serving, time_point now)
{
    constexpr std::int64_t failed_here_before = 100'000'000;
    constexpr std::int64_t far_from_data = 50'000'000;
    constexpr std::int64_t per_failure = 20'000'000;
    constexpr std::int64_t per_best_effort_millicore = 100;
    constexpr std::int64_t full_tail_share = 1'000'000;
    // A trial is dearer than any placement that the forecast allows, and cheaper the less it harms.
    constexpr double trial_share = 1;
    const auto& step = *request.step;
    const auto& tasks = request.job->tasks;
    const auto position = wire::position_of(request.job->spec, request.task);
    std::int64_t sum = per_failure * worker.failure_streak;
    if (position && tasks[*position].failed_on.contains(worker.record.id))
        sum += failed_here_before;
    if (!step.data_rack.empty() && worker.record.rack != step.data_rack)
        sum += far_from_data;
    if (step.tail_target.count() > 0) {
        sum += mixing_cost(worker, step.image, many_non_serving);
        sum += worker.best_effort_processors.value() * per_best_effort_millicore;
    }
    if (step.best_effort) {
        // Workers without latency-critical tasks are kept for images that interfere with all
        // others.
        auto share = worker.serving_images.empty() ? 2 : tail_share(worker, step, slopes);
        if (!worker.serving_images.empty() && share > max_tail_share)
            share = trial_share + expected_trial_harm(state, worker, step, now).value_or(1);
        return sum + static_cast<std::int64_t>(share * full_tail_share) +
               idle_processors(worker).value();
    }
    // The fullest worker that still fits, to limit fragmentation of the capacity elsewhere.
    return sum + free_capacity(worker).processors.value();
}

} // namespace

millicores idle_processors(const job_worker& worker)
{
    const auto unused = worker.serving_processors.value() * unused_reservation_percent / 100;
    return free_capacity(worker).processors + millicores{unused} - worker.best_effort_processors;
}

bool keeps_tail_targets(const job_worker& worker, const wire::job_step& step)
{
    slope_cache slopes{step};
    return tail_share(worker, step, slopes) <= max_tail_share;
}

resources reservation_of(const wire::job_step& step)
{
    auto reserved = step.demand;
    if (step.best_effort)
        reserved.processors = millicores{};
    return reserved;
}

millicores best_effort_demand_of(const wire::job_step& step)
{
    return step.best_effort ? step.demand.processors : millicores{};
}

void set_demand(task_run& run, const wire::job_step& step)
{
    run.reserved = reservation_of(step);
    run.best_effort_processors = best_effort_demand_of(step);
    run.serving_processors = step.tail_target.count() > 0 ? step.demand.processors : millicores{};
    run.finite_processors = step.long_running ? millicores{} : run.reserved.processors;
    run.tail_target = step.tail_target;
    run.image = step.image;
}

namespace {

/** Returns whether the worker may get new tasks. */
bool accepts_tasks(const job_scheduler& state, const job_worker& worker, time_point now)
{
    if (!worker.admitted || !worker.report_read || worker.leaving || worker.lost ||
        worker.has_orphans || !worker.doubtful_starts.empty() || now < worker.avoid_until)
        return false;
    return now - worker.last_reply_at <= state.settings.lease - min_lease_left;
}

/** Returns whether the worker meets the conditions of the task, regardless of its capacity. */
bool is_suitable(const job_worker& worker, const placement_request& request, time_point now)
{
    const auto& step = *request.step;
    const auto& record = worker.record;
    if (record.service != request.job->queue.service || !has_label(worker, step.required_label))
        return false;
    if (!allows_start(worker, request, now))
        return false;
    if (!request.rack.empty() && record.rack != request.rack)
        return false;
    return step.max_per_worker == 0 || count_siblings(worker, request.task) < step.max_per_worker;
}

/** Returns the runs to stop on the worker until `wanted` fits, or nothing where it cannot fit. */
std::optional<std::vector<wire::task_ref>>
runs_to_preempt(job_scheduler& state, const job_worker& worker, const resources& wanted)
{
    auto free = free_capacity(worker);
    if (!fits(wanted, free + worker.reclaimable))
        return std::nullopt;
    ++state.counts.candidates;
    std::vector<std::pair<bytes, wire::task_ref>> candidates;
    for (const auto& [ref, number] : worker.runs) {
        const auto* task = find_task(state, ref);
        if (task == nullptr || !task->run)
            continue;
        // Its capacity is being freed already.
        if (is_being_stopped(task->run->phase))
            free += task->run->reserved;
        else if (task->run->best_effort_processors.value() > 0)
            candidates.emplace_back(task->run->reserved.memory, ref);
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::vector<wire::task_ref> preempted;
    for (auto& [memory, ref] : candidates) {
        if (fits(wanted, free))
            return preempted;
        free += find_task(state, ref)->run->reserved;
        preempted.push_back(std::move(ref));
    }
    if (!fits(wanted, free))
        return std::nullopt;
    return preempted;
}

bool can_run(const job_scheduler& state, const job_worker& worker, const placement_request& request,
             slope_cache& slopes, time_point now)
{
    const auto& step = *request.step;
    if (!fits(reservation_of(step), free_capacity(worker)) || !is_suitable(worker, request, now))
        return false;
    if (!step.best_effort)
        return true;
    const auto available =
        request.oversubscribes ? oversubscribed_processors(worker) : idle_processors(worker);
    return available >= step.demand.processors &&
           tolerates_best_effort(state, worker, step, slopes, now);
}

} // namespace

void preempt_best_effort(job_scheduler& state, const placement_request& request, time_point now)
{
    const auto wanted = reservation_of(*request.step);
    std::optional<std::vector<wire::task_ref>> fewest_preempted;
    job_worker* chosen = nullptr;
    for (auto& [id, worker] : state.workers) {
        if (!accepts_tasks(state, worker, now) || !is_suitable(worker, request, now))
            continue;
        auto preempted = runs_to_preempt(state, worker, wanted);
        if (!preempted || (fewest_preempted && preempted->size() >= fewest_preempted->size()))
            continue;
        fewest_preempted = std::move(preempted);
        chosen = &worker;
    }
    if (chosen == nullptr)
        return;
    chosen->best_effort_blocked_until = now + best_effort_block_span;
    for (const auto& ref : *fewest_preempted)
        stop_run(state, ref, *find_task(state, ref), stop_cause::preempted, now);
}

void mark_changed(job_scheduler& state, job_worker& worker)
{
    worker.change = ++state.last_change;
}

void mark_ended_pauses(job_scheduler& state, time_point now)
{
    const auto ended = [&](time_point until) {
        return state.pauses_checked_at < until && until <= now;
    };
    for (auto& [id, worker] : state.workers) {
        if (ended(worker.avoid_until) || ended(worker.best_effort_blocked_until) ||
            ended(worker.isolated_until) || ended(worker.stopped_for_tail_at + tail_settling_pause))
            mark_changed(state, worker);
    }
    state.pauses_checked_at = now;
}

candidate_list placement_candidates(job_scheduler& state, time_point now)
{
    candidate_list list;
    list.change = state.last_change;
    auto& candidates = list.workers;
    candidates.reserve(state.workers.size());
    for (auto& [id, worker] : state.workers) {
        if (!accepts_tasks(state, worker, now))
            continue;
        auto& candidate = candidates.emplace_back();
        candidate.id = id;
        candidate.worker = &worker;
        candidate.change = worker.change;
        candidate.free = free_capacity(worker);
        if (accepts_best_effort(worker, now)) {
            candidate.best_effort_processors = idle_processors(worker);
            candidate.oversubscribed_processors = oversubscribed_processors(worker);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& left, const auto& right) { return left.change > right.change; });
    return list;
}

void validate_candidates(job_scheduler& state, candidate_list& candidates, time_point now)
{
    std::erase_if(candidates.workers, [&](placement_candidate& candidate) {
        const auto found = state.workers.find(candidate.id);
        if (found == state.workers.end() || !accepts_tasks(state, found->second, now))
            return true;
        candidate.worker = &found->second;
        if (!accepts_best_effort(found->second, now)) {
            candidate.best_effort_processors = {};
            candidate.oversubscribed_processors = {};
        }
        return false;
    });
}

job_worker* choose_worker(job_scheduler& state, const candidate_list& candidates,
                          const placement_request& request, time_point now)
{
    const auto& step = *request.step;
    const auto demand = reservation_of(step);
    const auto best_effort = best_effort_demand_of(step);
    // A suspect finds a worker once others have not started tasks there for a while.
    const auto failed_at = request.suspect ? 0 : last_failure(state.failed, request);
    const bool many_non_serving = step.tail_target.count() > 0 && has_many_non_serving(state);
    slope_cache slopes{step};
    job_worker* best = nullptr;
    std::int64_t best_cost = 0;
    for (const auto& candidate : candidates.workers) {
        if (failed_at != 0 && candidate.change <= failed_at)
            break;
        ++state.counts.candidates;
        const auto available = request.oversubscribes ? candidate.oversubscribed_processors
                                                      : candidate.best_effort_processors;
        if (!fits(demand, candidate.free) || (step.best_effort && available < best_effort) ||
            !can_run(state, *candidate.worker, request, slopes, now))
            continue;
        const auto cost =
            placement_cost(state, *candidate.worker, request, slopes, many_non_serving, now);
        if (best != nullptr && cost >= best_cost)
            continue;
        best = candidate.worker;
        best_cost = cost;
    }
    // A member of a gang fails beside the others, which give their capacity back.
    if (best == nullptr && !step.gang && !request.suspect)
        record_failure(state.failed, request, std::max(failed_at, candidates.change));
    return best;
}

namespace {

/**
 * Returns the highest pace, in percent, at which a run of the step fits into the available
 * processors and the latency-critical tasks are expected to stay within their targets.
 */
double tolerated_pace_percent(const job_worker& worker, const wire::job_step& step,
                              millicores available, slope_cache& slopes)
{
    const auto demand = static_cast<double>(step.demand.processors.value());
    auto share = std::min(1.0, static_cast<double>(available.value()) / demand);
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target}.count();
    for (const auto& [image, forecast] : worker.tail_forecasts) {
        const auto added_ms =
            forecast.baseline * slopes.slope_of(forecast.estimate).slope * demand / 1000;
        if (added_ms > 0)
            share = std::min(share, (target * max_tail_share - forecast.expected) / added_ms);
    }
    return share * full_pace_percent;
}

} // namespace

slowed_placement choose_worker_for_slowed_run(job_scheduler& state,
                                              const candidate_list& candidates,
                                              const placement_request& request, time_point now)
{
    const auto& step = *request.step;
    const auto demand = reservation_of(step);
    const auto failed_at = request.suspect ? 0 : last_failure(state.failed, request);
    slope_cache slopes{step};
    slowed_placement best;
    double best_pace = 0;
    for (const auto& candidate : candidates.workers) {
        if (failed_at != 0 && candidate.change <= failed_at)
            break;
        auto& worker = *candidate.worker;
        ++state.counts.candidates;
        if (!fits(demand, candidate.free) || !fits(demand, free_capacity(worker)) ||
            !accepts_best_effort(worker, now) || !is_suitable(worker, request, now))
            continue;
        const auto added = request.oversubscribes ? worker.record.capacity.processors.value() *
                                                        oversubscription_percent / 100
                                                  : 0;
        const auto pace = tolerated_pace_percent(
            worker, step, idle_processors(worker) + millicores{added}, slopes);
        if (pace < min_starting_pace_percent || pace <= best_pace)
            continue;
        best = {&worker, static_cast<std::uint32_t>(pace)};
        best_pace = pace;
    }
    if (best.worker == nullptr && !request.suspect)
        record_failure(state.failed, request, std::max(failed_at, candidates.change));
    return best;
}

} // namespace galenaturn::schedule
