#pragma once

#include <galenaturn/core.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>

namespace galenaturn::http {

/**
 * Closes sockets once their deadlines have passed, up to 10 ms late. One timer serves all of them,
 * because a timer for each operation costs as much as the operation.
 */
class socket_deadlines {
    struct state;
    using entries = std::multimap<time_point, boost::asio::ip::tcp::socket*>;

public:
    explicit socket_deadlines(boost::asio::io_context& io);

    /** A socket that is watched as long as this object exists. */
    class watch {
    public:
        watch(const socket_deadlines& deadlines, boost::asio::ip::tcp::socket& socket,
              time_point deadline);
        ~watch();
        watch(const watch&) = delete;
        watch& operator=(const watch&) = delete;

    private:
        std::shared_ptr<state> state_;
        entries::iterator entry_;
    };

private:
    std::shared_ptr<state> state_;
};

/** Returns the error of an operation on a watched socket: `timed_out` from the deadline on. */
boost::system::error_code error_at_deadline(time_point deadline,
                                            const boost::system::error_code& error);

} // namespace galenaturn::http
