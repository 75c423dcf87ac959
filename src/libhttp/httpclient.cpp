#include "httpclient.h"

#include "socketdeadlines.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace galenaturn::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

request make_request(verb method, const std::string& target, std::string body,
                     const std::string& content_type)
{
    request message{method, target, 11};
    message.set(field::host, "galenaturn");
    message.set(field::user_agent, "galenaturn/" GALENATURN_VERSION);
    if (!body.empty())
        message.set(field::content_type, content_type);
    message.body() = std::move(body);
    message.prepare_payload();
    return message;
}

asio::awaitable<result<response>> fetch(asio::io_context& io, ip_endpoint address, request message,
                                        time_point deadline)
{
    constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
    const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(address.address), address.port};
    const socket_deadlines deadlines{io};
    asio::ip::tcp::socket socket{io};
    const socket_deadlines::watch watch{deadlines, socket, deadline};
    auto [connect_error] = co_await socket.async_connect(endpoint, use_result);
    if (connect_error)
        co_return error_at_deadline(deadline, connect_error);
    if (monotonic_now() >= deadline)
        co_return asio::error::timed_out;
    auto [write_error, written] = co_await beast_http::async_write(socket, message, use_result);
    if (write_error)
        co_return error_at_deadline(deadline, write_error);
    beast::flat_buffer buffer;
    response reply;
    auto [read_error, size] = co_await beast_http::async_read(socket, buffer, reply, use_result);
    if (read_error)
        co_return error_at_deadline(deadline, read_error);
    co_return reply;
}

bool is_open_and_idle(asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    char byte = 0;
    if (!socket.non_blocking())
        socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace galenaturn::http
