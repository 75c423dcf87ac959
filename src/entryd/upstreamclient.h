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

/** Where one attempt goes. */
struct upstream_target {
    upstream_id id;
    incarnation life;
    ip_endpoint address;
    /** Connections that this entry may keep open beyond those that carry a request. */
    std::size_t idle_limit{0};
};

/** How one attempt ended, and the answer where a whole one came. */
struct attempt_result {
    route::attempt_outcome outcome{route::attempt_outcome::connect_failed};
    http::response answer;
    duration took{};
};

/** Ends an exchange early: the caller has gone or the process gives up. */
struct exchange_control {
    /** Set by the exchange while it runs; closes its connection. */
    std::function<void()> cancel;
};

/**
 * Keep-alive connections to upstreams. Each carries one request at a time; a connection whose
 * exchange did not end with a whole answer is closed and never used again.
 */
class upstream_client {
public:
    upstream_client(boost::asio::io_context& io, bytes body_limit, request_metrics& metrics);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /**
     * Sends `message`, whose id is `id`, and returns how that ended, by `deadline`. With
     * `new_connection` no kept connection is used, since the upstream may be closing it.
     */
    boost::asio::awaitable<attempt_result> exchange(upstream_target target, http::request message,
                                                    std::string id, time_point deadline,
                                                    bool new_connection, exchange_control* control);

    /** Closes the idle connections to an upstream. */
    void forget(const upstream_id& id);
    /** Returns the open connections to an upstream, in use or idle. */
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
    boost::asio::awaitable<attempt_result> carry(connection& link, http::request& message,
                                                 const std::string& id, time_point deadline);
    boost::asio::awaitable<attempt_result> read_answer(connection& link, bool head_only,
                                                       const std::string& id);
    void keep(const upstream_target& target, std::unique_ptr<connection> link);

    boost::asio::io_context& io_;
    std::uint64_t body_limit_;
    request_metrics& metrics_;
    std::map<upstream_id, upstream_connections> upstreams_;
};

} // namespace galenaturn::entryd
