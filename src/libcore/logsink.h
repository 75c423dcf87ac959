#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <sstream>

namespace galenaturn {

/**
 * Writes log lines to a descriptor without blocking on its reader: a line that does not fit into a
 * full pipe is dropped, and the number of dropped lines is written before the next one that fits.
 */
class log_sink : public log4cplus::Appender {
public:
    /** Sets pipes and sockets to non-blocking mode; files and terminals are left unchanged. */
    explicit log_sink(int descriptor);
    ~log_sink() override;
    log_sink(const log_sink&) = delete;
    log_sink(log_sink&&) = delete;
    log_sink& operator=(const log_sink&) = delete;
    log_sink& operator=(log_sink&&) = delete;

    void close() override {}

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    /** Returns whether the whole of `text` was written. */
    bool write_all(const std::string& text);

    int descriptor_;
    std::uint64_t omitted_{0};
    std::ostringstream line_;
    /** The rest of a partially written line. */
    std::string unwritten_;
};

} // namespace galenaturn
