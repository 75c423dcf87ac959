#pragma once

#include "units.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace galenaturn {

/** Bounds how many lines of one event are written a second, and counts what is left out. */
class log_budget {
public:
    explicit log_budget(std::uint32_t lines_a_second) : lines_a_second_{lines_a_second} {}

    struct verdict {
        bool write{false};
        /** Lines of the event that were left out since it was last told; tell it now. */
        std::uint64_t left_out{0};
    };

    verdict ask(std::string_view event, time_point now);

private:
    struct window {
        time_point began;
        std::uint32_t written{0};
        std::uint64_t left_out{0};
    };

    std::uint32_t lines_a_second_;
    std::map<std::string, window, std::less<>> windows_;
};

} // namespace galenaturn
