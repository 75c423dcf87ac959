#pragma once

#include "log.h"

#include <initializer_list>
#include <string_view>

namespace galenaturn {

/** Logs the broken invariant in one line and ends the process, since going on could lose work. */
[[noreturn]] void fail_invariant(std::string_view condition, std::string_view file, int line,
                                 std::initializer_list<log_field> fields);

} // namespace galenaturn

/** Checks a promise in every build. Further arguments are {key, value} fields for the log line. */
#define GN_INVARIANT(condition, ...)                                                               \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::galenaturn::fail_invariant(#condition, __FILE__, __LINE__, {__VA_ARGS__});           \
    } while (false)
