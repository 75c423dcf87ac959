#pragma once

#include <galenaturn/core.h>

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace galenaturn::wire {

/**
 * How long Asio waits for a timer before it reads the clock again. The wait itself leaves out the
 * time for which the VM was suspended, so a timer that became due meanwhile fires at most this much
 * after the VM resumes.
 */
struct boot_wait_traits {
    static constexpr duration max_wait = std::chrono::milliseconds{100};

    static duration to_wait_duration(duration remaining) { return std::min(remaining, max_wait); }
    static duration to_wait_duration(time_point due)
    {
        return to_wait_duration(due - boot_clock::now());
    }
};

/** A timer on the clock of `time_point`. */
using boot_timer = boost::asio::basic_waitable_timer<boot_clock, boot_wait_traits>;

} // namespace galenaturn::wire
