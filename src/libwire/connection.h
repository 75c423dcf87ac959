#pragma once

#include "channel.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <memory>

namespace galenaturn::wire {

/** Errors come back as values, not as exceptions. */
constexpr auto use_result = boost::asio::as_tuple(boost::asio::use_awaitable);
/** First pause after a failed connection or accept. */
constexpr std::chrono::milliseconds shortest_reconnect_delay{50};

/** Returns the address as Asio takes it. */
boost::asio::ip::tcp::endpoint to_tcp(const ip_endpoint& address);

/** One open connection: a bounded queue of outgoing bytes and the coroutine that writes them. */
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, channel_counters& counters);

    void start_writing();
    /** Queues a frame. Returns false where it was dropped, since too much waits or it is closed. */
    bool send(const frame& outgoing);
    /** Returns the next frame, or why there is none; the connection is then of no more use. */
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
