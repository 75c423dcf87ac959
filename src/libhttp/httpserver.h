#pragma once

#include <galenaturn/core.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaturn::http {

namespace beast_http = boost::beast::http;

using request = beast_http::request<beast_http::string_body>;
using response = beast_http::response<beast_http::string_body>;
using verb = beast_http::verb;
using status = beast_http::status;
using field = beast_http::field;

/** One request, as a handler sees it. */
struct call {
    const request& message;
    /** Values of the {names} of the route's pattern, decoded. */
    std::map<std::string, std::string> parameters;
    /** Values of the query string, decoded. */
    std::map<std::string, std::string> query;
    time_point arrived;
    /** Set by a handler to close the connection half way through its answer; for failure tests. */
    bool cut_answer{false};
    /** Set by a handler that wants to know when the caller closes its connection meanwhile. */
    std::function<void()> abandoned;
};

/** Returns the answer to one request. */
using handler = std::function<boost::asio::awaitable<response>(call&)>;

/** Which handler takes which request. */
class router {
public:
    /**
     * Adds a route. `pattern` has literal segments, {name} for one segment, and {name...} as last
     * segment for all the rest. verb::unknown takes every method.
     */
    void add(verb method, const std::string& pattern, handler target);

    enum class match { found, unknown_path, wrong_method };
    /** Fills the parameters of `target_call` and `target` where a route is found. */
    match find(verb method, const std::string& path, std::map<std::string, std::string>& parameters,
               handler& target) const;

private:
    struct route {
        verb method;
        std::vector<std::string> segments;
        handler target;
    };
    std::vector<route> routes_;
};

/** Bounds on what one connection may take. */
struct server_limits {
    bytes body{std::int64_t{8} << 20};
    bytes header{std::int64_t{16} << 10};
    duration idle = std::chrono::seconds{60};
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

/** Makes an answer with the given body. */
response make_response(status code, std::string body, const std::string& content_type);

/** Why a request was refused, as problem+json says it. */
struct problem {
    status code{status::internal_server_error};
    /** One word from the list in docs/operators/requests.md. */
    std::string reason;
    std::string detail;
    /** Seconds after which the caller may come back; 0 leaves the header out. */
    std::int64_t retry_after_seconds{0};
    /** Set only where the request was certainly not run. */
    bool not_run{false};
};

/** Makes a problem+json answer with Retry-After and the header Galenaturn-Not-Run. */
response make_problem(const problem& details);

} // namespace galenaturn::http
