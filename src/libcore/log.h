#pragma once

#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>

namespace galenaturn {

enum class log_level { debug, info, warning, error, fatal };

/** A key and its value, which is formatted on construction. */
struct log_field {
    std::string_view key;
    std::string value;

    template <class T>
    log_field(std::string_view field_key, const T& field_value) : key{field_key}
    {
        std::ostringstream out;
        out << field_value;
        value = out.str();
    }
};

/** Output stream of the log. A program that prints results to one stream logs to the other. */
enum class log_target { standard_error, standard_output };

/** Initializes logging of events at or above `threshold` to `target`. Call once per program. */
void init_log(log_level threshold, log_target target = log_target::standard_error);

/** Writes one line: event=NAME key=value ... Values with spaces or quotes are quoted. */
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** Returns `value` as written in a log line, quoted if needed. */
std::string log_quoted(std::string_view value);

} // namespace galenaturn
