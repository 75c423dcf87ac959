#include "tailwatch.h"

#include "jobruns.h"
#include "owntail.h"

#include <algorithm>
#include <tuple>

namespace galenaturn::schedule {

namespace {

/** Measurements cover the last half second; a change does not show in them earlier than this. */
constexpr duration figure_span = std::chrono::milliseconds{600};
/** A tail over its target is brought back to this share of it, because measurements are rough. */
constexpr double eased_share = 0.85;
/**
 * A job whose baseline is above this share of its target is too slow by itself, and nothing is
 * throttled for it.
 */
constexpr double own_fault_share = 1.15;
/**
 * A tail that is continuously over its target for this long is reduced regardless of what the model
 * says.
 */
constexpr duration longest_trust = std::chrono::milliseconds{1200};
/** Where tails are below this share of their targets, paces are raised until they reach it. */
constexpr double hasten_share = 0.8;
/** Runs that would need a lower pace are stopped instead, if their checkpoints keep the work. */
constexpr double least_kept_pace = 30;
/** Minimum pace of a run that is not stopped. */
constexpr double least_pace = 10;
constexpr std::uint32_t full_pace = 100;
/** A tail longer than this multiple of what is expected is an outlier. */
constexpr double odd_factor = 3;
/** A tail longer than this multiple of what is expected is not explained by the job's own load. */
constexpr double most_own_rise = 1.5;
/** Runs are not throttled for a smaller excess. */
constexpr double negligible_ms = 0.1;
/** Headroom of workers without latency-critical tasks. */
constexpr double unlimited_ms = 1e9;

/**
 * The tail that is longest in relation to its target among the latency-critical tasks of a worker.
 */
struct longest_tail {
    std::string image;
    double tail{0};
    double target{0};
    /** Expected tail without best-effort load beside it. */
    double alone{0};
};

/** A best-effort run, and by how much each percent of its pace lengthens the longest tail. */
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

/** Returns the processors in use by each best-effort image. */
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

/** Returns the ratio of the measured tail to the one that baseline and model predict. */
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

/**
 * Returns whether several tasks of the worker report outliers: then the cause is real and not a
 * measurement error.
 */
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
 * Returns whether a tail is to be used. Single measurements are far off at times, so an outlier
 * counts only if it persists.
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

/**
 * Learns from the tail of one task: about the interference of images, or about the baseline of its
 * job.
 */
void learn_tail(job_scheduler& state, open_job& job, const task_run& run, double tail,
                const filling_load& used, time_point now)
{
    if (is_fresh(job.tail, now))
        observe_tail(state.tails, run.image, tail / job.tail.latest, used);
    if (is_remembered(job.tail, now)) {
        // The load of users changes gradually, so a sudden rise is caused by the best-effort load.
        const bool jumps =
            !used.empty() && unexplained_times(state, job, run, tail, used) > most_own_rise;
        if (jumps || (is_fresh(job.tail, now) && !all_known(state, run.image, used)))
            return;
    }
    follow_tail(job.tail, tail / tail_factor(state.tails, run.image, used), now);
}

/**
 * Learns from all tails of the report and returns the one that is longest in relation to its
 * target.
 */
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
 * Returns the best-effort runs, strongest interference per processor first. Together they account
 * for the part of the tail above its baseline; the model determines the share of each.
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

/**
 * Returns by how many milliseconds the tail is to be shortened, or 0 where its baseline alone is
 * too long.
 */
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

/**
 * Shortens the tail by `excess_ms`: reduces the pace of the runs that interfere most, and stops
 * runs where that does not suffice.
 */
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
    // All paces are at their minimum, and the tail is still too long.
    if (excess_ms > negligible_ms && !pressing.empty() &&
        pressing.front().task->run->pace <= least_pace)
        stop_for_tail(state, worker, pressing.front(), now);
}

/** Raises paces within the headroom of the tail, starting with the runs that interfere least. */
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
