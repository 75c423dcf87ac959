#pragma once

#include "platform/soak/deployment.h"

#include <string>
#include <thread>

namespace galenaturn::suspension {

constexpr std::chrono::milliseconds answer_limit{1500};
constexpr std::chrono::seconds step_limit{20};
constexpr const char* long_job =
    R"({"spec":"work_ms=60000 cpu=1000","steps":[{"count":2,"cpu":1000}]})";
constexpr const char* short_job =
    R"({"spec":"work_ms=300 cpu=1000","steps":[{"count":2,"cpu":1000}]})";

std::string path_of(const std::string& job);
/** Returns the bytes of a caller's request, who waits one second for the response. */
std::string job_text(const std::string& method, const std::string& path,
                     const std::string& body = {});
soak::http_message call(const soak::soak_process& entry, const std::string& method,
                        const std::string& path, const std::string& body = {});
/** Returns whether the response shows the job in this state. */
bool shows(const soak::http_message& answer, const std::string& state);

/** Returns whether the predicate holds within `step_limit`. */
template <class Predicate>
bool wait_until(Predicate done)
{
    const auto limit = monotonic_now() + step_limit;
    while (!done()) {
        if (monotonic_now() > limit)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds{30});
    }
    return true;
}

} // namespace galenaturn::suspension
