#include "sessionpool.h"

#include "clienterrors.h"
#include "httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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
    explicit session(asio::io_context& io) : socket{io} {}

    tcp::socket socket;
    beast::flat_buffer buffer;
};

session_pool::session_pool(asio::io_context& io, metrics_registry& metrics)
    : io_{io}, deadlines_{io}, opened_{metrics.make_counter("galenaturn_http_sessions_total",
                                                            {{"use", "opened"}})},
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
        if (is_open_and_idle(connection->socket))
            return connection;
    }
    return nullptr;
}

asio::awaitable<result<void>> session_pool::connect(session& opened, ip_endpoint address,
                                                    time_point deadline)
{
    const tcp::endpoint endpoint{asio::ip::make_address(address.address), address.port};
    const socket_deadlines::watch watch{deadlines_, opened.socket,
                                        std::min(deadline, monotonic_now() + connect_timeout)};
    auto [error] = co_await opened.socket.async_connect(endpoint, use_result);
    if (error)
        co_return error;
    boost::system::error_code ignored;
    opened.socket.set_option(tcp::no_delay{true}, ignored);
    opened.socket.non_blocking(true, ignored);
    // A request that has not left when its exchange fails must not arrive later, so closing resets.
    opened.socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    co_return success();
}

namespace {

/** Writes the text. What fits into the socket's buffer is written without a wait. */
asio::awaitable<boost::system::error_code> write(tcp::socket& socket, const std::string& text)
{
    boost::system::error_code error;
    const auto written = socket.write_some(asio::buffer(text), error);
    if (error == asio::error::would_block)
        error = {};
    if (error || written == text.size())
        co_return error;
    auto [rest_error, size] =
        co_await asio::async_write(socket, asio::buffer(text) + written, use_result);
    co_return rest_error;
}

} // namespace

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
        const auto connected = co_await connect(*connection, address, deadline);
        // The VM may have been suspended meanwhile, and the lease that the request relies on lost.
        if (!connected || monotonic_now() >= deadline) {
            failed_.add();
            const bool refused = !connected && connected.error() == asio::error::connection_refused;
            co_return refused ? client_error::connection_refused : client_error::not_connected;
        }
    }
    const socket_deadlines::watch watch{deadlines_, connection->socket, deadline};
    const auto text = serialize(message);
    if (const auto error = co_await write(connection->socket, text)) {
        failed_.add();
        co_return error;
    }
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(max_response_bytes);
    auto [read_error, size] =
        co_await beast_http::async_read(connection->socket, connection->buffer, parser, use_result);
    if (read_error) {
        failed_.add();
        co_return error_at_deadline(deadline, read_error);
    }
    const bool reusable = parser.get().keep_alive() && connection->buffer.size() == 0;
    if (reusable)
        idle_[address].push_back(std::move(connection));
    co_return parser.release();
}

void session_pool::forget(const ip_endpoint& address)
{
    idle_.erase(address);
}

} // namespace galenaturn::http
