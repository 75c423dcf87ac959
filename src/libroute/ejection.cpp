#include "ejection.h"

#include <algorithm>

namespace galenaturn::route {

namespace {

constexpr std::uint32_t consecutive_failures_to_eject = 5;
/** Failure share and minimum sample count that eject an upstream with intermittent failures. */
constexpr double failure_share_to_eject = 0.5;
constexpr std::uint32_t min_samples_to_eject = 20;
constexpr double failure_share_smoothing_factor = 0.1;
constexpr duration min_ejection_time = std::chrono::seconds{1};
/** Limits the duration of an ejection to 64 times the minimum. */
constexpr std::uint32_t max_doublings = 6;
constexpr std::uint32_t probes_to_recover = 3;

void eject(upstream_health& health, time_point now)
{
    const auto doublings = std::min(health.ejections, max_doublings);
    health.state = health_state::ejected;
    health.ejected_at = now;
    health.ejected_until = now + min_ejection_time * (1U << doublings);
    ++health.ejections;
    health.probe_in_progress = false;
    health.successful_probes = 0;
}

health_change record_probe(upstream_health& health, bool failed, time_point now)
{
    health.probe_in_progress = false;
    if (failed) {
        eject(health, now);
        return health_change::ejected;
    }
    if (++health.successful_probes < probes_to_recover)
        return health_change::none;
    const auto ejections = health.ejections;
    const auto ejected_at = health.ejected_at;
    health = upstream_health{};
    health.ejected_at = ejected_at;
    // An upstream that fails again soon after its recovery is ejected for longer than at first.
    health.ejections = ejections / 2;
    return health_change::recovered;
}

} // namespace

bool should_eject(const upstream_health& health)
{
    if (health.consecutive_failures >= consecutive_failures_to_eject)
        return true;
    return health.samples >= min_samples_to_eject && health.failure_share >= failure_share_to_eject;
}

health_change record_result(upstream_health& health, bool failed, bool may_eject, time_point now)
{
    if (health.state == health_state::probing)
        return record_probe(health, failed, now);
    if (health.state == health_state::ejected)
        return health_change::none;
    ++health.samples;
    health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
    health.failure_share +=
        failure_share_smoothing_factor * ((failed ? 1.0 : 0.0) - health.failure_share);
    if (!failed || !may_eject || !should_eject(health))
        return health_change::none;
    eject(health, now);
    return health_change::ejected;
}

bool end_ejection(upstream_health& health, time_point now)
{
    if (health.state != health_state::ejected || now < health.ejected_until)
        return false;
    health.state = health_state::probing;
    health.successful_probes = 0;
    health.probe_in_progress = false;
    return true;
}

} // namespace galenaturn::route
