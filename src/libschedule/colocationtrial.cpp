#include "colocationtrial.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** Share of the fleet's latency-critical tasks that trials may harm at any moment. */
constexpr double max_harmed_share = 0.015;
/** At most one of this many workers with latency-critical tasks runs a trial. */
constexpr std::size_t workers_per_trial = 4;
constexpr std::uint32_t max_trials_per_pair = 2;
/** No second trial starts on a worker within this time, so that the same tasks are not harmed twice
 * in a row. */
constexpr duration trial_rest = std::chrono::seconds{5};

std::size_t count_tasks(const std::map<submission_id, std::uint32_t>& jobs)
{
    std::size_t tasks = 0;
    for (const auto& [job, count] : jobs)
        tasks += count;
    return tasks;
}

std::vector<std::string> unknown_pairs_of(const job_scheduler& state, const job_worker& worker,
                                          const std::string& image)
{
    std::vector<std::string> unknown;
    for (const auto& [serving, jobs] : worker.serving_images) {
        if (!is_trusted_pair(state.interference, serving, image))
            unknown.push_back(serving);
    }
    return unknown;
}

} // namespace

std::optional<double> expected_trial_harm(const job_scheduler& state, const job_worker& worker,
                                          const wire::job_step& step, time_point now)
{
    if (worker.best_effort_processors.value() > 0 || now < worker.next_trial_at)
        return std::nullopt;
    const auto target = std::chrono::duration<double, std::milli>{worker.tail_target}.count();
    const auto processors = static_cast<double>(step.demand.processors.value()) / 1000;
    double harmed = 0;
    std::size_t tasks = 0;
    bool unknown = false;
    for (const auto& [serving, forecast] : worker.tail_forecasts) {
        const auto slope = cautious_slope_of(forecast.estimate, step.image);
        const auto known_slope = slope.trusted ? slope.slope : 0.0;
        if (forecast.baseline * (1 + known_slope * processors) > target * max_tail_share_for_trial)
            return std::nullopt;
        const auto jobs = worker.serving_images.find(serving);
        const auto count = jobs == worker.serving_images.end() ? 0 : count_tasks(jobs->second);
        tasks += count;
        if (slope.trusted)
            continue;
        unknown = true;
        harmed += static_cast<double>(count) *
                  excess_probability(state.interference, serving, step.image,
                                     target / std::max(forecast.baseline, 1e-6), processors);
    }
    if (!unknown || tasks == 0)
        return std::nullopt;
    return harmed / static_cast<double>(tasks);
}

bool are_trials_exhausted(const job_scheduler& state)
{
    const auto& trials = state.trials;
    return trials.running > 0 &&
           (trials.harm > max_harmed_share * static_cast<double>(state.serving_workers) ||
            (trials.running + 1) * workers_per_trial > state.serving_workers);
}

bool may_start_trial(const job_scheduler& state, const job_worker& worker,
                     const wire::job_step& step, double harm)
{
    const auto& trials = state.trials;
    if (trials.running > 0 &&
        (trials.harm + harm > max_harmed_share * static_cast<double>(state.serving_workers) ||
         (trials.running + 1) * workers_per_trial > state.serving_workers))
        return false;
    const auto unknown = unknown_pairs_of(state, worker, step.image);
    return std::any_of(unknown.begin(), unknown.end(), [&](const auto& serving) {
        const auto running = trials.by_pair.find({serving, step.image});
        return running == trials.by_pair.end() || running->second < max_trials_per_pair;
    });
}

void begin_trial(job_scheduler& state, job_worker& worker, const wire::job_step& step, double harm,
                 time_point now)
{
    if (worker.trial)
        return;
    worker.trial = colocation_trial{step.image, unknown_pairs_of(state, worker, step.image), harm};
    worker.next_trial_at = now + trial_rest;
    ++state.trials.running;
    state.trials.harm += harm;
    for (const auto& serving : worker.trial->serving_images)
        ++state.trials.by_pair[{serving, step.image}];
}

void end_trial(job_scheduler& state, job_worker& worker)
{
    if (!worker.trial)
        return;
    --state.trials.running;
    state.trials.harm = state.trials.running == 0 ? 0 : state.trials.harm - worker.trial->harm;
    for (const auto& serving : worker.trial->serving_images) {
        const auto running = state.trials.by_pair.find({serving, worker.trial->best_effort_image});
        if (--running->second == 0)
            state.trials.by_pair.erase(running);
    }
    worker.trial.reset();
}

void end_trial_if_known(job_scheduler& state, job_worker& worker)
{
    if (!worker.trial)
        return;
    const auto& serving_images = worker.trial->serving_images;
    const bool known =
        std::all_of(serving_images.begin(), serving_images.end(), [&](const auto& serving) {
            return is_trusted_pair(state.interference, serving, worker.trial->best_effort_image);
        });
    if (known)
        end_trial(state, worker);
}

} // namespace galenaturn::schedule
