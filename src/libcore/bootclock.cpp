#include "bootclock.h"

#include <ctime>

namespace galenaturn {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since_boot =
        std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace galenaturn
