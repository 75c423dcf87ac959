#include "httpserver.h"

#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/url/parse.hpp>

#include <optional>
#include <set>
#include <utility>

namespace galenaturn::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds accept_retry_delay{50};
constexpr std::size_t first_read_bytes = 4096;

} // namespace

/** State of the check for a caller that closes its connection while its handler runs. */
struct caller_monitor {
    /** Null once the handler has returned. */
    call* incoming{nullptr};
    bool abandoned{false};
};

struct server::state : std::enable_shared_from_this<server::state> {
    struct session {
        explicit session(tcp::socket socket) : stream{std::move(socket)} {}
        beast::tcp_stream stream;
        /** True from the first byte of a request to the last byte of its response. */
        bool busy{false};
        bool truncate_response{false};
    };

    state(asio::io_context& shared_io, const router& shared_routes, server_limits bounds,
          metrics_registry& metrics)
        : io{shared_io}, routes{shared_routes}, limits{bounds}, acceptor{shared_io},
          requests{metrics.make_counter("galenaturn_http_requests_total")},
          bad_requests{metrics.make_counter("galenaturn_http_bad_requests_total")},
          refused_connections{metrics.make_counter("galenaturn_http_connections_refused_total")},
          abandoned_requests{metrics.make_counter("galenaturn_http_requests_abandoned_total")},
          failed_handlers{metrics.make_counter("galenaturn_http_handlers_failed_total")},
          header_timeouts{
              metrics.make_counter("galenaturn_http_timeouts_total", {{"part", "header"}})},
          body_timeouts{metrics.make_counter("galenaturn_http_timeouts_total", {{"part", "body"}})},
          response_timeouts{
              metrics.make_counter("galenaturn_http_timeouts_total", {{"part", "answer"}})}
    {
    }

    asio::io_context& io;
    const router& routes;
    server_limits limits;
    tcp::acceptor acceptor;
    counter& requests;
    counter& bad_requests;
    counter& refused_connections;
    counter& abandoned_requests;
    counter& failed_handlers;
    counter& header_timeouts;
    counter& body_timeouts;
    counter& response_timeouts;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t in_progress{0};
    bool closing{false};
    bool stopped{false};

    static asio::awaitable<void> accept(std::shared_ptr<state> self)
    {
        while (!self->stopped) {
            auto [error, socket] = co_await self->acceptor.async_accept(use_result);
            if (self->stopped)
                co_return;
            if (error) {
                wire::boot_timer retry_timer{self->io, accept_retry_delay};
                co_await retry_timer.async_wait(use_result);
                continue;
            }
            if (self->sessions.size() >= self->limits.connections) {
                self->refused_connections.add();
                continue;
            }
            auto accepted = std::make_shared<session>(std::move(socket));
            self->sessions.insert(accepted);
            asio::co_spawn(self->io, serve(self, accepted), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<state> self, std::shared_ptr<session> peer)
    {
        beast::flat_buffer buffer;
        bool keep_open = true;
        do
            keep_open = co_await serve_one(*self, *peer, buffer);
        while (keep_open && !self->stopped);
        boost::system::error_code ignored_error;
        peer->stream.socket().shutdown(tcp::socket::shutdown_both, ignored_error);
        peer->stream.close();
        self->sessions.erase(peer);
    }

    /** Returns whether the connection may carry another request. */
    static asio::awaitable<bool> serve_one(state& self, session& peer, beast::flat_buffer& buffer)
    {
        if (!co_await wait_for_request(self, peer, buffer))
            co_return false;
        ++self.in_progress;
        peer.busy = true;
        const bool keep_open = co_await serve_request(self, peer, buffer);
        peer.busy = false;
        --self.in_progress;
        co_return keep_open;
    }

    /** Waits for a request. Returns whether its first bytes are in `buffer`. */
    static asio::awaitable<bool> wait_for_request(state& self, session& peer,
                                                  beast::flat_buffer& buffer)
    {
        if (buffer.size() > 0)
            co_return true;
        peer.stream.expires_after(self.limits.idle);
        auto [error, size] =
            co_await peer.stream.async_read_some(buffer.prepare(first_read_bytes), use_result);
        buffer.commit(size);
        co_return !error;
    }

    static asio::awaitable<bool> serve_request(state& self, session& peer,
                                               beast::flat_buffer& buffer)
    {
        beast_http::request_parser<beast_http::string_body> parser;
        parser.body_limit(static_cast<std::uint64_t>(self.limits.body.value()));
        parser.header_limit(static_cast<std::uint32_t>(self.limits.header.value()));
        const auto error = co_await read_request(self, peer, buffer, parser);
        if (error)
            co_return co_await reject_malformed(self, peer, error);
        self.requests.add();
        const auto message = parser.release();
        auto reply = co_await handle(self, peer, message);
        reply.version(message.version());
        reply.keep_alive(message.keep_alive() && !self.closing && reply.keep_alive());
        reply.prepare_payload();
        if (peer.truncate_response)
            truncate(reply);
        peer.stream.expires_after(self.limits.body_timeout);
        auto [write_error, written] =
            co_await beast_http::async_write(peer.stream, reply, use_result);
        if (write_error == beast::error::timeout)
            self.response_timeouts.add();
        co_return !write_error && reply.keep_alive();
    }

    static asio::awaitable<error_code>
    read_request(state& self, session& peer, beast::flat_buffer& buffer,
                 beast_http::request_parser<beast_http::string_body>& parser)
    {
        peer.stream.expires_after(self.limits.header_timeout);
        auto [header_error, header_size] =
            co_await beast_http::async_read_header(peer.stream, buffer, parser, use_result);
        if (header_error == beast::error::timeout)
            self.header_timeouts.add();
        if (header_error)
            co_return header_error;
        peer.stream.expires_after(self.limits.body_timeout);
        if (beast::iequals(parser.get()[field::expect], "100-continue")) {
            const response continue_response{status::continue_, parser.get().version()};
            co_await beast_http::async_write(peer.stream, continue_response, use_result);
        }
        auto [body_error, body_size] =
            co_await beast_http::async_read(peer.stream, buffer, parser, use_result);
        if (body_error == beast::error::timeout)
            self.body_timeouts.add();
        co_return body_error;
    }

    /** Drops half of the body but keeps the full Content-Length, and closes the connection. */
    static void truncate(response& reply)
    {
        const auto full_size = reply.body().size();
        reply.body().resize(full_size / 2);
        reply.keep_alive(false);
        reply.content_length(full_size);
    }

    static asio::awaitable<response> handle(state& self, session& peer, const request& message)
    {
        const auto target =
            boost::urls::parse_origin_form({message.target().data(), message.target().size()});
        if (target.has_error()) {
            self.bad_requests.add();
            co_return make_problem(
                {status::bad_request, "bad_target", "the request target is malformed", 0, true});
        }
        std::map<std::string, std::string> parameters;
        handler route;
        const auto matched = self.routes.find(message.method(), target->path(), parameters, route);
        if (matched != router::match::found) {
            self.bad_requests.add();
            const bool wrong_method = matched == router::match::wrong_method;
            co_return make_problem({wrong_method ? status::method_not_allowed : status::not_found,
                                    wrong_method ? "wrong_method" : "unknown_path",
                                    "no such resource", 0, true});
        }
        call incoming{message, std::move(parameters), {}, monotonic_now(), {}, {}, false};
        for (const auto& parameter : target->params())
            incoming.query[parameter.key] = parameter.value;
        auto reply = co_await run_handler(self, peer, route, incoming);
        peer.truncate_response = incoming.truncate_response;
        co_return reply;
    }

    /** Runs the handler, and detects whether the caller closes its connection meanwhile. */
    static asio::awaitable<response> run_handler(state& self, session& peer, const handler& route,
                                                 call& incoming)
    {
        auto monitor = std::make_shared<caller_monitor>(caller_monitor{&incoming, false});
        incoming.abandoned = {monitor, &monitor->abandoned};
        peer.stream.expires_never();
        if (is_closed(peer.stream.socket()))
            set_abandoned(self, *monitor);
        monitor_caller(self, peer, monitor);
        std::optional<response> reply;
        try {
            reply = co_await route(incoming);
        }
        catch (const std::exception& error) {
            self.failed_handlers.add();
            log_event(log_level::error, "handler_failed",
                      {{"target", incoming.message.target()}, {"error", error.what()}});
        }
        monitor->incoming = nullptr;
        boost::system::error_code ignored_error;
        peer.stream.socket().cancel(ignored_error);
        if (reply)
            co_return std::move(*reply);
        co_return make_problem({status::internal_server_error, "internal_error",
                                "the handler of the request failed", 0, false});
    }

    /** Detects that the caller closes its side. Stops when bytes of a next request arrive. */
    static void monitor_caller(state& self, session& peer, std::shared_ptr<caller_monitor> monitor)
    {
        auto& socket = peer.stream.socket();
        socket.async_wait(tcp::socket::wait_read,
                          [&self, &socket, monitor](const boost::system::error_code& error) {
                              if (error || monitor->incoming == nullptr || !is_closed(socket))
                                  return;
                              set_abandoned(self, *monitor);
                              if (monitor->incoming->on_abandoned)
                                  monitor->incoming->on_abandoned();
                          });
    }

    static void set_abandoned(state& self, caller_monitor& monitor)
    {
        if (!std::exchange(monitor.abandoned, true))
            self.abandoned_requests.add();
    }

    static bool is_closed(tcp::socket& socket)
    {
        char byte{};
        boost::system::error_code error;
        socket.non_blocking(true, error);
        const auto size = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error != asio::error::would_block && (error || size == 0);
    }

    static asio::awaitable<bool> reject_malformed(state& self, session& peer,
                                                  const boost::system::error_code& error)
    {
        if (error == beast_http::error::end_of_stream || self.stopped ||
            error.category() != make_error_code(beast_http::error::body_limit).category())
            co_return false;
        self.bad_requests.add();
        const bool body_too_large = error == beast_http::error::body_limit;
        const bool header_too_large = error == beast_http::error::header_limit;
        auto reply = make_problem({body_too_large     ? status::payload_too_large
                                   : header_too_large ? status::request_header_fields_too_large
                                                      : status::bad_request,
                                   body_too_large ? "body_too_large" : "malformed_request",
                                   error.message(), 0, true});
        reply.keep_alive(false);
        co_await beast_http::async_write(peer.stream, reply, use_result);
        co_return false;
    }
};

server::server(asio::io_context& io, const router& routes, server_limits limits,
               metrics_registry& metrics)
    : state_{std::make_shared<state>(io, routes, limits, metrics)}
{
}

server::~server()
{
    stop();
}

result<void> server::listen(const ip_endpoint& address)
{
    const tcp::endpoint endpoint{asio::ip::make_address(address.address), address.port};
    boost::system::error_code error;
    state_->acceptor.open(endpoint.protocol(), error);
    if (!error)
        state_->acceptor.set_option(tcp::acceptor::reuse_address{true}, error);
    if (!error)
        state_->acceptor.bind(endpoint, error);
    if (!error)
        state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    asio::co_spawn(state_->io, state::accept(state_), asio::detached);
    return success();
}

std::uint16_t server::port() const
{
    return state_->acceptor.local_endpoint().port();
}

std::size_t server::requests_in_progress() const
{
    return state_->in_progress;
}

std::size_t server::open_connections() const
{
    return state_->sessions.size();
}

void server::close_after_responses()
{
    state_->closing = true;
}

void server::stop()
{
    state_->closing = true;
    state_->stopped = true;
    boost::system::error_code ignored_error;
    state_->acceptor.close(ignored_error);
    for (const auto& peer : state_->sessions) {
        if (!peer->busy)
            peer->stream.socket().shutdown(tcp::socket::shutdown_receive, ignored_error);
    }
}

} // namespace galenaturn::http
