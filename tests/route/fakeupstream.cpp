#include "fakeupstream.h"

#include <galenaturn/messages.h>
#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace galenaturn {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

/** Returns the raw bytes of an invalid response; empty where the behaviour sends none. */
std::string invalid_response(fake_behaviour behaviour)
{
    switch (behaviour) {
    case fake_behaviour::truncate_response:
        return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part";
    case fake_behaviour::send_garbage:
        return "\x01\x02 this is not HTTP\r\n\r\n";
    case fake_behaviour::respond_without_length:
        return "HTTP/1.1 200 OK\r\n\r\na body of unknown length";
    default:
        return {};
    }
}

} // namespace

struct fake_upstream::session {
    explicit session(tcp::socket accepted) : socket{std::move(accepted)} {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

fake_upstream::fake_upstream(asio::io_context& io)
    : io_{io}, acceptor_{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}},
      port_{acceptor_.local_endpoint().port()}
{
    asio::co_spawn(io_, accept_connections(), asio::detached);
}

fake_upstream::~fake_upstream()
{
    *alive_ = false;
    kill();
}

void fake_upstream::kill()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& connection : sessions_)
        connection->socket.close(ignored);
}

wire::upstream_announcement fake_upstream::announcement(const std::string& id,
                                                        std::uint64_t sequence) const
{
    wire::upstream_announcement announcement_message;
    announcement_message.id = upstream_id{id};
    announcement_message.service = service_id{service};
    announcement_message.domain = failure_domain_id{domain};
    announcement_message.address = {"127.0.0.1", port_};
    announcement_message.incarnation_number = incarnation{1};
    announcement_message.sequence = sequence;
    announcement_message.slots = slots;
    announcement_message.connections = connection_limit;
    announcement_message.busy_slots = static_cast<std::uint32_t>(busy);
    return announcement_message;
}

asio::awaitable<void> fake_upstream::accept_connections()
{
    const auto alive = alive_;
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(use_result);
        if (!*alive || error)
            co_return;
        auto connection = std::make_shared<session>(std::move(socket));
        sessions_.insert(connection);
        max_connections = std::max(max_connections, ++connections);
        asio::co_spawn(io_, serve(connection), asio::detached);
    }
}

asio::awaitable<void> fake_upstream::serve(std::shared_ptr<session> connection)
{
    const auto alive = alive_;
    bool keep_open = true;
    while (keep_open && *alive)
        keep_open = co_await serve_request(*connection);
    boost::system::error_code ignored;
    connection->socket.close(ignored);
    if (!*alive)
        co_return;
    --connections;
    sessions_.erase(connection);
}

asio::awaitable<bool> fake_upstream::serve_request(session& connection)
{
    const auto alive = alive_;
    http::request message;
    auto [read_error, size] = co_await boost::beast::http::async_read(
        connection.socket, connection.buffer, message, use_result);
    if (read_error || !*alive)
        co_return false;
    ++received;
    ++bodies[message.body()];
    const auto current_behaviour = behaviour;
    max_busy = std::max(max_busy, ++busy);
    wire::boot_timer timer{io_};
    timer.expires_after(
        current_behaviour == fake_behaviour::never_respond ? std::chrono::seconds{30} : delay);
    if (current_behaviour == fake_behaviour::never_respond || delay > duration::zero())
        co_await timer.async_wait(use_result);
    if (!*alive)
        co_return false;
    --busy;
    if (current_behaviour == fake_behaviour::close_without_response)
        co_return false;
    if (const auto raw_response = invalid_response(current_behaviour); !raw_response.empty()) {
        co_await asio::async_write(connection.socket, asio::buffer(raw_response), use_result);
        co_return false;
    }
    auto response = http::make_response(current_behaviour == fake_behaviour::fail
                                            ? http::status::internal_server_error
                                            : http::status::ok,
                                        "answer to " + message.body(), "text/plain");
    if (current_behaviour == fake_behaviour::refuse_not_run) {
        response.result(http::status::service_unavailable);
        response.set("Galenaturn-Not-Run", "true");
    }
    response.set("Galenaturn-Request-Id",
                 current_behaviour == fake_behaviour::respond_to_other_request
                     ? "another-request"
                     : std::string{message["Galenaturn-Request-Id"]});
    response.set("Upstream-Target", std::string{message.target()});
    auto [write_error, written] =
        co_await boost::beast::http::async_write(connection.socket, response, use_result);
    if (!*alive)
        co_return false;
    responses += write_error ? 0 : 1;
    co_return !write_error;
}

} // namespace galenaturn
