#pragma once

#include "router.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace galenaturn::http {

/** Bounds on what one connection may take. */
struct server_limits {
    bytes body{std::int64_t{8} << 20};
    bytes header{std::int64_t{16} << 10};
    /** How long a connection may stay open between requests. */
    duration idle = std::chrono::seconds{60};
    /** How long a caller may take from the first byte of a request to the end of its header. */
    duration header_time = std::chrono::seconds{10};
    /** How long a caller may take for the body, and to take the answer. */
    duration body_time = std::chrono::seconds{20};
    /** Connections beyond this are closed at once. */
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
    /** From now on each answer closes its connection, so that callers move elsewhere. */
    void close_after_answers();
    /** Accepts nothing more, closes idle connections; requests in progress end and then close. */
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace galenaturn::http
