#include "configrecord.h"

#include <algorithm>
#include <map>
#include <utility>

namespace galenaturn::soak {

using std::chrono::milliseconds;

namespace {

/** Returns the highest version that had been acknowledged `since` before `time`. */
int acknowledged_by(const std::vector<config_change>& changes, time_point time, duration since)
{
    int version = 0;
    for (const auto& change : changes) {
        if (change.acknowledged != time_point::max() && change.acknowledged + since < time)
            version = std::max(version, change.version);
    }
    return version;
}

/** Returns whether a change above `version` may have been in force before `time`. */
bool was_overtaken(const std::vector<config_change>& changes, int version, time_point time)
{
    return std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
        return change.version > version && change.sent <= time;
    });
}

std::string describe(const config_probe& probe, const std::string& fault)
{
    const auto since = std::chrono::floor<milliseconds>(probe.sent.time_since_epoch()).count();
    return "configuration: " + probe.process + " " + fault + ", asked at " + std::to_string(since) +
           " for version " + std::to_string(probe.version);
}

bool is_older(const config_probe& probe, const std::vector<config_change>& changes, int version)
{
    switch (probe.shown) {
    case shown_version::nothing:
        return false;
    case shown_version::read:
    case shown_version::in_force:
        return probe.version < version;
    case shown_version::not_in_force:
        return probe.version == version && !was_overtaken(changes, version, probe.answered);
    }
    return false;
}

/** Any process that is read, and any entry in touch, has what was acknowledged in time. */
bool is_late(const config_probe& probe, const std::vector<config_change>& changes,
             const disruption_log& disruptions, const config_bounds& bounds)
{
    if (probe.shown == shown_version::read)
        return is_older(probe, changes, acknowledged_by(changes, probe.sent, bounds.read));
    const auto from = probe.sent - bounds.contact;
    if (disruptions.disturbed(probe.process, from, probe.answered))
        return false;
    const auto bound = disruptions.controls_disturbed(from, probe.answered)
                           ? bounds.applied_unstable
                           : bounds.applied;
    return is_older(probe, changes, acknowledged_by(changes, probe.sent, bound));
}

struct newest_shown {
    int version{0};
    time_point at;
};

} // namespace

std::vector<std::string> check_configurations(const std::vector<config_change>& changes,
                                              const std::vector<config_probe>& probes,
                                              const disruption_log& disruptions,
                                              const config_bounds& bounds)
{
    std::vector<std::string> violations;
    for (const auto& probe : probes) {
        if (is_late(probe, changes, disruptions, bounds))
            violations.push_back(describe(probe, "has an older one than was acknowledged"));
    }
    auto in_order = probes;
    std::stable_sort(in_order.begin(), in_order.end(), [](const auto& left, const auto& right) {
        return left.answered < right.answered;
    });
    std::map<std::pair<std::string, int>, std::vector<newest_shown>> shown;
    for (const auto& probe : in_order) {
        auto& newest = shown[{probe.process, probe.life}];
        int before = 0;
        for (const auto& each : newest) {
            if (each.at + bounds.rollback_slack < probe.sent)
                before = std::max(before, each.version);
        }
        if (is_older(probe, changes, before))
            violations.push_back(
                describe(probe, "went back from version " + std::to_string(before)));
        const bool shows =
            probe.shown == shown_version::in_force || probe.shown == shown_version::read;
        if (shows && (newest.empty() || newest.back().version < probe.version))
            newest.push_back({probe.version, probe.answered});
    }
    return violations;
}

} // namespace galenaturn::soak
