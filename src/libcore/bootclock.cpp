#include "bootclock.h"

#include <ctime>

namespace galenaturn {

namespace {

boot_clock::duration read(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now);
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::seconds{now.tv_sec} +
                                                            std::chrono::nanoseconds{now.tv_nsec});
}

} // namespace

boot_clock::time_point boot_clock::now() noexcept
{
    return time_point{read(CLOCK_BOOTTIME)};
}

boot_clock::duration boot_clock::suspended() noexcept
{
    const auto running = read(CLOCK_MONOTONIC);
    return read(CLOCK_BOOTTIME) - running;
}

} // namespace galenaturn
