#include "logsink.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace galenaturn {

namespace {

/** Returns whether a write to the descriptor may block on its reader (pipe or socket). */
bool may_block(int descriptor)
{
    struct stat status {};
    return ::fstat(descriptor, &status) == 0 &&
           (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
}

} // namespace

log_sink::log_sink(int descriptor) : descriptor_{descriptor}
{
    if (!may_block(descriptor_))
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
        // The rest of a partially written line is written later, so that lines stay intact.
        if (written > 0)
            unwritten_ = text.substr(written);
        return written > 0;
    }
    return true;
}

void log_sink::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!unwritten_.empty()) {
        const auto rest = std::exchange(unwritten_, {});
        if (!write_all(rest))
            unwritten_ = rest;
    }
    line_.str(std::string{});
    if (omitted_ > 0)
        line_ << "event=log_lines_left_out cause=full_pipe count=" << omitted_ << '\n';
    layout->formatAndAppend(line_, event);
    if (!unwritten_.empty() || !write_all(line_.str())) {
        ++omitted_;
        return;
    }
    omitted_ = 0;
}

} // namespace galenaturn
