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

/** Logs and counts when this process did not run for a while: stopped, frozen or suspended. */
class pause_monitor {
public:
    pause_monitor(boost::asio::io_context& io, metrics_registry& metrics);

    void start();

private:
    void check();
    void schedule_check();

    clock_check last_;
    time_point due_;
    wire::boot_timer timer_;
    counter& stops_;
    counter& suspensions_;
};

} // namespace galenaturn::daemon
