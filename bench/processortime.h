#pragma once

#include <ctime>

namespace galenaturn::bench {

/** Returns the processor time, in seconds, that this process has used so far. */
inline double processor_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

} // namespace galenaturn::bench
