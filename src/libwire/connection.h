#pragma once

#include "boottimer.h"
#include "channel.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace galenaturn::wire {

/** Completion token that returns errors as values instead of exceptions. */
constexpr auto use_result = boost::asio::as_tuple(boost::asio::use_awaitable);
/** Initial delay after a failed connect or accept. */
constexpr std::chrono::milliseconds min_reconnect_delay{50};

/** Converts the address to an Asio endpoint. */
boost::asio::ip::tcp::endpoint to_tcp(const ip_endpoint& address);

/**
 * One open connection. A frame is written at once unless an earlier one waits for room; frames that
 * have arrived together are read together. So a frame does not wait for a whole round of a busy
 * event loop at each step.
 */
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, channel_counters& counters);

    /** Sends a frame. Returns false if it was dropped: too much is queued or the connection is
     * closed. */
    bool send(const frame& outgoing);
    /** Returns the next frame, or an error, after which the connection can no longer be used. */
    boost::asio::awaitable<result<frame>> receive();
    void close();
    [[nodiscard]] bool closed() const { return closed_; }

private:
    /** Writes as much as possible at once, and the rest as soon as there is room for it. */
    void write(std::string text);
    /** Writes the frames that have been queued meanwhile. */
    void write_queue();
    /** Returns the next frame if it has arrived completely. */
    std::optional<result<frame>> take_frame();
    /** Returns how many bytes to make room for: the rest of the next frame, or a usual amount. */
    [[nodiscard]] std::size_t bytes_to_read() const;

    boost::asio::ip::tcp::socket socket_;
    channel_counters& counters_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_{0};
    /** What waits for room in the socket's buffer. */
    std::string batch_;
    bool writing_{false};
    /** Bytes that have arrived, from the beginning of a frame. */
    boost::beast::flat_buffer input_;
    std::optional<frame_header> header_;
    bool closed_{false};
};

} // namespace galenaturn::wire
