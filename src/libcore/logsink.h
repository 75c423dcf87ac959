#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace galenaturn {

/**
 * Writes log lines to a descriptor and never waits for who reads it: a line that does not fit into
 * a full pipe is left out, and the next one that fits is preceded by how many were.
 */
class log_sink : public log4cplus::Appender {
public:
    /** Pipes and sockets are set not to block; files and terminals are written as they are. */
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
    std::uint64_t left_out_{0};
    /** The rest of a line that was written in part. */
    std::string rest_;
};

} // namespace galenaturn
