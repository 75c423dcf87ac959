#include "jobplacement.h"

#include "jobruns.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** A lease that ends sooner than this is too near its end for new work. */
constexpr duration least_lease_left = std::chrono::seconds{2};
/** Tasks that serve use about half of what they reserve; others may fill the rest. */
constexpr std::int64_t unused_by_serving_percent = 50;
/** What starving jobs may take beyond a worker's processors; all that fills there slows down. */
constexpr std::int64_t crowding_percent = 50;
/** Expected tails stay below this share of the target: the load of those who serve swings. */
constexpr double most_tail_share = 0.75;
/** Workers on which unknown pairs are tried at once. */
constexpr std::ptrdiff_t most_trials = 12;
/** Time for a tail to settle, and to be told, before a relieved worker is filled again. */
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

/** Returns the processors that neither reservations in use nor tasks that fill have a claim on. */
millicores idle_on(const job_worker& worker)
{
    const auto unused = worker.serving.value() * unused_by_serving_percent / 100;
    return free_on(worker).processors + millicores{unused} - worker.filling;
}

/** Returns the tail that the worker's tasks would have, as a share of the shortest target. */
double tail_share(const job_scheduler& state, const job_worker& worker, const wire::job_step& step)
{
    auto filling = worker.filling_images;
    if (step.fills)
        filling[step.image] += step.demand.processors;
    double longest = 0;
    for (const auto& [image, count] : worker.serving_images)
        longest = std::max(longest, expected_tail(state.tails, image, filling));
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target};
    return longest / target.count();
}

/** Returns whether the worker may be filled with an image that its tasks have not met yet. */
bool may_try(const job_scheduler& state, const job_worker& worker, const wire::job_step& step)
{
    if (worker.filling.value() > 0)
        return false;
    const bool unknown = std::any_of(
        worker.serving_images.begin(), worker.serving_images.end(), [&](const auto& serving) {
            return !is_known_pair(state.tails, serving.first, step.image);
        });
    const auto trials = std::count_if(state.workers.begin(), state.workers.end(),
                                      [](const auto& other) { return other.second.on_trial; });
    return unknown && trials < most_trials;
}

bool may_fill(const job_scheduler& state, const job_worker& worker,
              const placement_request& request, time_point now)
{
    const auto& step = *request.step;
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

/** Returns how many other images serve on the worker. */
std::int64_t other_images(const job_worker& worker, const std::string& image)
{
    const auto images = static_cast<std::int64_t>(worker.serving_images.size());
    return images - (worker.serving_images.contains(image) ? 1 : 0);
}

/** Returns whether many workers serve nothing yet, so that images can be kept apart. */
bool many_free(const job_scheduler& state)
{
    const auto free =
        std::count_if(state.workers.begin(), state.workers.end(),
                      [](const auto& worker) { return worker.second.serving_images.empty(); });
    return static_cast<std::size_t>(free) * 5 > state.workers.size() * 2;
}

/**
 * Lower is better. Tasks that serve share as few workers as can be, each with its own image: what
 * gets on with that image can then fill the worker, and anything can fill the others.
 */
std::int64_t cost(const job_scheduler& state, const job_worker& worker,
                  const placement_request& request)
{
    constexpr std::int64_t failed_before = 100'000'000;
    constexpr std::int64_t far_from_data = 50'000'000;
    constexpr std::int64_t per_failure = 20'000'000;
    constexpr std::int64_t per_other_image = 4'000'000;
    constexpr std::int64_t opens_worker = 3'000'000;
    constexpr std::int64_t opens_one_of_many = 1'000'000;
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
        sum += per_other_image * other_images(worker, step.image);
        if (worker.serving_images.empty())
            sum += many_free(state) ? opens_one_of_many : opens_worker;
        sum += worker.filling.value() * per_filling_millicore;
    }
    if (step.fills) {
        // Workers that serve nothing are kept for what gets on with nobody.
        const auto share = worker.serving_images.empty() ? 2 : tail_share(state, worker, step);
        return sum + static_cast<std::int64_t>(share * whole_tail) + idle_on(worker).value();
    }
    // The fullest worker that still has room: what is left over elsewhere stays in one piece.
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

void set_demand(task_run& run, const wire::job_step& step)
{
    run.reserved = reserved_by(step);
    run.filling = step.fills ? step.demand.processors : millicores{};
    run.serving = step.tail_target.count() > 0 ? step.demand.processors : millicores{};
    run.tail_target = step.tail_target;
    run.image = step.image;
}

bool may_run(const job_scheduler& state, const job_worker& worker, const placement_request& request,
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
    if (step.most_per_worker > 0 && siblings_on(worker, request.task) >= step.most_per_worker)
        return false;
    if (step.fills && !may_fill(state, worker, request, now))
        return false;
    return fits(reserved_by(step), free_on(worker));
}

namespace {

/** Returns the runs that fill the worker, the largest first. */
std::vector<wire::task_ref> filling_runs(job_scheduler& state, const job_worker& worker)
{
    std::vector<std::pair<bytes, wire::task_ref>> runs;
    for (const auto& [ref, number] : worker.runs) {
        const auto* task = find_task(state, ref);
        if (task != nullptr && task->run && task->run->filling.value() > 0)
            runs.emplace_back(task->run->reserved.memory, ref);
    }
    std::sort(runs.rbegin(), runs.rend());
    std::vector<wire::task_ref> refs;
    refs.reserve(runs.size());
    for (auto& [memory, ref] : runs)
        refs.push_back(std::move(ref));
    return refs;
}

/** Returns the runs to stop on the worker until `wanted` fits, or nothing where it never does. */
std::optional<std::vector<wire::task_ref>>
runs_in_the_way(job_scheduler& state, const job_worker& worker, const resources& wanted)
{
    auto free = free_on(worker);
    std::vector<wire::task_ref> stopped;
    for (auto& ref : filling_runs(state, worker)) {
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

void make_room(job_scheduler& state, const placement_request& request, time_point now)
{
    std::optional<std::vector<wire::task_ref>> fewest;
    for (auto& [id, worker] : state.workers) {
        // Its room aside, the worker has to do.
        auto emptied = worker;
        emptied.reserved = {};
        if (!may_run(state, emptied, request, now))
            continue;
        auto stopped = runs_in_the_way(state, worker, reserved_by(*request.step));
        if (stopped && (!fewest || stopped->size() < fewest->size()))
            fewest = std::move(stopped);
    }
    if (!fewest)
        return;
    for (const auto& ref : *fewest)
        stop_run(state, ref, *find_task(state, ref), now);
}

job_worker* choose_worker(job_scheduler& state, const placement_request& request, time_point now)
{
    job_worker* best = nullptr;
    std::int64_t best_cost = 0;
    for (auto& [id, worker] : state.workers) {
        if (!may_run(state, worker, request, now))
            continue;
        const auto worker_cost = cost(state, worker, request);
        if (best != nullptr && worker_cost >= best_cost)
            continue;
        best = &worker;
        best_cost = worker_cost;
    }
    return best;
}

} // namespace galenaturn::schedule
