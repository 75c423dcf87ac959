#pragma once

#include "callers.h"

#include <map>
#include <random>
#include <set>

namespace galenaturn::soak {

/** Jobs that callers left before they had an answer, or were refused. Guarded by `mutex`. */
struct left_jobs {
    std::mutex mutex;
    /** When the cancelling of a job was acknowledged. */
    std::map<std::string, time_point> cancelled;
    /** Jobs that were refused as certainly not run, and not cancelled. */
    std::set<std::string> refused;
    std::size_t unacknowledged{0};
};

/**
 * Submits long jobs, leaves after a short time and cancels each through any entry. Half of the
 * connections that it leaves remain open until it ends, as if the VM of the caller were lost.
 */
void run_leaving_caller(caller_record& shared, left_jobs& left, std::size_t number);

} // namespace galenaturn::soak
