#pragma once

#include "log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace galenaturn {

/** Logs the broken invariant in one line and ends the process, since going on could lose work. */
[[noreturn]] void fail_invariant(std::string_view condition, std::string_view file, int line,
                                 std::initializer_list<log_field> fields);

/**
 * Called with the text of a broken invariant before the process ends. A test may set one that
 * throws, to show that an invariant catches a fault; no daemon sets one.
 */
using invariant_handler = void (*)(const std::string& text);
void set_invariant_handler(invariant_handler handler);

} // namespace galenaturn

/** Checks a promise in every build. Further arguments are {key, value} fields for the log line. */
#define GN_INVARIANT(condition, ...)                                                               \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::galenaturn::fail_invariant(#condition, __FILE__, __LINE__, {__VA_ARGS__});           \
    } while (false)
