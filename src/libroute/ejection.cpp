#include "ejection.h"

#include <algorithm>

namespace galenaturn::route {

namespace {

constexpr std::uint32_t ejecting_failures = 5;
/** Failure share and least number of answers that eject an upstream which fails now and then. */
constexpr double ejecting_share = 0.5;
constexpr std::uint32_t ejecting_samples = 20;
constexpr double share_step = 0.1;
constexpr duration shortest_ejection = std::chrono::seconds{1};
constexpr std::uint32_t largest_doubling = 6;
constexpr std::uint32_t probes_to_recover = 3;

void eject(upstream_health& health, time_point now)
{
    const auto doubling = std::min(health.ejections, largest_doubling);
    health.state = health_state::ejected;
    health.until = now + shortest_ejection * (1U << doubling);
    ++health.ejections;
    health.probe_in_progress = false;
    health.probes_passed = 0;
}

health_change record_probe(upstream_health& health, bool failed, time_point now)
{
    health.probe_in_progress = false;
    if (failed) {
        eject(health, now);
        return health_change::ejected;
    }
    if (++health.probes_passed < probes_to_recover)
        return health_change::none;
    const auto ejections = health.ejections;
    health = upstream_health{};
    // A relapse soon after the return is ejected for longer than the first failure was.
    health.ejections = ejections / 2;
    return health_change::recovered;
}

} // namespace

bool deserves_ejection(const upstream_health& health)
{
    if (health.consecutive_failures >= ejecting_failures)
        return true;
    return health.samples >= ejecting_samples && health.failure_share >= ejecting_share;
}

health_change record_answer(upstream_health& health, bool failed, bool may_eject, time_point now)
{
    if (health.state == health_state::probing)
        return record_probe(health, failed, now);
    if (health.state == health_state::ejected)
        return health_change::none;
    ++health.samples;
    health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
    health.failure_share += share_step * ((failed ? 1.0 : 0.0) - health.failure_share);
    if (!failed || !may_eject || !deserves_ejection(health))
        return health_change::none;
    eject(health, now);
    return health_change::ejected;
}

bool end_ejection(upstream_health& health, time_point now)
{
    if (health.state != health_state::ejected || now < health.until)
        return false;
    health.state = health_state::probing;
    health.probes_passed = 0;
    health.probe_in_progress = false;
    return true;
}

} // namespace galenaturn::route
