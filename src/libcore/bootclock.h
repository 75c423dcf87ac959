#pragma once

#include <chrono>

namespace galenaturn {

/**
 * The monotonic clock of this VM that also counts the time for which the VM was suspended. The
 * steady clock of the standard library leaves that time out, so a lease on it would outlast what
 * other VMs grant.
 */
struct boot_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
    /** Returns for how long this VM has been suspended since it started. */
    static duration suspended() noexcept;
};

} // namespace galenaturn
