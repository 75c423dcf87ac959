#include "virtualcluster.h"

#include <algorithm>
#include <cmath>

namespace galenaturn::bench {

namespace {

constexpr double pareto_shape = 1.5;
/** Ratio of the longest to the shortest service time. */
constexpr double pareto_range = 300;

double uniform_0_to_1(std::mt19937_64& random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

/** Returns the mean of the bounded Pareto distribution with the minimum 1. */
double bounded_pareto_mean()
{
    const double tail_probability = std::pow(pareto_range, -pareto_shape);
    return pareto_shape / (pareto_shape - 1) * (1 - std::pow(pareto_range, 1 - pareto_shape)) /
           (1 - tail_probability);
}

} // namespace

void virtual_clock::schedule_at(time_point when, std::function<void()> action)
{
    events_.push({when, ++last_sequence_, std::move(action)});
}

void virtual_clock::run()
{
    while (!events_.empty()) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        next.action();
    }
}

service_times::service_times(duration mean)
    : min_time_us_{static_cast<double>(mean.count()) / bounded_pareto_mean()}
{
}

duration service_times::draw(std::mt19937_64& random)
{
    const double tail_probability = std::pow(pareto_range, -pareto_shape);
    const double value =
        std::pow(1 - uniform_0_to_1(random) * (1 - tail_probability), -1 / pareto_shape);
    return duration{static_cast<duration::rep>(min_time_us_ * value)};
}

duration percentile(std::vector<duration>& samples, double share)
{
    if (samples.empty())
        return duration::zero();
    const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                     samples.end());
    return samples[index];
}

duration arrival_gap(double rate, std::mt19937_64& random)
{
    const double seconds = std::exponential_distribution<double>{rate}(random);
    return duration{static_cast<duration::rep>(seconds * 1e6)};
}

} // namespace galenaturn::bench
