#include "datagram.h"

#include "codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <xxhash.h>

#include <array>
#include <utility>

namespace galenaturn::wire {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint16_t datagram_magic = 0x4755;
constexpr std::uint16_t protocol_version = 1;

std::uint32_t checksum_of(std::string_view body)
{
    return XXH32(body.data(), body.size(), 0);
}

udp::endpoint to_udp(const ip_endpoint& address)
{
    return {asio::ip::make_address(address.address), address.port};
}

} // namespace

result<std::string> encode_datagram(const datagram& value)
{
    const auto body = encode(value);
    std::string target;
    target.reserve(datagram_header_size + body.size());
    output_archive archive{target};
    archive(datagram_magic, protocol_version, checksum_of(body));
    target += body;
    if (target.size() > max_datagram_bytes)
        return make_error_code(wire_error::too_large);
    return target;
}

result<datagram> decode_datagram(std::string_view received)
{
    if (received.size() > max_datagram_bytes)
        return make_error_code(wire_error::too_large);
    if (received.size() < datagram_header_size)
        return make_error_code(wire_error::malformed);
    input_archive archive{received.substr(0, datagram_header_size)};
    std::uint16_t magic{};
    std::uint16_t version{};
    std::uint32_t checksum{};
    archive(magic, version, checksum);
    const auto body = received.substr(datagram_header_size);
    if (magic != datagram_magic)
        return make_error_code(wire_error::malformed);
    if (version != protocol_version)
        return make_error_code(wire_error::unknown_version);
    if (checksum_of(body) != checksum)
        return make_error_code(wire_error::checksum_mismatch);
    return decode<datagram>(body);
}

datagram_counters::datagram_counters(metrics_registry& metrics)
    : sent{metrics.make_counter("galenaturn_datagrams_sent_total")},
      received{metrics.make_counter("galenaturn_datagrams_received_total")},
      bytes_sent{metrics.make_counter("galenaturn_datagram_bytes_sent_total")},
      bytes_received{metrics.make_counter("galenaturn_datagram_bytes_received_total")},
      malformed{
          metrics.make_counter("galenaturn_datagrams_dropped_total", {{"reason", "malformed"}})},
      unknown_version{metrics.make_counter("galenaturn_datagrams_dropped_total",
                                           {{"reason", "unknown_version"}})},
      too_large{
          metrics.make_counter("galenaturn_datagrams_dropped_total", {{"reason", "too_large"}})},
      refused{metrics.make_counter("galenaturn_datagrams_dropped_total",
                                   {{"reason", "refused_domain"}})},
      send_failed{
          metrics.make_counter("galenaturn_datagrams_dropped_total", {{"reason", "send_failed"}})},
      failed{metrics.make_counter("galenaturn_datagrams_dropped_total",
                                  {{"reason", "handler_failed"}})}
{
}

struct datagram_channel::state {
    state(channel_context& shared_context, metrics_registry& metrics, datagram_handler receiver)
        : context{shared_context}, socket{shared_context.io}, counters{metrics}, handler{std::move(
                                                                                     receiver)}
    {
    }

    channel_context& context;
    udp::socket socket;
    datagram_counters counters;
    datagram_handler handler;
    bool closed{false};

    static asio::awaitable<void> receive(std::shared_ptr<state> self)
    {
        // One byte more than allowed, so that an oversized datagram, which the system truncates, is
        // detected.
        std::array<char, max_datagram_bytes + 1> buffer{};
        while (!self->closed) {
            udp::endpoint sender;
            auto [error, size] =
                co_await self->socket.async_receive_from(asio::buffer(buffer), sender, use_result);
            if (self->closed)
                co_return;
            if (!error)
                self->accept({buffer.data(), size});
        }
    }

    void accept(std::string_view received)
    {
        counters.received.add();
        counters.bytes_received.add(received.size());
        const auto decoded = decode_datagram(received);
        if (!decoded)
            return count_invalid(decoded.error());
        if (context.refuses(decoded.value().from.domain))
            return counters.refused.add();
        try {
            handler(decoded.value().from, decoded.value().payload);
        }
        catch (const std::exception& error) {
            counters.failed.add();
            log_event(log_level::error, "datagram_handler_failed",
                      {{"process", decoded.value().from.process}, {"error", error.what()}});
        }
    }

    void count_invalid(const error_code& error)
    {
        if (error == make_error_code(wire_error::too_large))
            return counters.too_large.add();
        if (error == make_error_code(wire_error::unknown_version))
            return counters.unknown_version.add();
        counters.malformed.add();
    }
};

datagram_channel::datagram_channel(channel_context& context, metrics_registry& metrics,
                                   datagram_handler handler)
    : state_{std::make_shared<state>(context, metrics, std::move(handler))}
{
}

datagram_channel::~datagram_channel()
{
    close();
}

result<void> datagram_channel::open(const ip_endpoint& address)
{
    const auto endpoint = to_udp(address);
    boost::system::error_code error;
    state_->socket.open(endpoint.protocol(), error);
    if (!error)
        state_->socket.bind(endpoint, error);
    if (!error)
        state_->socket.non_blocking(true, error);
    if (error)
        return error;
    asio::co_spawn(state_->context.io, state::receive(state_), asio::detached);
    return success();
}

void datagram_channel::close()
{
    state_->closed = true;
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

bool datagram_channel::send(const ip_endpoint& address, const failure_domain_id& domain,
                            std::string payload)
{
    auto& counters = state_->counters;
    if (state_->context.refuses(domain)) {
        counters.refused.add();
        return false;
    }
    const auto encoded = encode_datagram({state_->context.self, std::move(payload)});
    if (!encoded) {
        counters.too_large.add();
        return false;
    }
    boost::system::error_code error;
    state_->socket.send_to(asio::buffer(encoded.value()), to_udp(address), 0, error);
    if (error) {
        counters.send_failed.add();
        return false;
    }
    counters.sent.add();
    counters.bytes_sent.add(encoded.value().size());
    return true;
}

ip_endpoint datagram_channel::local_address() const
{
    const auto endpoint = state_->socket.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

const datagram_counters& datagram_channel::counters() const
{
    return state_->counters;
}

} // namespace galenaturn::wire
