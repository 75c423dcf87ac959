#pragma once

#include "units.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace galenaturn {

/** Limits the log lines per second of each event name, and counts the omitted ones. */
class log_rate_limiter {
public:
    explicit log_rate_limiter(std::uint32_t max_lines_per_second)
        : max_lines_per_second_{max_lines_per_second}
    {
    }

    struct decision {
        bool write{false};
        /** Number of lines omitted since the last report of this count; the caller logs it now. */
        std::uint64_t omitted{0};
    };

    decision check(std::string_view event, time_point now);

private:
    struct window {
        time_point started;
        std::uint32_t written{0};
        std::uint64_t omitted{0};
    };

    std::uint32_t max_lines_per_second_;
    std::map<std::string, window, std::less<>> windows_;
};

} // namespace galenaturn
