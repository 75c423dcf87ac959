#include "logbudget.h"

#include <utility>

namespace galenaturn {

log_budget::verdict log_budget::ask(std::string_view event, time_point now)
{
    constexpr duration span = std::chrono::seconds{1};
    auto known = windows_.find(event);
    if (known == windows_.end())
        known = windows_.emplace(std::string{event}, window{now, 0, 0}).first;
    auto& window = known->second;
    verdict told;
    if (now - window.began >= span) {
        told.left_out = std::exchange(window.left_out, 0);
        window.began = now;
        window.written = 0;
    }
    told.write = window.written < lines_a_second_;
    if (told.write)
        ++window.written;
    else
        ++window.left_out;
    return told;
}

} // namespace galenaturn
