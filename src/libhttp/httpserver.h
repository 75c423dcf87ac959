#pragma once

#include "router.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace galenaturn::http {

/** Limits of a server and of each of its connections. */
struct server_limits {
    /** Maximum size of a body. */
    bytes body{std::int64_t{8} << 20};
    /** Maximum size of a header. */
    bytes header{std::int64_t{16} << 10};
    /** How long a connection may stay open between requests. */
    duration idle = std::chrono::seconds{60};
    /** Timeout from the first byte of a request to the end of its header. */
    duration header_timeout = std::chrono::seconds{10};
    /** Timeout for receiving the body, and for sending the response. */
    duration body_timeout = std::chrono::seconds{20};
    /** Maximum number of connections; any further one is closed at once. */
    std::size_t connections{4096};
};

/** Serves HTTP/1.1 with keep-alive; each connection has at most one request in progress. */
class server {
public:
    server(boost::asio::io_context& io, const router& routes, server_limits limits,
           metrics_registry& metrics);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    result<void> listen(const ip_endpoint& address);
    /** Returns the port that was bound; useful after listening on port 0. */
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t requests_in_progress() const;
    [[nodiscard]] std::size_t open_connections() const;
    /** Closes each connection after its next response, so that callers connect to other servers. */
    void close_after_responses();
    /**
     * Stops accepting, closes idle connections, and each other one after its request in progress. A
     * request that has arrived on an accepted connection is in progress.
     */
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace galenaturn::http
