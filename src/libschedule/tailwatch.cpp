#include "tailwatch.h"

#include "jobruns.h"
#include "owntail.h"

#include <algorithm>
#include <tuple>

namespace galenaturn::schedule {

namespace {

/** A worker's figures are of the last half second; before that a change does not show. */
constexpr duration figure_span = std::chrono::milliseconds{600};
/** A tail over its target is brought back to this share of it: figures are rough. */
constexpr double eased_share = 0.85;
/** A tail that is longer than this share of its target by itself is not ours to shorten. */
constexpr double own_fault_share = 1.15;
/** A tail that is over its target for so long on end is eased whatever the model says of it. */
constexpr duration longest_trust = std::chrono::milliseconds{1200};
/** Below this share of the target, what was slowed is hastened up to it. */
constexpr double hasten_share = 0.8;
/** In hundredths; what would have to go slower is stopped where that loses no work. */
constexpr double least_kept_pace = 30;
/** In hundredths; nothing that is kept goes slower. */
constexpr double least_pace = 10;
constexpr std::uint32_t full_pace = 100;
/** A tail that is so many times as long as expected is odd. */
constexpr double odd_factor = 3;
/** A tail that is so many times as long as expected is no longer the job's own doing. */
constexpr double most_own_rise = 1.5;
/** Nothing is slowed or stopped for less. */
constexpr double negligible_ms = 0.1;
/** What a worker has left for tails where nothing serves. */
constexpr double unlimited_ms = 1e9;

/** The tail of those who serve that is longest in relation to its target. */
struct longest_tail {
    std::string image;
    double tail{0};
    double target{0};
    /** What it would be with nothing beside. */
    double alone{0};
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

bool all_known(const job_scheduler& state, const std::string& serving, const filling_load& used)
{
    return std::all_of(used.begin(), used.end(), [&](const auto& filling) {
        return is_known_pair(state.tails, serving, filling.first);
    });
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

/** Returns by how many times the tail is longer than what is known explains. */
double unexplained_times(const job_scheduler& state, const open_job& job, const task_run& run,
                         double tail, const filling_load& used)
{
    return tail / (job.tail.latest * tail_factor(state.tails, run.image, used));
}

bool is_odd(const job_scheduler& state, const open_job& job, const task_run& run, double tail,
            const filling_load& used, time_point now)
{
    return is_fresh(job.tail, now) && all_known(state, run.image, used) &&
           unexplained_times(state, job, run, tail, used) > odd_factor;
}

/** Returns whether more than one task of the worker tells an odd tail: then there is a cause. */
bool are_several_odd(job_scheduler& state, const worker_list& list, const filling_load& used,
                     time_point now)
{
    int odd = 0;
    for (const auto& running : list.running) {
        const auto* task = running_task(state, running);
        if (task != nullptr && task->run->tail_target.count() > 0 && running.figure > 0)
            odd += is_odd(state, *find_job(state, running.task.job), *task->run,
                          static_cast<double>(running.figure), used, now)
                       ? 1
                       : 0;
    }
    return odd > 1;
}

/**
 * Returns whether an odd tail is to be taken as told: single figures are wrong by far at times,
 * so that one beyond explanation counts only when it stays.
 */
bool has_stayed(task_run& run, bool odd, time_point now)
{
    if (!odd) {
        run.odd_since.reset();
        return true;
    }
    if (!run.odd_since)
        run.odd_since = now;
    return now - *run.odd_since > figure_span;
}

/** Learns from the tail of one task: about the images that met, or about the job's own load. */
void learn_tail(job_scheduler& state, open_job& job, const task_run& run, double tail,
                const filling_load& used, time_point now)
{
    if (is_fresh(job.tail, now))
        observe_tail(state.tails, run.image, tail / job.tail.latest, used);
    if (is_remembered(job.tail, now)) {
        // Users come and go slowly: a tail that jumps is the doing of what is beside it.
        const bool jumps =
            !used.empty() && unexplained_times(state, job, run, tail, used) > most_own_rise;
        if (jumps || (is_fresh(job.tail, now) && !all_known(state, run.image, used)))
            return;
    }
    follow_tail(job.tail, tail / tail_factor(state.tails, run.image, used), now);
}

/** Learns from all tails and returns the one that is longest in relation to its target. */
longest_tail learn_tails(job_scheduler& state, const worker_list& list, const filling_load& used,
                         time_point now)
{
    longest_tail longest;
    const bool several_odd = are_several_odd(state, list, used, now);
    for (const auto& running : list.running) {
        auto* task = running_task(state, running);
        if (task == nullptr || task->run->tail_target.count() == 0 || running.figure == 0)
            continue;
        auto& job = *find_job(state, running.task.job);
        const auto tail = static_cast<double>(running.figure);
        const bool odd = is_odd(state, job, *task->run, tail, used, now);
        if (!has_stayed(*task->run, odd, now) && !several_odd)
            continue;
        learn_tail(state, job, *task->run, tail, used, now);
        const std::chrono::duration<double, std::milli> target{task->run->tail_target};
        if (longest.target == 0 || tail * longest.target > longest.tail * target.count())
            longest = {task->run->image, tail, target.count(), job.tail.latest};
    }
    return longest;
}

/**
 * Returns the runs that fill, the one that presses most for each processor first. Together they
 * explain what the tail has beyond what it would be alone; the model tells how they share it.
 */
std::vector<pressing_run> pressing_runs(job_scheduler& state, const worker_list& list,
                                        const longest_tail& longest)
{
    struct ranked {
        double slope{0};
        double pressure{0};
        pressing_run run;
    };
    std::vector<ranked> runs;
    double total = 0;
    for (const auto& running : list.running) {
        auto* task = running_task(state, running);
        if (task == nullptr || task->run->filling.value() == 0 ||
            task->run->phase != run_phase::running)
            continue;
        const auto slope = tail_slope(state.tails, longest.image, task->run->image);
        const auto cores = static_cast<double>(task->run->filling.value()) / 1000;
        const auto& step = find_job(state, running.task.job)->spec.steps[running.task.step];
        runs.push_back({slope, slope * cores, {running.task, task, 0, step.checkpoints}});
        total += slope * cores * task->run->pace / full_pace;
    }
    std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
        return std::tie(left.slope, left.run.ref) > std::tie(right.slope, right.run.ref);
    });
    const auto explained = std::max(0.0, longest.tail - longest.alone);
    std::vector<pressing_run> pressing;
    pressing.reserve(runs.size());
    for (auto& entry : runs) {
        if (total > 0)
            entry.run.per_hundredth = explained * entry.pressure / total / full_pace;
        pressing.push_back(std::move(entry.run));
    }
    return pressing;
}

/** Returns by how much the tail is to be shortened; nothing where it is too long by itself. */
double excess_of(const longest_tail& longest)
{
    if (longest.tail <= longest.target || longest.alone > longest.target * own_fault_share)
        return 0;
    const auto halfway = (std::min(longest.alone, longest.target) + longest.target) / 2;
    return longest.tail - std::max(longest.target * eased_share, halfway);
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

/** Shortens the tail by `excess_ms`: slows what presses most, and stops as a last way. */
void ease(job_scheduler& state, job_worker& worker, const std::vector<pressing_run>& pressing,
          double excess_ms, time_point now)
{
    for (const auto& run : pressing) {
        if (excess_ms <= negligible_ms || run.per_hundredth <= 0)
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
    if (excess_ms > negligible_ms && !pressing.empty() &&
        pressing.front().task->run->pace <= least_pace)
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

/** Returns whether a tail has been over its target for so long that the model may be wrong. */
bool is_over_for_long(job_worker& worker, const longest_tail& longest, time_point now)
{
    if (longest.tail <= longest.target) {
        worker.over_since.reset();
        return false;
    }
    if (!worker.over_since)
        worker.over_since = now;
    return now - *worker.over_since >= longest_trust;
}

} // namespace

void watch_tails(job_scheduler& state, job_worker& worker, const worker_list& list, time_point now)
{
    const auto used = filling_in(state, list);
    auto longest = learn_tails(state, list, used, now);
    if (is_over_for_long(worker, longest, now))
        longest.alone = std::min(longest.alone, longest.target / 2);
    const bool settled =
        now - worker.relieved_at > figure_span && now - worker.paced_at > figure_span;
    if (used.empty() || !settled)
        return;
    const auto pressing = pressing_runs(state, list, longest);
    if (worker.serving_images.empty())
        return hasten(state, worker, pressing, unlimited_ms, now);
    if (longest.target == 0)
        return;
    const auto excess = excess_of(longest);
    if (excess > 0)
        ease(state, worker, pressing, excess, now);
    else if (longest.tail < longest.target * hasten_share)
        hasten(state, worker, pressing, longest.target * hasten_share - longest.tail, now);
}

} // namespace galenaturn::schedule
