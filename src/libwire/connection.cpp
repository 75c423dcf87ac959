#include "connection.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace galenaturn::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Limit of the bytes queued for a slow peer; above it, frames are dropped and counted. */
constexpr std::size_t max_queued_bytes = std::size_t{8} << 20;

/** Bytes that are read at once, while the next frame is not longer. */
constexpr std::size_t usual_read_bytes = std::size_t{16} << 10;

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
    : socket_{std::move(socket)}, counters_{counters}
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    set_user_timeout(socket_);
    socket_.non_blocking(true, ignored);
}

bool connection::send(const frame& outgoing)
{
    if (closed_ || queued_bytes_ > max_queued_bytes) {
        counters_.frames_dropped.add();
        return false;
    }
    counters_.frames_sent.add();
    auto encoded = encode_frame(outgoing);
    if (!writing_) {
        write(std::move(encoded));
        return true;
    }
    queued_bytes_ += encoded.size();
    queue_.push_back(std::move(encoded));
    return true;
}

void connection::write(std::string text)
{
    boost::system::error_code error;
    const auto written = socket_.write_some(asio::buffer(text), error);
    counters_.bytes_sent.add(written);
    if (error && error != asio::error::would_block)
        return close();
    if (written == text.size())
        return;
    text.erase(0, written);
    batch_ = std::move(text);
    queued_bytes_ += batch_.size();
    writing_ = true;
    asio::async_write(socket_, asio::buffer(batch_),
                      [self = shared_from_this()](const boost::system::error_code& write_error,
                                                  std::size_t size) {
                          self->writing_ = false;
                          self->queued_bytes_ -= self->batch_.size();
                          self->counters_.bytes_sent.add(size);
                          if (write_error)
                              self->close();
                          else
                              self->write_queue();
                      });
}

void connection::write_queue()
{
    std::string text;
    for (const auto& encoded : std::exchange(queue_, {}))
        text += encoded;
    queued_bytes_ -= text.size();
    if (!text.empty())
        write(std::move(text));
}

asio::awaitable<result<frame>> connection::receive()
{
    while (true) {
        if (auto next = take_frame())
            co_return std::move(*next);
        auto [error, size] =
            co_await socket_.async_read_some(input_.prepare(bytes_to_read()), use_result);
        if (error)
            co_return error;
        input_.commit(size);
        counters_.bytes_received.add(size);
    }
}

std::optional<result<frame>> connection::take_frame()
{
    if (!header_) {
        if (input_.size() < frame_header_size)
            return std::nullopt;
        const auto bytes = input_.cdata();
        auto header =
            decode_frame_header({static_cast<const char*>(bytes.data()), frame_header_size});
        if (!header) {
            counters_.frames_malformed.add();
            return header.error();
        }
        input_.consume(frame_header_size);
        header_ = header.value();
    }
    if (input_.size() < header_->size)
        return std::nullopt;
    std::string payload{static_cast<const char*>(input_.cdata().data()), header_->size};
    input_.consume(header_->size);
    // The room for a long frame is given back.
    if (input_.size() == 0 && input_.capacity() > 2 * usual_read_bytes)
        input_ = {};
    const auto header = *std::exchange(header_, std::nullopt);
    counters_.frames_received.add();
    auto checked = check_frame(header, std::move(payload));
    if (!checked)
        counters_.frames_malformed.add();
    return checked;
}

std::size_t connection::bytes_to_read() const
{
    const auto missing = header_ ? header_->size - input_.size() : 0;
    return std::max(usual_read_bytes, missing);
}

void connection::close()
{
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace galenaturn::wire
