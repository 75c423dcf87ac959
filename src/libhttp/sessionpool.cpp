#include "sessionpool.h"

#include "httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace galenaturn::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/** Servers in the same region accept connections well within this time. */
constexpr duration connect_timeout = std::chrono::milliseconds{500};
/** Maximum size of a response. The largest is the report of a large worker that runs many tasks. */
constexpr std::uint64_t max_response_bytes = 4ULL << 20;

void append(std::string& text, boost::core::string_view part)
{
    text.append(part.data(), part.size());
}

/** Returns the request as one text, so that it is written at once. */
std::string serialize(const request& message)
{
    constexpr std::size_t usual_header_bytes = 256;
    std::string text;
    text.reserve(usual_header_bytes + message.body().size());
    append(text, message.method_string());
    text += ' ';
    append(text, message.target());
    text += " HTTP/1.1\r\n";
    for (const auto& header : message) {
        append(text, header.name_string());
        text += ": ";
        append(text, header.value());
        text += "\r\n";
    }
    text += "\r\n";
    text += message.body();
    return text;
}

} // namespace

struct session_pool::session {
    explicit session(asio::io_context& io) : stream{io} {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

session_pool::session_pool(asio::io_context& io, metrics_registry& metrics)
    : io_{io}, opened_{metrics.make_counter("galenaturn_http_sessions_total", {{"use", "opened"}})},
      reused_{metrics.make_counter("galenaturn_http_sessions_total", {{"use", "reused"}})},
      failed_{metrics.make_counter("galenaturn_http_sessions_total", {{"use", "failed"}})}
{
}

session_pool::~session_pool() = default;

std::unique_ptr<session_pool::session> session_pool::take_idle(const ip_endpoint& address)
{
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (is_open_and_idle(connection->stream))
            return connection;
    }
    return nullptr;
}

asio::awaitable<result<response>> session_pool::exchange(ip_endpoint address, request message,
                                                         time_point deadline)
{
    auto connection = take_idle(address);
    if (connection) {
        reused_.add();
    }
    else {
        opened_.add();
        connection = std::make_unique<session>(io_);
        const tcp::endpoint endpoint{asio::ip::make_address(address.address), address.port};
        connection->stream.expires_at(std::min(deadline, monotonic_now() + connect_timeout));
        auto [error] = co_await connection->stream.async_connect(endpoint, use_result);
        if (error) {
            failed_.add();
            co_return error;
        }
        boost::system::error_code ignored_error;
        connection->stream.socket().set_option(tcp::no_delay{true}, ignored_error);
    }
    connection->stream.expires_at(deadline);
    const auto text = serialize(message);
    auto [write_error, written] =
        co_await asio::async_write(connection->stream, asio::buffer(text), use_result);
    if (write_error) {
        failed_.add();
        co_return write_error;
    }
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(max_response_bytes);
    auto [read_error, size] =
        co_await beast_http::async_read(connection->stream, connection->buffer, parser, use_result);
    if (read_error) {
        failed_.add();
        co_return read_error;
    }
    const bool reusable = parser.get().keep_alive() && connection->buffer.size() == 0;
    if (reusable) {
        connection->stream.expires_never();
        idle_[address].push_back(std::move(connection));
    }
    co_return parser.release();
}

void session_pool::forget(const ip_endpoint& address)
{
    idle_.erase(address);
}

} // namespace galenaturn::http
