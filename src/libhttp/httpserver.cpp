#include "httpserver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>

#include <set>
#include <sstream>
#include <utility>

namespace galenaturn::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds accept_pause{50};

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> segments;
    std::istringstream in{path};
    std::string segment;
    while (std::getline(in, segment, '/')) {
        if (!segment.empty())
            segments.push_back(segment);
    }
    return segments;
}

bool is_parameter(const std::string& segment)
{
    return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

std::string parameter_name(const std::string& segment)
{
    return segment.substr(1, segment.size() - 2);
}

/** Returns whether the segments match and fills `parameters`. */
bool match_segments(const std::vector<std::string>& pattern, const std::vector<std::string>& path,
                    std::map<std::string, std::string>& parameters)
{
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        const auto& expected = pattern[index];
        if (is_parameter(expected) && expected.ends_with("...}")) {
            std::string rest;
            for (auto part = index; part < path.size(); ++part)
                rest += "/" + path[part];
            parameters[expected.substr(1, expected.size() - 5)] = rest;
            return true;
        }
        if (index >= path.size())
            return false;
        if (is_parameter(expected))
            parameters[parameter_name(expected)] = path[index];
        else if (expected != path[index])
            return false;
    }
    return pattern.size() == path.size();
}

} // namespace

void router::add(verb method, const std::string& pattern, handler target)
{
    routes_.push_back({method, split_path(pattern), std::move(target)});
}

router::match router::find(verb method, const std::string& path,
                           std::map<std::string, std::string>& parameters, handler& target) const
{
    const auto segments = split_path(path);
    bool path_known = false;
    for (const auto& candidate : routes_) {
        std::map<std::string, std::string> matched;
        if (!match_segments(candidate.segments, segments, matched))
            continue;
        path_known = true;
        if (candidate.method != verb::unknown && candidate.method != method)
            continue;
        parameters = std::move(matched);
        target = candidate.target;
        return match::found;
    }
    return path_known ? match::wrong_method : match::unknown_path;
}

response make_response(status code, std::string body, const std::string& content_type)
{
    response answer{code, 11};
    answer.set(field::content_type, content_type);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

response make_problem(const problem& details)
{
    boost::json::object body;
    body["type"] = "about:blank";
    body["title"] = std::string{beast_http::obsolete_reason(details.code)};
    body["status"] = static_cast<int>(details.code);
    body["reason"] = details.reason;
    body["detail"] = details.detail;
    body["not_run"] = details.not_run;
    auto answer =
        make_response(details.code, boost::json::serialize(body), "application/problem+json");
    if (details.retry_after_seconds > 0)
        answer.set(field::retry_after, std::to_string(details.retry_after_seconds));
    if (details.not_run)
        answer.set("Galenaturn-Not-Run", "true");
    return answer;
}

struct server::state : std::enable_shared_from_this<server::state> {
    struct session {
        explicit session(tcp::socket socket) : stream{std::move(socket)} {}
        beast::tcp_stream stream;
        bool busy{false};
        bool cut_answer{false};
    };

    state(asio::io_context& shared_io, const router& shared_routes, server_limits bounds,
          metrics_registry& metrics)
        : io{shared_io}, routes{shared_routes}, limits{bounds}, acceptor{shared_io},
          requests{metrics.make_counter("galenaturn_http_requests_total")},
          bad_requests{metrics.make_counter("galenaturn_http_bad_requests_total")},
          refused_connections{metrics.make_counter("galenaturn_http_connections_refused_total")}
    {
    }

    asio::io_context& io;
    const router& routes;
    server_limits limits;
    tcp::acceptor acceptor;
    counter& requests;
    counter& bad_requests;
    counter& refused_connections;
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
        beast_http::request_parser<beast_http::string_body> parser;
        parser.body_limit(static_cast<std::uint64_t>(self.limits.body.value()));
        parser.header_limit(static_cast<std::uint32_t>(self.limits.header.value()));
        peer.stream.expires_after(self.limits.idle);
        auto [error, size] =
            co_await beast_http::async_read(peer.stream, buffer, parser, use_result);
        if (error)
            co_return co_await refuse_unreadable(self, peer, error);
        self.requests.add();
        ++self.in_progress;
        peer.busy = true;
        const auto message = parser.release();
        auto answer = co_await handle(self, peer, message);
        answer.version(message.version());
        answer.keep_alive(message.keep_alive() && !self.closing && answer.keep_alive());
        answer.prepare_payload();
        peer.stream.expires_after(self.limits.idle);
        if (peer.cut_answer)
            cut(answer);
        auto [write_error, written] =
            co_await beast_http::async_write(peer.stream, answer, use_result);
        peer.busy = false;
        --self.in_progress;
        co_return !write_error && answer.keep_alive();
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
        call incoming{message, std::move(parameters), {}, monotonic_now(), false, {}};
        for (const auto& parameter : target->params())
            incoming.query[parameter.key] = parameter.value;
        peer.stream.expires_never();
        const auto watched = std::make_shared<call*>(&incoming);
        watch_caller(peer, watched);
        auto answer = co_await found(incoming);
        *watched = nullptr;
        boost::system::error_code ignored;
        peer.stream.socket().cancel(ignored);
        peer.cut_answer = incoming.cut_answer;
        co_return answer;
    }

    /** Calls `abandoned` of the call, for as long as it is set, when the caller closes. */
    static void watch_caller(session& peer, std::shared_ptr<call*> watched)
    {
        peer.stream.socket().async_wait(
            tcp::socket::wait_read, [&peer, watched](const boost::system::error_code& error) {
                if (error || *watched == nullptr)
                    return;
                char byte = 0;
                boost::system::error_code peeked;
                peer.stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                                             peeked);
                // Bytes here are the next request, which waits for its turn.
                const bool closed = peeked && peeked != asio::error::would_block;
                if (closed && (*watched)->abandoned)
                    (*watched)->abandoned();
            });
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
