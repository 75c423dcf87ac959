#pragma once

#include "requestmetrics.h"

#include <galenaturn/http.h>
#include <galenaturn/route.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaturn::entryd {

/** Upstream process to which an attempt is sent. */
struct upstream_target {
    upstream_id id;
    incarnation incarnation_number;
    ip_endpoint address;
    /** Maximum number of idle connections that this entry keeps open to the upstream. */
    std::size_t max_idle_connections{0};
};

/** Outcome of an attempt, with the response if a complete one was received. */
struct attempt_result {
    route::attempt_outcome outcome{route::attempt_outcome::connect_failed};
    http::response response;
    duration took{};
};

/** Lets the owner of an exchange end it early, for example when the caller disconnects. */
struct exchange_control {
    /** Closes the connection of the exchange. Set only while the exchange runs. */
    std::function<void()> cancel;
};

/**
 * Pool of keep-alive connections to upstreams. Each carries one request at a time. A connection
 * whose exchange did not end with a complete response is closed, never reused.
 */
class upstream_client {
public:
    upstream_client(boost::asio::io_context& io, bytes body_limit, request_metrics& metrics);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /**
     * Sends `message`, whose request id is `id`, and returns the result by `deadline`. With
     * `new_connection`, no idle connection is reused, since the upstream may be closing it.
     */
    boost::asio::awaitable<attempt_result> exchange(upstream_target target, http::request message,
                                                    std::string id, time_point deadline,
                                                    bool new_connection, exchange_control* control);

    /** Closes the idle connections to an upstream. */
    void close_idle(const upstream_id& id);
    /** Returns the number of open connections to an upstream, in use or idle. */
    [[nodiscard]] std::size_t connections(const upstream_id& id) const;

private:
    struct connection;
    struct upstream_connections {
        std::vector<std::unique_ptr<connection>> idle;
        std::size_t in_use{0};
    };
    class use_guard;

    std::unique_ptr<connection> take_idle(const upstream_target& target);
    boost::asio::awaitable<bool> connect(connection& link, const upstream_target& target,
                                         time_point deadline);
    boost::asio::awaitable<attempt_result> send_and_receive(connection& link,
                                                            http::request& message,
                                                            const std::string& id,
                                                            time_point deadline);
    boost::asio::awaitable<attempt_result>
    read_response(connection& link, bool head_only, const std::string& id, time_point deadline);
    void return_to_pool(const upstream_target& target, std::unique_ptr<connection> link);

    boost::asio::io_context& io_;
    http::socket_deadlines deadlines_;
    std::uint64_t body_limit_;
    request_metrics& metrics_;
    std::map<upstream_id, upstream_connections> upstreams_;
};

} // namespace galenaturn::entryd
