#include "logsink.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <cerrno>
#include <fcntl.h>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace galenaturn {

namespace {

/** Returns whether writing to the descriptor may wait for a reader. */
bool has_reader(int descriptor)
{
    struct stat told {};
    return ::fstat(descriptor, &told) == 0 && (S_ISFIFO(told.st_mode) || S_ISSOCK(told.st_mode));
}

} // namespace

log_sink::log_sink(int descriptor) : descriptor_{descriptor}
{
    if (!has_reader(descriptor_))
        return;
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

log_sink::~log_sink()
{
    destructorImpl();
}

bool log_sink::write_all(const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const auto count = ::write(descriptor_, text.data() + written, text.size() - written);
        if (count > 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno == EINTR)
            continue;
        // What was begun is ended later, so that lines stay whole.
        if (written > 0)
            rest_ = text.substr(written);
        return written > 0;
    }
    return true;
}

void log_sink::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!rest_.empty()) {
        const auto rest = std::exchange(rest_, {});
        if (!write_all(rest))
            rest_ = rest;
    }
    std::ostringstream line;
    if (left_out_ > 0)
        line << "event=log_lines_left_out cause=full_pipe count=" << left_out_ << '\n';
    layout->formatAndAppend(line, event);
    if (!rest_.empty() || !write_all(line.str())) {
        ++left_out_;
        return;
    }
    left_out_ = 0;
}

} // namespace galenaturn
