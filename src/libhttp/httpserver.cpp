#include "httpserver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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
constexpr std::chrono::milliseconds accept_pause{50};
constexpr std::size_t first_read_size = 4096;

} // namespace

/** What the watch of a caller's connection needs of a call while its handler runs. */
struct caller_watch {
    /** Null once the handler has ended. */
    call* incoming{nullptr};
    bool abandoned{false};
};

struct server::state : std::enable_shared_from_this<server::state> {
    struct session {
        explicit session(tcp::socket socket) : stream{std::move(socket)} {}
        beast::tcp_stream stream;
        /** From the first byte of a request to the last byte of its answer. */
        bool busy{false};
        bool cut_answer{false};
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
          answer_timeouts{
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
    counter& answer_timeouts;
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
                asio::steady_timer pause{self->io, accept_pause};
                co_await pause.async_wait(use_result);
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
        bool keep = true;
        while (keep && !self->stopped)
            keep = co_await serve_one(*self, *peer, buffer);
        boost::system::error_code ignored;
        peer->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
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
        const bool keep = co_await serve_request(self, peer, buffer);
        peer.busy = false;
        --self.in_progress;
        co_return keep;
    }

    /** Returns whether the first bytes of a request are in `buffer`. */
    static asio::awaitable<bool> wait_for_request(state& self, session& peer,
                                                  beast::flat_buffer& buffer)
    {
        if (buffer.size() > 0)
            co_return true;
        peer.stream.expires_after(self.limits.idle);
        auto [error, size] =
            co_await peer.stream.async_read_some(buffer.prepare(first_read_size), use_result);
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
            co_return co_await refuse_unreadable(self, peer, error);
        self.requests.add();
        const auto message = parser.release();
        auto answer = co_await handle(self, peer, message);
        answer.version(message.version());
        answer.keep_alive(message.keep_alive() && !self.closing && answer.keep_alive());
        answer.prepare_payload();
        if (peer.cut_answer)
            cut(answer);
        peer.stream.expires_after(self.limits.body_time);
        auto [write_error, written] =
            co_await beast_http::async_write(peer.stream, answer, use_result);
        if (write_error == beast::error::timeout)
            self.answer_timeouts.add();
        co_return !write_error && answer.keep_alive();
    }

    static asio::awaitable<error_code>
    read_request(state& self, session& peer, beast::flat_buffer& buffer,
                 beast_http::request_parser<beast_http::string_body>& parser)
    {
        peer.stream.expires_after(self.limits.header_time);
        auto [header_error, header_size] =
            co_await beast_http::async_read_header(peer.stream, buffer, parser, use_result);
        if (header_error == beast::error::timeout)
            self.header_timeouts.add();
        if (header_error)
            co_return header_error;
        peer.stream.expires_after(self.limits.body_time);
        if (beast::iequals(parser.get()[field::expect], "100-continue")) {
            const response go_on{status::continue_, parser.get().version()};
            co_await beast_http::async_write(peer.stream, go_on, use_result);
        }
        auto [body_error, body_size] =
            co_await beast_http::async_read(peer.stream, buffer, parser, use_result);
        if (body_error == beast::error::timeout)
            self.body_timeouts.add();
        co_return body_error;
    }

    /** Halves the body under its whole length, and ends the connection. */
    static void cut(response& answer)
    {
        const auto whole = answer.body().size();
        answer.body().resize(whole / 2);
        answer.keep_alive(false);
        answer.content_length(whole);
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
        handler found;
        const auto matched = self.routes.find(message.method(), target->path(), parameters, found);
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
        auto answer = co_await run_handler(self, peer, found, incoming);
        peer.cut_answer = incoming.cut_answer;
        co_return answer;
    }

    /** Runs the handler while the connection is watched for the caller's close. */
    static asio::awaitable<response> run_handler(state& self, session& peer, const handler& found,
                                                 call& incoming)
    {
        auto watch = std::make_shared<caller_watch>(caller_watch{&incoming, false});
        incoming.abandoned = {watch, &watch->abandoned};
        peer.stream.expires_never();
        watch_caller(self, peer, watch);
        std::optional<response> answer;
        try {
            answer = co_await found(incoming);
        }
        catch (const std::exception& error) {
            self.failed_handlers.add();
            log_event(log_level::error, "handler_failed",
                      {{"target", incoming.message.target()}, {"error", error.what()}});
        }
        watch->incoming = nullptr;
        boost::system::error_code ignored;
        peer.stream.socket().cancel(ignored);
        if (answer)
            co_return std::move(*answer);
        co_return make_problem({status::internal_server_error, "internal_error",
                                "the request failed inside this process", 0, false});
    }

    /** Sees the end of the caller's side; bytes of a next request end the watch. */
    static void watch_caller(state& self, session& peer, std::shared_ptr<caller_watch> watch)
    {
        auto& socket = peer.stream.socket();
        socket.async_wait(tcp::socket::wait_read,
                          [&self, &socket, watch](const boost::system::error_code& error) {
                              if (error || watch->incoming == nullptr || !is_closed(socket))
                                  return;
                              watch->abandoned = true;
                              self.abandoned_requests.add();
                              if (watch->incoming->on_abandoned)
                                  watch->incoming->on_abandoned();
                          });
    }

    static bool is_closed(tcp::socket& socket)
    {
        char byte{};
        boost::system::error_code error;
        socket.non_blocking(true, error);
        const auto size = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error != asio::error::would_block && (error || size == 0);
    }

    static asio::awaitable<bool> refuse_unreadable(state& self, session& peer,
                                                   const boost::system::error_code& error)
    {
        if (error == beast_http::error::end_of_stream || self.stopped ||
            error.category() != make_error_code(beast_http::error::body_limit).category())
            co_return false;
        self.bad_requests.add();
        const bool large = error == beast_http::error::body_limit;
        const bool long_header = error == beast_http::error::header_limit;
        auto answer = make_problem({large         ? status::payload_too_large
                                    : long_header ? status::request_header_fields_too_large
                                                  : status::bad_request,
                                    large ? "body_too_large" : "malformed_request", error.message(),
                                    0, true});
        answer.keep_alive(false);
        co_await beast_http::async_write(peer.stream, answer, use_result);
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

void server::close_after_answers()
{
    state_->closing = true;
}

void server::stop()
{
    state_->closing = true;
    state_->stopped = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto& peer : state_->sessions) {
        if (!peer->busy)
            peer->stream.socket().shutdown(tcp::socket::shutdown_receive, ignored);
    }
}

} // namespace galenaturn::http
