#include "owntail.h"

#include <algorithm>
#include <cmath>

namespace galenaturn::schedule {

namespace {

/** Time constants of the two moving averages: samples are rough, and the load of users varies. */
constexpr std::chrono::duration<double> latest_span{0.4};
constexpr std::chrono::duration<double> slower_span{1.2};
/** Extrapolation of the trend, in multiples of the difference between the two averages. */
constexpr double ahead = 1.5;
/** Expected baseline of a job without any sample, as a share of its tail target. */
constexpr double unknown_share = 0.5;
constexpr duration fresh_span = std::chrono::seconds{2};
/** Longer than a tail may be over its target before it is throttled regardless of the model. */
constexpr duration memory_span = std::chrono::seconds{6};

void approach(double& average, double sample, std::chrono::duration<double> passed,
              std::chrono::duration<double> span)
{
    average += (sample - average) * (1 - std::exp(-passed.count() / span.count()));
}

} // namespace

void follow_tail(own_tail& tail, double alone_ms, time_point now)
{
    if (tail.latest == 0) {
        tail = {alone_ms, alone_ms, now};
        return;
    }
    // Samples of several tasks of the job at the same moment count about as much as one.
    constexpr duration least_passed = std::chrono::milliseconds{20};
    const auto passed = std::max(now - tail.at, least_passed);
    approach(tail.latest, alone_ms, passed, latest_span);
    approach(tail.slower, alone_ms, passed, slower_span);
    tail.at = now;
}

bool is_fresh(const own_tail& tail, time_point now)
{
    return tail.latest > 0 && now - tail.at < fresh_span;
}

bool is_remembered(const own_tail& tail, time_point now)
{
    return tail.latest > 0 && now - tail.at < memory_span;
}

double tail_to_expect(const own_tail& tail, double target_ms)
{
    if (tail.latest == 0)
        return target_ms * unknown_share;
    return std::max(tail.latest / 2, tail.latest + ahead * (tail.latest - tail.slower));
}

} // namespace galenaturn::schedule
