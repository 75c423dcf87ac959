#include "jobplacement.h"

#include "jobruns.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** A worker whose lease has less time left gets no new tasks. */
constexpr duration least_lease_left = std::chrono::seconds{2};
/**
 * Latency-critical tasks use about half of their reservation; best-effort tasks may use the rest.
 */
constexpr std::int64_t unused_by_serving_percent = 50;
/**
 * Oversubscription allowed to starving jobs, in percent of the processors of the worker. All
 * best-effort tasks there slow down.
 */
constexpr std::int64_t crowding_percent = 50;
/**
 * Expected tails stay below this share of the target, because the load of latency-critical tasks
 * varies.
 */
constexpr double most_tail_share = 0.75;
/** Maximum number of workers with a colocation trial at a time. */
constexpr std::size_t most_trials = 12;
/**
 * Preempted runs end within half a second; until then the freed capacity is not given to other
 * best-effort tasks.
 */
constexpr duration keep_span = std::chrono::seconds{1};
/**
 * Time for a tail latency to settle and be reported before best-effort tasks return to a worker
 * where some were stopped.
 */
constexpr duration relief_pause = std::chrono::milliseconds{1500};

std::uint32_t siblings_on(const job_worker& worker, const wire::task_ref& task)
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

resources free_on(const job_worker& worker)
{
    return worker.record.capacity - worker.reserved;
}

/**
 * Returns the processors that are neither used by reservations nor claimed by best-effort tasks.
 */
millicores idle_on(const job_worker& worker)
{
    const auto unused = worker.serving.value() * unused_by_serving_percent / 100;
    return free_on(worker).processors + millicores{unused} - worker.filling;
}

/**
 * Returns the longest expected tail on the worker with the step added, as a share of the shortest
 * target there.
 */
double tail_share(const job_scheduler& state, const job_worker& worker, const wire::job_step& step)
{
    const auto added = static_cast<double>(filled_by(step).value()) / 1000;
    double longest = 0;
    for (const auto& [image, outlook] : worker.tails) {
        const auto slope = step.fills ? cautious_slope(state.tails, image, step.image) : 0.0;
        longest = std::max(longest, outlook.expected + outlook.alone * slope * added);
    }
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target};
    return longest / target.count();
}

/** Returns whether the worker may start a colocation trial of the image. */
bool may_try(const job_scheduler& state, const job_worker& worker, const wire::job_step& step)
{
    if (worker.filling.value() > 0)
        return false;
    const bool unknown = std::any_of(
        worker.serving_images.begin(), worker.serving_images.end(), [&](const auto& serving) {
            return !is_known_pair(state.tails, serving.first, step.image);
        });
    return unknown && state.trials < most_trials;
}

bool may_fill(const job_scheduler& state, const job_worker& worker,
              const placement_request& request, time_point now)
{
    const auto& step = *request.step;
    if (now < worker.kept_until)
        return false;
    const bool serves = !worker.serving_images.empty();
    const auto crowding = request.starving && !serves
                              ? worker.record.capacity.processors.value() * crowding_percent / 100
                              : 0;
    if (idle_on(worker) + millicores{crowding} < step.demand.processors)
        return false;
    if (!serves)
        return true;
    if (now - worker.relieved_at < relief_pause)
        return false;
    return has_tail_room(state, worker, step) || may_try(state, worker, step);
}

/**
 * Returns whether so many workers have no latency-critical tasks that images can be kept on
 * separate workers.
 */
bool many_free(const job_scheduler& state)
{
    const auto free =
        std::count_if(state.workers.begin(), state.workers.end(),
                      [](const auto& worker) { return worker.second.serving_images.empty(); });
    return static_cast<std::size_t>(free) * 5 > state.workers.size() * 2;
}

/**
 * Returns the cost of placing a latency-critical image beside the other such images on the worker.
 */
std::int64_t mixing_cost(const job_worker& worker, const std::string& image, bool many_are_free)
{
    constexpr std::int64_t mixes_worker = 4'000'000;
    constexpr std::int64_t mixes_further = 2'500'000;
    constexpr std::int64_t opens_worker = 3'000'000;
    constexpr std::int64_t opens_one_of_many = 1'000'000;
    const auto& images = worker.serving_images;
    if (images.empty())
        return many_are_free ? opens_one_of_many : opens_worker;
    if (images.size() == 1)
        return images.contains(image) ? 0 : mixes_worker;
    // Further images go to workers that are already mixed, so that the others keep a single image.
    return images.contains(image) ? 0 : mixes_further;
}

/**
 * Returns the placement cost; lower is better. Latency-critical tasks share as few workers as
 * possible, each with a single image: best-effort images that do not interfere with that image can
 * then use the worker, and any image can use the others.
 */
std::int64_t cost(const job_scheduler& state, const job_worker& worker,
                  const placement_request& request, bool many_are_free)
{
    constexpr std::int64_t failed_before = 100'000'000;
    constexpr std::int64_t far_from_data = 50'000'000;
    constexpr std::int64_t per_failure = 20'000'000;
    constexpr std::int64_t per_filling_millicore = 100;
    constexpr std::int64_t whole_tail = 1'000'000;
    const auto& step = *request.step;
    const auto& tasks = request.job->tasks;
    const auto position = wire::position_of(request.job->spec, request.task);
    std::int64_t sum = per_failure * worker.failure_streak;
    if (position && tasks[*position].failed_on.contains(worker.record.id))
        sum += failed_before;
    if (!step.data_rack.empty() && worker.record.rack != step.data_rack)
        sum += far_from_data;
    if (step.tail_target.count() > 0) {
        sum += mixing_cost(worker, step.image, many_are_free);
        sum += worker.filling.value() * per_filling_millicore;
    }
    if (step.fills) {
        // Workers without latency-critical tasks are kept for images that interfere with all
        // others.
        const auto share = worker.serving_images.empty() ? 2 : tail_share(state, worker, step);
        return sum + static_cast<std::int64_t>(share * whole_tail) + idle_on(worker).value();
    }
    // The fullest worker that still fits, to limit fragmentation of the capacity elsewhere.
    return sum + free_on(worker).processors.value();
}

} // namespace

bool has_tail_room(const job_scheduler& state, const job_worker& worker, const wire::job_step& step)
{
    return tail_share(state, worker, step) <= most_tail_share;
}

resources reserved_by(const wire::job_step& step)
{
    auto reserved = step.demand;
    if (step.fills)
        reserved.processors = millicores{};
    return reserved;
}

millicores filled_by(const wire::job_step& step)
{
    return step.fills ? step.demand.processors : millicores{};
}

void set_demand(task_run& run, const wire::job_step& step)
{
    run.reserved = reserved_by(step);
    run.filling = filled_by(step);
    run.serving = step.tail_target.count() > 0 ? step.demand.processors : millicores{};
    run.tail_target = step.tail_target;
    run.image = step.image;
}

namespace {

/** Returns whether the worker is eligible for the task, regardless of its free capacity. */
bool suits(const job_scheduler& state, const job_worker& worker, const placement_request& request,
           time_point now)
{
    const auto& step = *request.step;
    const auto& record = worker.record;
    if (!worker.admitted || !worker.read || worker.leaving || now < worker.avoid_until)
        return false;
    if (now - worker.answered_at > state.settings.lease - least_lease_left)
        return false;
    if (record.service != request.job->queue.service || !has_label(worker, step.required_label))
        return false;
    if (!request.rack.empty() && record.rack != request.rack)
        return false;
    return step.most_per_worker == 0 || siblings_on(worker, request.task) < step.most_per_worker;
}

bool is_being_stopped(const task_run& run)
{
    return run.phase == run_phase::stopping || run.phase == run_phase::stopped;
}

/** Returns the runs to stop on the worker until `wanted` fits, or nothing where it cannot fit. */
std::optional<std::vector<wire::task_ref>>
runs_in_the_way(job_scheduler& state, const job_worker& worker, const resources& wanted)
{
    auto free = free_on(worker);
    std::vector<std::pair<bytes, wire::task_ref>> filling;
    for (const auto& [ref, number] : worker.runs) {
        const auto* task = find_task(state, ref);
        if (task == nullptr || !task->run)
            continue;
        // Its capacity is being freed already.
        if (is_being_stopped(*task->run))
            free += task->run->reserved;
        else if (task->run->filling.value() > 0)
            filling.emplace_back(task->run->reserved.memory, ref);
    }
    std::sort(filling.rbegin(), filling.rend());
    std::vector<wire::task_ref> stopped;
    for (auto& [memory, ref] : filling) {
        if (fits(wanted, free))
            return stopped;
        free += find_task(state, ref)->run->reserved;
        stopped.push_back(std::move(ref));
    }
    if (!fits(wanted, free))
        return std::nullopt;
    return stopped;
}

} // namespace

bool may_run(const job_scheduler& state, const job_worker& worker, const placement_request& request,
             time_point now)
{
    const auto& step = *request.step;
    if (!fits(reserved_by(step), free_on(worker)) || !suits(state, worker, request, now))
        return false;
    return !step.fills || may_fill(state, worker, request, now);
}

void make_room(job_scheduler& state, const placement_request& request, time_point now)
{
    const auto wanted = reserved_by(*request.step);
    std::optional<std::vector<wire::task_ref>> fewest;
    job_worker* chosen = nullptr;
    for (auto& [id, worker] : state.workers) {
        if (!suits(state, worker, request, now))
            continue;
        auto stopped = runs_in_the_way(state, worker, wanted);
        if (!stopped || (fewest && stopped->size() >= fewest->size()))
            continue;
        fewest = std::move(stopped);
        chosen = &worker;
    }
    if (chosen == nullptr)
        return;
    chosen->kept_until = now + keep_span;
    for (const auto& ref : *fewest)
        stop_run(state, ref, *find_task(state, ref), now);
}

job_worker* choose_worker(job_scheduler& state, const placement_request& request, time_point now)
{
    job_worker* best = nullptr;
    std::int64_t best_cost = 0;
    const bool many_are_free = request.step->tail_target.count() > 0 && many_free(state);
    for (auto& [id, worker] : state.workers) {
        if (!may_run(state, worker, request, now))
            continue;
        const auto worker_cost = cost(state, worker, request, many_are_free);
        if (best != nullptr && worker_cost >= best_cost)
            continue;
        best = &worker;
        best_cost = worker_cost;
    }
    return best;
}

} // namespace galenaturn::schedule
