#include "tailwatch.h"

#include "jobruns.h"
#include "owntail.h"

#include <algorithm>
#include <tuple>

namespace galenaturn::schedule {

namespace {

/** A worker's figures are of the last half second; before that a change does not show. */
constexpr duration figure_span = std::chrono::milliseconds{600};
/** A tail over this share of its target is about to be over the target. */
constexpr double ease_share = 1.0;
/** It is brought back to this share: figures are rough. */
constexpr double eased_share = 0.85;
/** Below this share of the target, what was slowed is hastened up to it. */
constexpr double hasten_share = 0.8;
/** In hundredths; what would have to go slower is stopped where that loses no work. */
constexpr double least_kept_pace = 30;
/** In hundredths; nothing that is kept goes slower. */
constexpr double least_pace = 10;
constexpr std::uint32_t full_pace = 100;
/** What a worker has left for tails where nothing serves. */
constexpr double unlimited_ms = 1e9;

/** The tail of those who serve that is longest in relation to its target. */
struct longest_tail {
    std::string image;
    double tail{0};
    double target{0};
};

/** A run that fills, and by how much one hundredth of its pace lengthens the longest tail. */
struct pressing_run {
    wire::task_ref ref;
    open_task* task{nullptr};
    double per_hundredth{0};
    bool saves_work{false};
};

open_task* running_task(job_scheduler& state, const worker_list::running_task& listed)
{
    auto* task = find_task(state, listed.task);
    const bool current = task != nullptr && task->run && task->run->number == listed.run;
    return current ? task : nullptr;
}

/** Returns the processors in use by each image that fills. */
filling_load filling_in(job_scheduler& state, const worker_list& list)
{
    filling_load used;
    for (const auto& running : list.running) {
        const auto* task = running_task(state, running);
        if (task != nullptr && task->run->filling.value() > 0)
            used[task->run->image] += millicores{running.figure};
    }
    return used;
}

/** Learns from the tail of one task: about the images that met, or about the job's own load. */
void learn_tail(job_scheduler& state, open_job& job, const task_run& run, double tail,
                const filling_load& used, time_point now)
{
    if (is_fresh(job.tail, now))
        observe_tail(state.tails, run.image, tail / job.tail.latest, used);
    const bool known = std::all_of(used.begin(), used.end(), [&](const auto& filling) {
        return is_known_pair(state.tails, run.image, filling.first);
    });
    if (known || !is_fresh(job.tail, now))
        follow_tail(job.tail, tail / tail_factor(state.tails, run.image, used), now);
}

/** Learns from all tails and returns the one that is longest in relation to its target. */
longest_tail learn_tails(job_scheduler& state, const worker_list& list, const filling_load& used,
                         time_point now)
{
    longest_tail longest;
    for (const auto& running : list.running) {
        const auto* task = running_task(state, running);
        if (task == nullptr || task->run->tail_target.count() == 0 || running.figure == 0)
            continue;
        const auto tail = static_cast<double>(running.figure);
        const std::chrono::duration<double, std::milli> target{task->run->tail_target};
        learn_tail(state, *find_job(state, running.task.job), *task->run, tail, used, now);
        if (longest.target == 0 || tail * longest.target > longest.tail * target.count())
            longest = {task->run->image, tail, target.count()};
    }
    return longest;
}

/** Returns the runs that fill, the one that presses most for each processor first. */
std::vector<pressing_run> pressing_runs(job_scheduler& state, const worker_list& list,
                                        const std::string& serving, double alone_ms)
{
    std::vector<std::pair<double, pressing_run>> runs;
    for (const auto& running : list.running) {
        auto* task = running_task(state, running);
        if (task == nullptr || task->run->filling.value() == 0 ||
            task->run->phase != run_phase::running)
            continue;
        const auto slope = tail_slope(state.tails, serving, task->run->image);
        const auto cores = static_cast<double>(task->run->filling.value()) / 1000;
        const auto& step = find_job(state, running.task.job)->spec.steps[running.task.step];
        runs.emplace_back(slope,
                          pressing_run{running.task, task, alone_ms * slope * cores / full_pace,
                                       step.checkpoints});
    }
    std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second.ref) > std::tie(right.first, right.second.ref);
    });
    std::vector<pressing_run> pressing;
    pressing.reserve(runs.size());
    for (auto& [slope, run] : runs)
        pressing.push_back(std::move(run));
    return pressing;
}

void set_pace(job_scheduler& state, job_worker& worker, const pressing_run& pressing, double pace,
              time_point now)
{
    const auto whole = static_cast<std::uint32_t>(pace);
    if (whole == pressing.task->run->pace)
        return;
    pressing.task->run->pace = whole;
    state.paces_due.insert(pressing.ref);
    worker.paced_at = now;
}

void stop_for_tail(job_scheduler& state, job_worker& worker, const pressing_run& pressing,
                   time_point now)
{
    stop_run(state, pressing.ref, *pressing.task, now);
    ++state.counts.relieved;
    worker.relieved_at = now;
}

/** Shortens the tail by `excess_ms`: by slowing what presses most, and by stopping as a last way.
 */
void ease(job_scheduler& state, job_worker& worker, const std::vector<pressing_run>& pressing,
          double excess_ms, time_point now)
{
    for (const auto& run : pressing) {
        if (excess_ms <= 0 || run.per_hundredth <= 0)
            return;
        const double before = run.task->run->pace;
        const double wanted = before - excess_ms / run.per_hundredth;
        if (wanted < least_kept_pace && run.saves_work) {
            stop_for_tail(state, worker, run, now);
            excess_ms -= before * run.per_hundredth;
            continue;
        }
        const double pace = std::min(before, std::max(wanted, least_pace));
        set_pace(state, worker, run, pace, now);
        excess_ms -= (before - pace) * run.per_hundredth;
    }
    // Everything goes as slowly as it may, and the tail is still too long.
    if (excess_ms > 0 && !pressing.empty() && pressing.front().task->run->pace <= least_pace)
        stop_for_tail(state, worker, pressing.front(), now);
}

/** Hastens what was slowed, what presses least first, by what the tail has left. */
void hasten(job_scheduler& state, job_worker& worker, const std::vector<pressing_run>& pressing,
            double left_ms, time_point now)
{
    for (auto run = pressing.rbegin(); run != pressing.rend() && left_ms > 0; ++run) {
        const double before = run->task->run->pace;
        const double wanted =
            run->per_hundredth > 0 ? before + left_ms / run->per_hundredth : full_pace;
        const double pace = std::min<double>(wanted, full_pace);
        set_pace(state, worker, *run, pace, now);
        left_ms -= (pace - before) * run->per_hundredth;
    }
}

} // namespace

void watch_tails(job_scheduler& state, job_worker& worker, const worker_list& list, time_point now)
{
    const auto used = filling_in(state, list);
    const auto longest = learn_tails(state, list, used, now);
    const bool settled =
        now - worker.relieved_at > figure_span && now - worker.paced_at > figure_span;
    if (used.empty() || !settled)
        return;
    if (worker.serving_images.empty())
        return hasten(state, worker, pressing_runs(state, list, {}, 0), unlimited_ms, now);
    if (longest.target == 0)
        return;
    const auto alone = longest.tail / tail_factor(state.tails, longest.image, used);
    const auto pressing = pressing_runs(state, list, longest.image, alone);
    if (longest.tail > longest.target)
        ease(state, worker, pressing, longest.tail - longest.target * eased_share, now);
    else if (longest.tail < longest.target * hasten_share)
        hasten(state, worker, pressing, longest.target * hasten_share - longest.tail, now);
}

} // namespace galenaturn::schedule
