#include "log.h"

#include "logbudget.h"
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

/** Half of the task starts of the users' peak (2,100 a second), for each kind of event. */
constexpr std::uint32_t lines_a_second = 1000;

/** Asks the budget of all threads whether a line of the event may be written. */
log_budget::verdict ask_budget(std::string_view event)
{
    static std::mutex guard;
    static log_budget budget{lines_a_second};
    const std::lock_guard lock{guard};
    return budget.ask(event, monotonic_now());
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
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos)
        return std::string{value};
    std::string quoted{"\""};
    for (const char character : value) {
        if (character == '"' || character == '\\')
            quoted += '\\';
        if (character == '\n' || character == '\r') {
            quoted += "\\n";
            continue;
        }
        quoted += character;
    }
    quoted += '"';
    return quoted;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto library_level = to_library_level(level);
    if (!logger().isEnabledFor(library_level))
        return;
    const auto verdict = ask_budget(event);
    if (verdict.left_out > 0)
        logger().log(library_level,
                     "event=log_lines_left_out cause=budget kind=" + log_quoted(event) +
                         " count=" + std::to_string(verdict.left_out));
    if (!verdict.write)
        return;
    std::string line{"event="};
    line += event;
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += log_quoted(field.value);
    }
    logger().log(library_level, line);
}

} // namespace galenaturn
