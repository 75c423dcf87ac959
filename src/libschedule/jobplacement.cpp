#include "jobplacement.h"

#include "colocationtrial.h"
#include "jobruns.h"
#include "workercrashes.h"

#include <algorithm>
#include <limits>

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
constexpr double millis = 1000;
constexpr millicores unlimited_processors{std::numeric_limits<std::int64_t>::max()};

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

bool has_label(const job_worker& worker, std::string_view label)
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

/** Returns the processors by which a worker may be oversubscribed. */
millicores oversubscription_of(const job_worker& worker)
{
    return millicores{worker.record.capacity.processors.value() * oversubscription_percent / 100};
}

/** Returns the processors that a best-effort task may use if it oversubscribes the worker. */
millicores oversubscribed_processors(const job_worker& worker)
{
    const auto added = worker.serving_images.empty() ? oversubscription_of(worker) : millicores{};
    return idle_processors(worker) + added;
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

/** Returns whether the task fits on the worker, apart from the tails of other tasks there. */
bool has_room(const job_worker& worker, const placement_request& request, time_point now)
{
    const auto& step = *request.step;
    if (!fits(reservation_of(step), free_capacity(worker)) || !is_suitable(worker, request, now))
        return false;
    const auto available =
        request.oversubscribes ? oversubscribed_processors(worker) : idle_processors(worker);
    return !step.best_effort || available >= step.demand.processors;
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

placement_index placement_candidates(job_scheduler& state, time_point now)
{
    placement_index index;
    auto& workers = index.workers;
    workers.reserve(state.workers.size());
    for (auto& [id, worker] : state.workers) {
        if (accepts_tasks(state, worker, now))
            workers.push_back({&worker, worker.change});
    }
    std::sort(workers.begin(), workers.end(),
              [](const auto& left, const auto& right) { return left.change > right.change; });
    return index;
}

namespace {

/** Returns what decides about the room for the request on a worker. */
placement_kind_view room_kind_of(const placement_request& request)
{
    const auto& step = *request.step;
    return {request.job->queue.service.value(),
            step.best_effort ? std::string_view{step.image} : std::string_view{},
            step.required_label,
            step.best_effort,
            false,
            step.best_effort && request.oversubscribes,
            step.best_effort && request.slowed};
}

const cautious_slope& slope_of(room_tree& tree, const placement_kind& kind,
                               const tail_estimate* estimate)
{
    const auto known = std::find_if(tree.slopes.begin(), tree.slopes.end(),
                                    [&](const auto& entry) { return entry.first == estimate; });
    if (known != tree.slopes.end())
        return known->second;
    return tree.slopes.emplace_back(estimate, cautious_slope_of(estimate, kind.image)).second;
}

/** Allows for rounding, because a bound may be too high but not too low. */
constexpr double bound_slack = 1e-9;

/**
 * Returns an upper bound of the processors that the image of the kind may get on the worker
 * according to the tail forecasts.
 */
double tail_room(const job_worker& worker, const placement_kind& kind, room_tree& tree)
{
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target}.count();
    auto room = std::numeric_limits<double>::infinity();
    for (const auto& [image, forecast] : worker.tail_forecasts) {
        const auto spare = target * (max_tail_share + bound_slack) - forecast.expected;
        const auto added = forecast.baseline * slope_of(tree, kind, forecast.estimate).slope;
        if (added > 0)
            room = std::min(room, spare / added);
        else if (spare < 0 && !kind.slowed)
            return -1;
    }
    return room;
}

/** Returns an upper bound of the processors that the image of the kind may get in a trial. */
double trial_room(const job_scheduler& state, const job_worker& worker, const placement_kind& kind,
                  room_tree& tree, time_point now)
{
    if (worker.best_effort_processors.value() > 0 || now < worker.next_trial_at ||
        are_trials_exhausted(state))
        return -1;
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target}.count();
    auto room = std::numeric_limits<double>::infinity();
    bool unknown = false;
    for (const auto& [image, forecast] : worker.tail_forecasts) {
        const auto& slope = slope_of(tree, kind, forecast.estimate);
        const auto spare = target * (max_tail_share_for_trial + bound_slack) - forecast.baseline;
        const auto added = slope.trusted ? forecast.baseline * slope.slope : 0;
        unknown = unknown || !slope.trusted;
        if (added > 0)
            room = std::min(room, spare / added);
        else if (spare < 0)
            return -1;
    }
    return unknown ? room : -1;
}

/** Returns an upper bound of what a request of the kind may get on the worker. */
resources room_on(const job_scheduler& state, const job_worker& worker, const placement_kind& kind,
                  room_tree& tree, time_point now)
{
    if (worker.record.service.value() != kind.service || !has_label(worker, kind.label))
        return no_room;
    auto room = free_capacity(worker);
    if (!kind.best_effort)
        return room;
    if (!accepts_best_effort(worker, now))
        return no_room;
    room.processors = idle_processors(worker);
    if (kind.oversubscribes)
        room.processors = kind.slowed ? room.processors + oversubscription_of(worker)
                                      : oversubscribed_processors(worker);
    if (worker.serving_images.empty())
        return room;
    auto tolerated = tail_room(worker, kind, tree);
    const auto available = static_cast<double>(room.processors.value());
    if (!kind.slowed && tolerated * millis < available)
        tolerated = std::max(tolerated, trial_room(state, worker, kind, tree, now));
    if (tolerated * millis < available)
        room.processors =
            millicores{static_cast<std::int64_t>(std::max(-1.0, tolerated * millis + 1))};
    return room;
}

/** Search for a worker in an index, for one request. */
struct room_search {
    job_scheduler& state;
    placement_index& index;
    const placement_request& request;
    time_point now;
    /** Number of the workers that have changed since the request failed. */
    std::size_t limit{0};
};

/** Computes the bounds of the first workers of the index, as many as the search covers. */
std::pair<const placement_kind, room_tree>& bounds_of(const room_search& search)
{
    auto& kinds = search.index.kinds;
    const auto view = room_kind_of(search.request);
    auto found = kinds.find(view);
    if (found == kinds.end())
        found = kinds.emplace(placement_kind{view}, room_tree{}).first;
    auto& tree = found->second;
    reserve_leaves(tree, search.limit);
    for (; tree.size < search.limit; ++tree.size) {
        ++search.state.counts.candidates;
        const auto& worker = *search.index.workers[tree.size].worker;
        set_room(tree, tree.size, room_on(search.state, worker, found->first, tree, search.now));
    }
    return *found;
}

/**
 * Calls `examine` with each worker that may have room for the demand. It returns nothing where the
 * worker can run the task, otherwise the least processors that are known not to be available there.
 */
template <class Examine>
void examine_workers(const room_search& search, const resources& demand, const Examine& examine)
{
    auto& counts = search.state.counts;
    const auto& workers = search.index.workers;
    if (search.state.examines_all_workers) {
        counts.candidates += search.limit;
        for (std::size_t position = 0; position < search.limit; ++position)
            examine(*workers[position].worker);
        return;
    }
    if (search.limit == 0)
        return;
    auto& bounds = bounds_of(search);
    const auto& kind = bounds.first;
    auto& tree = bounds.second;
    visit_room(tree, search.limit, demand, counts.bounds, [&](std::size_t position) {
        ++counts.candidates;
        auto& worker = *workers[position].worker;
        const auto lacks_from = examine(worker);
        if (!lacks_from)
            return;
        auto room = room_on(search.state, worker, kind, tree, search.now);
        room.processors = std::min(room.processors, *lacks_from - millicores{1});
        set_room(tree, position, room);
    });
}

/** Returns the number of workers that have changed since the request failed. */
std::size_t count_changed(const job_scheduler& state, const placement_index& index,
                          const placement_request& request)
{
    // A suspect finds a worker once others have not started tasks there for a while.
    const auto failed_at = request.suspect ? 0 : last_failure(state.failed, request);
    if (failed_at == 0)
        return index.workers.size();
    const auto unchanged =
        std::partition_point(index.workers.begin(), index.workers.end(),
                             [&](const auto& entry) { return entry.change > failed_at; });
    return static_cast<std::size_t>(unchanged - index.workers.begin());
}

} // namespace

void restore_bounds(job_scheduler& state, placement_index& candidates, const wire::job_step& step,
                    const job_worker& worker, time_point now)
{
    // A trial that was taken back allows others elsewhere.
    if (step.best_effort)
        return candidates.kinds.clear();
    const auto& workers = candidates.workers;
    const auto entry = std::find_if(workers.begin(), workers.end(), [&](const auto& candidate) {
        return candidate.worker == &worker;
    });
    const auto position = static_cast<std::size_t>(entry - workers.begin());
    for (auto& [kind, tree] : candidates.kinds) {
        if (position >= tree.size)
            continue;
        ++state.counts.candidates;
        set_room(tree, position, room_on(state, worker, kind, tree, now));
    }
}

job_worker* choose_worker(job_scheduler& state, placement_index& candidates,
                          const placement_request& request, time_point now)
{
    const auto& step = *request.step;
    const bool many_non_serving = step.tail_target.count() > 0 && has_many_non_serving(state);
    slope_cache slopes{step};
    job_worker* best = nullptr;
    std::int64_t best_cost = 0;
    const room_search search{state, candidates, request, now,
                             count_changed(state, candidates, request)};
    examine_workers(search, step.demand, [&](job_worker& worker) -> std::optional<millicores> {
        if (!has_room(worker, request, now))
            return unlimited_processors;
        // More processors would not be tolerated either.
        if (step.best_effort && !tolerates_best_effort(state, worker, step, slopes, now))
            return step.demand.processors;
        const auto cost = placement_cost(state, worker, request, slopes, many_non_serving, now);
        if (best == nullptr || cost < best_cost) {
            best = &worker;
            best_cost = cost;
        }
        return std::nullopt;
    });
    // A member of a gang fails beside the others, which give their capacity back.
    if (best == nullptr && !step.gang && !request.suspect)
        record_failure(state.failed, request, state.last_change);
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

slowed_placement choose_worker_for_slowed_run(job_scheduler& state, placement_index& candidates,
                                              const placement_request& request, time_point now)
{
    const auto& step = *request.step;
    const auto demand = reservation_of(step);
    auto least = step.demand;
    least.processors =
        millicores{static_cast<std::int64_t>(static_cast<double>(step.demand.processors.value()) *
                                             min_starting_pace_percent / full_pace_percent)};
    slope_cache slopes{step};
    slowed_placement best;
    double best_pace = 0;
    const room_search search{state, candidates, request, now,
                             count_changed(state, candidates, request)};
    examine_workers(search, least, [&](job_worker& worker) -> std::optional<millicores> {
        if (!fits(demand, free_capacity(worker)) || !accepts_best_effort(worker, now) ||
            !is_suitable(worker, request, now))
            return unlimited_processors;
        const auto added = request.oversubscribes ? oversubscription_of(worker) : millicores{};
        const auto pace =
            tolerated_pace_percent(worker, step, idle_processors(worker) + added, slopes);
        if (pace < min_starting_pace_percent)
            return unlimited_processors;
        if (pace > best_pace) {
            best = {&worker, static_cast<std::uint32_t>(pace)};
            best_pace = pace;
        }
        return std::nullopt;
    });
    if (best.worker == nullptr && !request.suspect)
        record_failure(state.failed, request, state.last_change);
    return best;
}

} // namespace galenaturn::schedule
