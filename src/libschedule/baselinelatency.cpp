#include "baselinelatency.h"

#include <algorithm>
#include <cmath>

namespace galenaturn::schedule {

namespace {

/** Time constants of the two moving averages: samples are rough, and the load of users varies. */
constexpr std::chrono::duration<double> fast_time_constant{0.4};
constexpr std::chrono::duration<double> slow_time_constant{1.2};
/** Extrapolation of the trend, in multiples of the difference between the two averages. */
constexpr double trend_factor = 1.5;
/** Expected baseline of a job without any sample, as a share of its tail target. */
constexpr double default_target_share = 0.5;
constexpr duration max_fresh_age = std::chrono::seconds{2};
/** Longer than the time for which a tail may stay over its target. */
constexpr duration max_reference_age = std::chrono::seconds{6};

void update_average(double& average, double sample, std::chrono::duration<double> elapsed,
                    std::chrono::duration<double> time_constant)
{
    average += (sample - average) * (1 - std::exp(-elapsed.count() / time_constant.count()));
}

} // namespace

void update_baseline(baseline_latency& baseline, double sample_ms, time_point now)
{
    if (baseline.fast_average == 0) {
        baseline = {sample_ms, sample_ms, now};
        return;
    }
    // Samples of several tasks of the job at the same moment count about as much as one.
    constexpr duration min_elapsed = std::chrono::milliseconds{20};
    const auto elapsed = std::max(now - baseline.sampled_at, min_elapsed);
    update_average(baseline.fast_average, sample_ms, elapsed, fast_time_constant);
    update_average(baseline.slow_average, sample_ms, elapsed, slow_time_constant);
    baseline.sampled_at = now;
}

bool is_fresh(const baseline_latency& baseline, time_point now)
{
    return baseline.fast_average > 0 && now - baseline.sampled_at < max_fresh_age;
}

bool is_usable_reference(const baseline_latency& baseline, time_point now)
{
    return baseline.fast_average > 0 && now - baseline.sampled_at < max_reference_age;
}

double expected_baseline(const baseline_latency& baseline, double target_ms)
{
    if (baseline.fast_average == 0)
        return target_ms * default_target_share;
    return std::max(baseline.fast_average / 2,
                    baseline.fast_average +
                        trend_factor * (baseline.fast_average - baseline.slow_average));
}

} // namespace galenaturn::schedule
