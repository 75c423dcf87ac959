#include "connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <array>

namespace galenaturn::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Limit of the bytes queued for a slow peer; above it, frames are dropped and counted. */
constexpr std::size_t max_queued_bytes = std::size_t{8} << 20;

/** The connection is closed if sent bytes stay unacknowledged for this long; a network partition
 * gives no other sign. */
constexpr int user_timeout_ms = 2000;

/** Lets the system close a connection whose peer no longer responds. */
void set_user_timeout(tcp::socket& socket)
{
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    socket.set_option(user_timeout{user_timeout_ms}, ignored);
}

} // namespace

tcp::endpoint to_tcp(const ip_endpoint& address)
{
    return {asio::ip::make_address(address.address), address.port};
}

connection::connection(tcp::socket socket, channel_counters& counters)
    : socket_{std::move(socket)}, wake_{socket_.get_executor()}, counters_{counters}
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    set_user_timeout(socket_);
}

void connection::start_writing()
{
    asio::co_spawn(socket_.get_executor(), write_queue(shared_from_this()), asio::detached);
}

bool connection::send(const frame& outgoing)
{
    if (closed_ || queued_bytes_ > max_queued_bytes) {
        counters_.frames_dropped.add();
        return false;
    }
    queue_.push_back(encode_frame(outgoing));
    queued_bytes_ += queue_.back().size();
    counters_.frames_sent.add();
    wake_.cancel();
    return true;
}

asio::awaitable<result<frame>> connection::receive()
{
    std::array<char, frame_header_size> header_bytes{};
    auto [error, size] = co_await asio::async_read(socket_, asio::buffer(header_bytes), use_result);
    if (error)
        co_return error;
    const auto header = decode_frame_header({header_bytes.data(), header_bytes.size()});
    if (!header) {
        counters_.frames_malformed.add();
        co_return header.error();
    }
    std::string payload(header.value().size, '\0');
    auto [payload_error, payload_size] =
        co_await asio::async_read(socket_, asio::buffer(payload), use_result);
    if (payload_error)
        co_return payload_error;
    counters_.frames_received.add();
    counters_.bytes_received.add(size + payload_size);
    auto checked = check_frame(header.value(), std::move(payload));
    if (!checked)
        counters_.frames_malformed.add();
    co_return checked;
}

void connection::close()
{
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    wake_.cancel();
}

asio::awaitable<void> connection::write_queue(std::shared_ptr<connection> self)
{
    while (!self->closed_) {
        if (self->queue_.empty()) {
            self->wake_.expires_at(asio::steady_timer::time_point::max());
            co_await self->wake_.async_wait(use_result);
            continue;
        }
        std::string batch;
        while (!self->queue_.empty()) {
            batch += self->queue_.front();
            self->queue_.pop_front();
        }
        auto [error, written] =
            co_await asio::async_write(self->socket_, asio::buffer(batch), use_result);
        self->queued_bytes_ -= batch.size();
        self->counters_.bytes_sent.add(written);
        if (error)
            self->close();
    }
}

} // namespace galenaturn::wire
