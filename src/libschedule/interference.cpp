#include "interference.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace galenaturn::schedule {

namespace {

/** Prior of a service's baseline: well below its objective. */
constexpr pair_effect baseline_prior{0.6, 0.01, {}};
/** Prior of the increase caused by a neighbour that uses all processors of a worker. */
constexpr pair_effect pair_prior{0.4, 0.5, {}};
constexpr double measurement_variance = 0.01;
/** Increase of an estimate's variance per second, so that old measurements count less. */
constexpr double variance_growth_per_second = 0.0002;

const pair_effect& prior_of(const job_id& job)
{
    return job.empty() ? baseline_prior : pair_prior;
}

} // namespace

pair_effect effect_of(const interference_model& model, const job_id& service, const job_id& job,
                      time_point now)
{
    const auto& prior = prior_of(job);
    const auto found = model.effects.find({service, job});
    if (found == model.effects.end())
        return prior;
    auto effect = found->second;
    const auto age = std::chrono::duration<double>(now - effect.updated).count();
    effect.variance =
        std::min(prior.variance, effect.variance + variance_growth_per_second * std::max(age, 0.0));
    return effect;
}

latency_estimate predict_latency(const interference_model& model, const job_id& service,
                                 const std::vector<neighbour>& neighbours, time_point now)
{
    const auto baseline = effect_of(model, service, job_id{}, now);
    double mean = baseline.mean;
    double variance = baseline.variance;
    for (const auto& other : neighbours) {
        const auto effect = effect_of(model, service, other.job, now);
        mean += effect.mean * other.share;
        variance += effect.variance * other.share * other.share;
    }
    return {mean, std::sqrt(variance), baseline.mean};
}

void learn_latency(interference_model& model, const job_id& service,
                   const std::vector<neighbour>& neighbours, double measured, time_point now)
{
    if (!model.learning)
        return;
    const auto predicted = predict_latency(model, service, neighbours, now);
    const double error = measured - predicted.mean;
    const double total = predicted.deviation * predicted.deviation + measurement_variance;
    const auto correct = [&](const job_id& job, double share) {
        auto effect = effect_of(model, service, job, now);
        const double gain = effect.variance * share / total;
        effect.mean += gain * error;
        effect.variance *= 1 - gain * share;
        effect.updated = now;
        model.effects[{service, job}] = effect;
    };
    // Neighbours of the same job count as one regressor with the sum of their shares.
    std::map<job_id, double> shares{{job_id{}, 1.0}};
    for (const auto& other : neighbours)
        shares[other.job] += other.share;
    for (const auto& [job, share] : shares)
        correct(job, share);
}

} // namespace galenaturn::schedule
