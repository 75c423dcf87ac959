#include "log.h"

#include "logratelimiter.h"
#include "logsink.h"

#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <mutex>
#include <unistd.h>

namespace galenaturn {

namespace {

log4cplus::LogLevel to_library_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    case log_level::fatal:
        return log4cplus::FATAL_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::Logger& logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getRoot();
    return instance;
}

/** Limit for each event name: about half of the users' peak of 2,100 task starts per second. */
constexpr std::uint32_t max_lines_per_second = 1000;

/** Checks the rate limit shared by all threads for a line of `event`. */
log_rate_limiter::decision check_rate_limit(std::string_view event)
{
    static std::mutex guard;
    static log_rate_limiter limiter{max_lines_per_second};
    const std::lock_guard lock{guard};
    return limiter.check(event, monotonic_now());
}

void append_quoted(std::string& line, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        if (character == '\n' || character == '\r') {
            line += "\\n";
            continue;
        }
        line += character;
    }
    line += '"';
}

} // namespace

void init_log(log_level threshold, log_target target)
{
    static const log4cplus::tstring pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender{
        new log_sink{target == log_target::standard_error ? STDERR_FILENO : STDOUT_FILENO}};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setLogLevel(to_library_level(threshold));
}

std::string log_quoted(std::string_view value)
{
    std::string quoted;
    append_quoted(quoted, value);
    return quoted;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto library_level = to_library_level(level);
    if (!logger().isEnabledFor(library_level))
        return;
    const auto decision = check_rate_limit(event);
    if (decision.omitted > 0)
        logger().log(library_level,
                     "event=log_lines_left_out cause=budget kind=" + log_quoted(event) +
                         " count=" + std::to_string(decision.omitted));
    if (!decision.write)
        return;
    std::string line{"event="};
    line += event;
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_quoted(line, field.value);
    }
    logger().log(library_level, line);
}

} // namespace galenaturn
