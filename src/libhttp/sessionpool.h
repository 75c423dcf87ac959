#pragma once

#include "httpserver.h"
#include "socketdeadlines.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <vector>

namespace galenaturn::http {

/**
 * Keep-alive connections to servers. Each carries one request at a time and is reused only after
 * a complete response; otherwise it is closed.
 */
class session_pool {
public:
    session_pool(boost::asio::io_context& io, metrics_registry& metrics);
    ~session_pool();
    session_pool(const session_pool&) = delete;
    session_pool& operator=(const session_pool&) = delete;

    /**
     * Sends a request. Returns the complete response, or why there is none by `deadline`:
     * `not_connected` or `connection_refused` if nothing was sent.
     */
    boost::asio::awaitable<result<response>> exchange(ip_endpoint address, request message,
                                                      time_point deadline);
    /** Closes the idle connections to a server. */
    void forget(const ip_endpoint& address);

private:
    struct session;

    std::unique_ptr<session> take_idle(const ip_endpoint& address);
    boost::asio::awaitable<result<void>> connect(session& opened, ip_endpoint address,
                                                 time_point deadline);

    boost::asio::io_context& io_;
    socket_deadlines deadlines_;
    std::map<ip_endpoint, std::vector<std::unique_ptr<session>>> idle_;
    counter& opened_;
    counter& reused_;
    counter& failed_;
};

} // namespace galenaturn::http
