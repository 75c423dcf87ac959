#pragma once

#include "channel.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <memory>

namespace galenaturn::wire {

/** Completion token that returns errors as values instead of exceptions. */
constexpr auto use_result = boost::asio::as_tuple(boost::asio::use_awaitable);
/** Initial delay after a failed connect or accept. */
constexpr std::chrono::milliseconds min_reconnect_delay{50};

/** Converts the address to an Asio endpoint. */
boost::asio::ip::tcp::endpoint to_tcp(const ip_endpoint& address);

/** One open connection: a bounded queue of outgoing bytes and the coroutine that writes them. */
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, channel_counters& counters);

    void start_writing();
    /** Queues a frame. Returns false if it was dropped: the queue is full or the connection
     * is closed. */
    bool send(const frame& outgoing);
    /** Returns the next frame, or an error, after which the connection can no longer be used. */
    boost::asio::awaitable<result<frame>> receive();
    void close();
    [[nodiscard]] bool closed() const { return closed_; }

private:
    static boost::asio::awaitable<void> write_queue(std::shared_ptr<connection> self);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer wake_;
    channel_counters& counters_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_{0};
    bool closed_{false};
};

} // namespace galenaturn::wire
