#pragma once

#include <string>

namespace galenaturn::platform {

/** Returns a worker's reply to a poll that lists these rows as running and no ended runs. */
inline std::string poll_reply_with(const std::string& running_rows)
{
    return R"({"clockMs":482113,"born":1773226114081,"running":[)" + running_rows +
           R"(],"endedRuns":[]})";
}

} // namespace galenaturn::platform
