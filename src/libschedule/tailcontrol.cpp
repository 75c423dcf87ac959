#include "tailcontrol.h"

#include "baselinelatency.h"
#include "colocationtrial.h"
#include "jobplacement.h"
#include "jobruns.h"

#include <algorithm>
#include <tuple>

namespace galenaturn::schedule {

namespace {

/** Measurements cover the last half second; a change does not show in them earlier than this. */
constexpr duration measurement_span = std::chrono::milliseconds{600};
/** A tail over its target is brought back to this share of it, because measurements are rough. */
constexpr double throttled_target_share = 0.85;
/**
 * A job whose baseline is above this share of its target is too slow by itself, and nothing is
 * throttled for it.
 */
constexpr double max_baseline_share = 1.15;
/**
 * A tail that stays over its target for this long is reduced even if the model attributes it to the
 * baseline.
 */
constexpr duration max_over_target_span = std::chrono::milliseconds{1200};
/** Where tails are below this share of their targets, paces are raised until they reach it. */
constexpr double raised_target_share = 0.8;
/** Runs that would need a lower pace are stopped instead if checkpoints preserve their work. */
constexpr double min_pace_with_checkpoints_percent = 30;
/** Minimum pace of a run that is not stopped. */
constexpr double min_pace_percent = 10;
/** A tail longer than this multiple of what is expected is an outlier. */
constexpr double outlier_factor = 3;
/** A tail longer than this multiple of what is expected is not explained by the job's own load. */
constexpr double max_baseline_rise = 1.5;
/** Runs are not throttled for a smaller excess. */
constexpr double negligible_excess_ms = 0.1;
/** Headroom of workers without latency-critical tasks. */
constexpr double unlimited_headroom_ms = 1e9;

/**
 * The tail that is longest in relation to its target among the latency-critical tasks of a worker.
 */
struct longest_tail {
    std::string image;
    double tail_ms{0};
    double target_ms{0};
    /** Expected tail without best-effort load beside it. */
    double baseline_ms{0};
};

/** A best-effort run, and by how much each percent of its pace lengthens the longest tail. */
struct interfering_run {
    wire::task_ref ref;
    open_task* task{nullptr};
    double ms_per_percent{0};
    bool saves_checkpoints{false};
    /** The run started below full speed. */
    bool slowed{false};
};

bool are_pairs_trusted(const job_scheduler& state, const std::string& serving,
                       const best_effort_load& best_effort_use)
{
    return std::all_of(best_effort_use.begin(), best_effort_use.end(), [&](const auto& load) {
        return is_trusted_pair(state.interference, serving, load.first);
    });
}

/** Returns the processors in use by each best-effort image. */
best_effort_load best_effort_use_in(const std::vector<listed_run>& listed)
{
    best_effort_load best_effort_use;
    for (const auto& running : listed) {
        const auto& run = *running.task->run;
        if (run.best_effort_processors.value() > 0)
            best_effort_use[run.image] += millicores{running.row->measurement};
    }
    return best_effort_use;
}

/** Returns the ratio of the measured tail to the one that baseline and model predict. */
double unexplained_ratio(const job_scheduler& state, const open_job& job, const task_run& run,
                         double tail_ms, const best_effort_load& best_effort_use)
{
    return tail_ms /
           (job.baseline.fast_average * tail_ratio(state.interference, run.image, best_effort_use));
}

bool is_outlier(const job_scheduler& state, const open_job& job, const task_run& run,
                double tail_ms, const best_effort_load& best_effort_use, time_point now)
{
    return is_fresh(job.baseline, now) && are_pairs_trusted(state, run.image, best_effort_use) &&
           unexplained_ratio(state, job, run, tail_ms, best_effort_use) > outlier_factor;
}

/**
 * Returns whether several tasks of the worker report outliers: then the cause is real and not a
 * measurement error.
 */
bool are_several_outliers(const job_scheduler& state, const std::vector<listed_run>& listed,
                          const best_effort_load& best_effort_use, time_point now)
{
    int outliers = 0;
    for (const auto& running : listed) {
        const auto& run = *running.task->run;
        const auto measurement = running.row->measurement;
        if (run.tail_target.count() > 0 && measurement > 0)
            outliers += is_outlier(state, *running.job, run, static_cast<double>(measurement),
                                   best_effort_use, now)
                            ? 1
                            : 0;
    }
    return outliers > 1;
}

/**
 * Returns whether a tail is to be used. Single measurements are far off at times, so an outlier
 * counts only if it persists.
 */
bool passes_outlier_filter(task_run& run, bool outlier, time_point now)
{
    if (!outlier) {
        run.outlier_since.reset();
        return true;
    }
    if (!run.outlier_since)
        run.outlier_since = now;
    return now - *run.outlier_since > measurement_span;
}

/**
 * Learns from the tail of one task: about the interference of images, or about the baseline of its
 * job.
 */
void learn_from_tail(job_scheduler& state, open_job& job, const task_run& run, double tail_ms,
                     const best_effort_load& best_effort_use, time_point now)
{
    if (is_fresh(job.baseline, now))
        observe_tail(state.interference, run.image, tail_ms / job.baseline.fast_average,
                     best_effort_use);
    if (is_usable_reference(job.baseline, now)) {
        // The load of users changes gradually, so a sudden rise is caused by the best-effort load.
        const bool rises_suddenly =
            !best_effort_use.empty() &&
            unexplained_ratio(state, job, run, tail_ms, best_effort_use) > max_baseline_rise;
        if (rises_suddenly ||
            (is_fresh(job.baseline, now) && !are_pairs_trusted(state, run.image, best_effort_use)))
            return;
    }
    update_baseline(job.baseline,
                    tail_ms / tail_ratio(state.interference, run.image, best_effort_use), now);
}

/**
 * Learns from all tails of the report and returns the one that is longest in relation to its
 * target.
 */
longest_tail learn_from_tails(job_scheduler& state, const std::vector<listed_run>& listed,
                              const best_effort_load& best_effort_use, time_point now)
{
    longest_tail longest;
    const bool several_outliers = are_several_outliers(state, listed, best_effort_use, now);
    for (const auto& running : listed) {
        auto& run = *running.task->run;
        if (run.tail_target.count() == 0 || running.row->measurement == 0)
            continue;
        auto& job = *running.job;
        const auto tail_ms = static_cast<double>(running.row->measurement);
        const bool outlier = is_outlier(state, job, run, tail_ms, best_effort_use, now);
        if (!passes_outlier_filter(run, outlier, now) && !several_outliers)
            continue;
        learn_from_tail(state, job, run, tail_ms, best_effort_use, now);
        const std::chrono::duration<double, std::milli> target{run.tail_target};
        if (longest.target_ms == 0 ||
            tail_ms * longest.target_ms > longest.tail_ms * target.count())
            longest = {run.image, tail_ms, target.count(), job.baseline.fast_average};
    }
    return longest;
}

/**
 * Returns the best-effort runs, strongest interference per processor first. Together they account
 * for the part of the tail above its baseline; the model determines the share of each.
 */
std::vector<interfering_run> interfering_runs(const job_scheduler& state,
                                              const std::vector<listed_run>& listed,
                                              const longest_tail& longest)
{
    struct ranked_run {
        double slope{0};
        double interference{0};
        interfering_run run;
    };
    std::vector<ranked_run> ranked_runs;
    double total = 0;
    for (const auto& running : listed) {
        auto* task = running.task;
        if (task->run->best_effort_processors.value() == 0 ||
            task->run->phase != run_phase::running)
            continue;
        const auto slope = tail_slope(state.interference, longest.image, task->run->image);
        const auto processors =
            static_cast<double>(task->run->best_effort_processors.value()) / 1000;
        const auto& ref = running.row->task;
        const auto& step = running.job->spec.steps[ref.step];
        ranked_runs.push_back(
            {slope,
             slope * processors,
             {ref, task, 0, step.checkpoints, task->run->claimed_percent < full_pace_percent}});
        total += slope * processors * task->run->pace_percent / full_pace_percent;
    }
    std::sort(ranked_runs.begin(), ranked_runs.end(), [](const auto& first, const auto& second) {
        return std::tie(first.slope, first.run.ref) > std::tie(second.slope, second.run.ref);
    });
    const auto added_ms = std::max(0.0, longest.tail_ms - longest.baseline_ms);
    std::vector<interfering_run> interfering;
    interfering.reserve(ranked_runs.size());
    for (auto& ranked : ranked_runs) {
        if (total > 0)
            ranked.run.ms_per_percent = added_ms * ranked.interference / total / full_pace_percent;
        interfering.push_back(std::move(ranked.run));
    }
    return interfering;
}

/**
 * Returns by how many milliseconds the tail is to be shortened, or 0 where its baseline alone is
 * too long.
 */
double excess_ms_of(const longest_tail& longest)
{
    if (longest.tail_ms <= longest.target_ms ||
        longest.baseline_ms > longest.target_ms * max_baseline_share)
        return 0;
    const auto halfway_ms =
        (std::min(longest.baseline_ms, longest.target_ms) + longest.target_ms) / 2;
    return longest.tail_ms - std::max(longest.target_ms * throttled_target_share, halfway_ms);
}

void set_pace(job_scheduler& state, job_worker& worker, const interfering_run& interfering,
              double new_pace, time_point now)
{
    const auto new_pace_percent = static_cast<std::uint32_t>(new_pace);
    if (new_pace_percent == interfering.task->run->pace_percent)
        return;
    interfering.task->run->pace_percent = new_pace_percent;
    state.paces_due.set(interfering.ref, now);
    worker.pace_changed_at = now;
}

void stop_for_tail(job_scheduler& state, job_worker& worker, const interfering_run& interfering,
                   time_point now)
{
    const bool in_trial = worker.trial.has_value();
    stop_run(state, interfering.ref, *interfering.task,
             in_trial ? stop_cause::trial : stop_cause::tail, now);
    ++state.counts.stopped_for_tail;
    state.counts.stopped_in_trial += in_trial ? 1 : 0;
    worker.stopped_for_tail_at = now;
}

/**
 * Shortens the tail by `excess_ms`: reduces the pace of the runs that interfere most, and stops
 * runs where that does not suffice.
 */
void reduce_load(job_scheduler& state, job_worker& worker,
                 const std::vector<interfering_run>& interfering, double excess_ms, time_point now)
{
    for (const auto& run : interfering) {
        if (excess_ms <= negligible_excess_ms || run.ms_per_percent <= 0)
            return;
        const double old_pace = run.task->run->pace_percent;
        const double wanted_pace = old_pace - excess_ms / run.ms_per_percent;
        // A slowed run would start again at no higher pace.
        if (wanted_pace < min_pace_with_checkpoints_percent && run.saves_checkpoints &&
            !run.slowed) {
            stop_for_tail(state, worker, run, now);
            excess_ms -= old_pace * run.ms_per_percent;
            continue;
        }
        const double new_pace = std::min(old_pace, std::max(wanted_pace, min_pace_percent));
        set_pace(state, worker, run, new_pace, now);
        excess_ms -= (old_pace - new_pace) * run.ms_per_percent;
    }
    // All paces are at their minimum, and the tail is still too long.
    if (excess_ms > negligible_excess_ms && !interfering.empty() &&
        interfering.front().task->run->pace_percent <= min_pace_percent)
        stop_for_tail(state, worker, interfering.front(), now);
}

/**
 * Returns the highest pace that a run may get at once. A slowed run has to have idle processors on
 * its worker, and beside latency-critical images, of which nothing may be known, its pace at most
 * doubles.
 */
double max_raised_pace(const job_worker& worker, const task_run& run)
{
    if (run.claimed_percent >= full_pace_percent)
        return full_pace_percent;
    const auto idle = std::max<double>(0, static_cast<double>(idle_processors(worker).value()));
    const auto idle_percent =
        idle * full_pace_percent / static_cast<double>(run.best_effort_processors.value());
    const double doubled =
        worker.serving_images.empty() ? full_pace_percent : 2.0 * run.pace_percent;
    return std::min(
        {run.claimed_percent + idle_percent, doubled, static_cast<double>(full_pace_percent)});
}

/** Raises paces within the headroom of the tail, starting with the runs that interfere least. */
void raise_paces(job_scheduler& state, job_worker& worker,
                 const std::vector<interfering_run>& interfering, double headroom_ms,
                 time_point now)
{
    for (auto run = interfering.rbegin(); run != interfering.rend() && headroom_ms > 0; ++run) {
        const double old_pace = run->task->run->pace_percent;
        const double wanted_pace = run->ms_per_percent > 0
                                       ? old_pace + headroom_ms / run->ms_per_percent
                                       : full_pace_percent;
        const double new_pace =
            std::max(old_pace, std::min(wanted_pace, max_raised_pace(worker, *run->task->run)));
        set_pace(state, worker, *run, new_pace, now);
        raise_claim(state, worker, *run->task->run, run->task->run->pace_percent);
        headroom_ms -= (new_pace - old_pace) * run->ms_per_percent;
    }
}

/** Returns whether a tail has been over its target for so long that the model may be wrong. */
bool is_over_target_for_long(job_worker& worker, const longest_tail& longest, time_point now)
{
    if (longest.tail_ms <= longest.target_ms) {
        worker.over_target_since.reset();
        return false;
    }
    if (!worker.over_target_since)
        worker.over_target_since = now;
    return now - *worker.over_target_since >= max_over_target_span;
}

} // namespace

void control_tail_latency(job_scheduler& state, job_worker& worker,
                          const std::vector<listed_run>& listed, time_point now)
{
    const auto best_effort_use = best_effort_use_in(listed);
    auto longest = learn_from_tails(state, listed, best_effort_use, now);
    end_trial_if_known(state, worker);
    if (is_over_target_for_long(worker, longest, now))
        longest.baseline_ms = std::min(longest.baseline_ms, longest.target_ms / 2);
    const bool is_settled = now - worker.stopped_for_tail_at > measurement_span &&
                            now - worker.pace_changed_at > measurement_span;
    if (best_effort_use.empty() || !is_settled)
        return;
    const auto interfering = interfering_runs(state, listed, longest);
    if (worker.serving_images.empty())
        return raise_paces(state, worker, interfering, unlimited_headroom_ms, now);
    if (longest.target_ms == 0)
        return;
    const auto excess_ms = excess_ms_of(longest);
    if (excess_ms > 0)
        reduce_load(state, worker, interfering, excess_ms, now);
    else if (longest.tail_ms < longest.target_ms * raised_target_share)
        raise_paces(state, worker, interfering,
                    longest.target_ms * raised_target_share - longest.tail_ms, now);
}

} // namespace galenaturn::schedule
