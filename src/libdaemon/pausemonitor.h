#pragma once

#include <galenaturn/core.h>
#include <galenaturn/wire.h>

#include <boost/asio/io_context.hpp>

#include <optional>

namespace galenaturn::daemon {

/** A check of the clocks of a process. */
struct clock_check {
    time_point at;
    /** For how long the VM had been suspended until then. */
    duration suspended{};
};

/** A time for which a process did not run. */
struct process_pause {
    /** How late the check was. */
    duration late{};
    /** The part for which the VM was suspended, which the steady clock leaves out. */
    duration suspended{};
};

/** Returns the pause between two checks, of which the second was due at `due`, if there was one. */
std::optional<process_pause> find_pause(const clock_check& before, time_point due,
                                        const clock_check& after);

/**
 * Returns since when input that is read at `now` may have waited for this process. `last` is the
 * latest check, the next one is due at `due`, and `paused_since` is set if that check found a
 * pause.
 */
time_point input_waits_since(time_point last, time_point due,
                             std::optional<time_point> paused_since, time_point now);

/** Logs and counts when this process did not run for a while: stopped, frozen or suspended. */
class pause_monitor {
public:
    pause_monitor(boost::asio::io_context& io, metrics_registry& metrics);

    void start();
    /** Returns since when input that is read at `now` may have waited for this process. */
    [[nodiscard]] time_point input_waits_since(time_point now) const;

private:
    void check();
    void schedule_check();

    clock_check last_;
    time_point due_;
    /** The check before the pause that the last check found. */
    std::optional<time_point> paused_since_;
    wire::boot_timer timer_;
    counter& stops_;
    counter& suspensions_;
};

} // namespace galenaturn::daemon
