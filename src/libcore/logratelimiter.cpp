#include "logratelimiter.h"

#include <utility>

namespace galenaturn {

log_rate_limiter::decision log_rate_limiter::check(std::string_view event, time_point now)
{
    constexpr duration window_length = std::chrono::seconds{1};
    auto found = windows_.find(event);
    if (found == windows_.end())
        found = windows_.emplace(std::string{event}, window{now, 0, 0}).first;
    auto& window = found->second;
    decision result;
    if (now - window.started >= window_length) {
        result.omitted = std::exchange(window.omitted, 0);
        window.started = now;
        window.written = 0;
    }
    result.write = window.written < max_lines_per_second_;
    if (result.write)
        ++window.written;
    else
        ++window.omitted;
    return result;
}

} // namespace galenaturn
