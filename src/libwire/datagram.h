#pragma once

#include "channel.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace galenaturn::wire {

/** Fits into one Ethernet frame, so that datagrams are not fragmented. */
constexpr std::size_t max_datagram_bytes = 1400;
/** Size of the magic, version and checksum in front of each encoded datagram. */
constexpr std::size_t datagram_header_size = 8;

/** A datagram: its sender and the message of the protocol above. */
struct datagram {
    hello from;
    std::string payload;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, payload);
    }
};

/** Returns the bytes of `value`, or wire_error::too_large. */
result<std::string> encode_datagram(const datagram& value);
/** Returns the datagram in `received`, or the error if it cannot be decoded. */
result<datagram> decode_datagram(std::string_view received);

/** Counters of the datagrams of one process. */
struct datagram_counters {
    explicit datagram_counters(metrics_registry& metrics);

    counter& sent;
    counter& received;
    counter& bytes_sent;
    counter& bytes_received;
    counter& malformed;
    counter& unknown_version;
    counter& too_large;
    counter& refused;
    counter& send_failed;
    /** The handler failed. */
    counter& failed;
};

/** Handles a datagram from another process. */
using datagram_handler = std::function<void(const hello& from, std::string_view payload)>;

/** Sends and receives datagrams on one UDP port. Delivery and order are not guaranteed. */
class datagram_channel {
public:
    /** `context` must outlive the channel. */
    datagram_channel(channel_context& context, metrics_registry& metrics, datagram_handler handler);
    ~datagram_channel();
    datagram_channel(const datagram_channel&) = delete;
    datagram_channel& operator=(const datagram_channel&) = delete;

    /** Binds the port and starts to receive. */
    result<void> open(const ip_endpoint& address);
    void close();
    /** Returns whether the system accepted the datagram. `domain` is the domain of the receiver. */
    bool send(const ip_endpoint& address, const failure_domain_id& domain, std::string payload);
    [[nodiscard]] ip_endpoint local_address() const;
    [[nodiscard]] const datagram_counters& counters() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace galenaturn::wire
