#pragma once

#include <galenaturn/core.h>

#include <mutex>
#include <string>
#include <vector>

namespace galenaturn::soak {

/** Time in which a process was killed, stopped or suspended, up to its next start or its
 * resumption. */
struct disruption {
    std::string process;
    bool is_control{false};
    /** A planned stop, and the start after it. */
    bool planned{false};
    time_point from;
    time_point until{time_point::max()};
};

/** Which processes were disturbed when. Safe for threads. */
class disruption_log {
public:
    void begin(const std::string& process, bool is_control, bool planned, time_point from);
    /** Ends all disruptions of the process. */
    void end(const std::string& process, time_point until);
    [[nodiscard]] bool disturbed(const std::string& process, time_point from,
                                 time_point until) const;
    [[nodiscard]] bool controls_disturbed(time_point from, time_point until) const;
    /** Returns whether the process was killed or suspended, or a control process was. */
    [[nodiscard]] bool unplanned_near(const std::string& process, time_point from,
                                      time_point until) const;

private:
    template <class Predicate>
    bool any_in(time_point from, time_point until, Predicate matches) const;

    mutable std::mutex mutex_;
    std::vector<disruption> all_;
};

} // namespace galenaturn::soak
