#pragma once

#include "disruptionlog.h"

#include <string>
#include <vector>

namespace galenaturn::soak {

/** What a process showed of the configuration when it was asked. */
enum class shown_version {
    /** No answer, or one that says nothing about the configuration. */
    nothing,
    /** The entry has the route that only this version has. */
    in_force,
    /** The entry refused that route as unknown. */
    not_in_force,
    /** The whole configuration with this version was read. */
    read
};

struct config_probe {
    std::string process;
    /** Counts the starts of the process. */
    int life{0};
    time_point sent;
    time_point answered;
    int version{0};
    shown_version shown{shown_version::nothing};
};

/** A change of the configuration. Only the last of a series was waited for. */
struct config_change {
    int version{0};
    time_point sent;
    /** `time_point::max()` if it never was. */
    time_point acknowledged{time_point::max()};
};

/** Bounds of the rules. */
struct config_bounds {
    /** A read is linearizable: no older than what had been acknowledged when it was sent. */
    duration read{};
    duration applied = std::chrono::milliseconds{2000};
    duration applied_unstable = std::chrono::milliseconds{2500};
    /** How long after a disruption a process counts as disturbed. */
    duration contact = std::chrono::milliseconds{3000};
    duration rollback_slack = std::chrono::milliseconds{250};
};

/** Returns one text for each process that was older than the rules allow. */
std::vector<std::string> check_configurations(const std::vector<config_change>& changes,
                                              const std::vector<config_probe>& probes,
                                              const disruption_log& disruptions,
                                              const config_bounds& bounds = {});

} // namespace galenaturn::soak
