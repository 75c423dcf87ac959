#pragma once

#include "log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace galenaturn {

/** Logs the violated invariant and aborts the process, since continuing could lose work. */
[[noreturn]] void fail_invariant(std::string_view condition, std::string_view file, int line,
                                 std::initializer_list<log_field> fields);

/**
 * Called with the text of a violated invariant before the process aborts. A test may set a handler
 * that throws, to check that an invariant detects a fault; daemons set none.
 */
using invariant_handler = void (*)(const std::string& text);
void set_invariant_handler(invariant_handler handler);

} // namespace galenaturn

/** Checks an invariant in all build types. Further arguments are {key, value} fields for the log
 * line. */
#define GN_INVARIANT(condition, ...)                                                               \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::galenaturn::fail_invariant(#condition, __FILE__, __LINE__, {__VA_ARGS__});           \
    } while (false)
