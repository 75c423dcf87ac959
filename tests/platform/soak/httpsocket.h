#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace galenaturn::soak {

struct socket_address {
    std::string ip;
    std::uint16_t port{0};

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

socket_address parse_address(const std::string& text);

/** One request or response. Names of headers are in lower case. */
struct http_message {
    std::string method;
    std::string target;
    /** 0 for a request. */
    int status{0};
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] bool closes() const;
};

/** How the last read of a socket ended. */
enum class read_end {
    complete,
    timed_out,
    /** The peer closed its side after it had read all that was sent. */
    closed,
    /** The connection was reset, or the peer closed it with unread bytes. */
    reset
};

/** Blocking HTTP/1.1 on one connection. */
class http_socket {
public:
    http_socket() = default;
    /** Takes over an accepted socket. */
    explicit http_socket(int descriptor) : descriptor_{descriptor} {}
    http_socket(http_socket&& other) noexcept;
    http_socket& operator=(http_socket&& other) noexcept;
    http_socket(const http_socket&) = delete;
    http_socket& operator=(const http_socket&) = delete;
    ~http_socket();

    bool connect(const socket_address& target, duration timeout);
    bool send(const std::string& bytes);
    /** Returns the next message, or nothing; `last_end` tells why. */
    std::optional<http_message> read(time_point deadline);
    [[nodiscard]] read_end last_end() const { return last_end_; }
    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    /** Returns whether the peer has closed its side, and nothing is left to read. */
    [[nodiscard]] bool peer_has_closed() const;
    void close();

private:
    bool read_some(time_point deadline);
    bool end(read_end how);

    int descriptor_{-1};
    std::string buffer_;
    read_end last_end_{read_end::complete};
};

/** Returns the bytes of a request; `headers` are complete lines. */
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& host, const std::string& headers,
                         const std::string& body);
/** Sends one request on a connection of its own. Returns a message of status 0 without a response.
 */
http_message call_once(const socket_address& target, const std::string& request, duration timeout);
/** Returns a listening socket, or -1 if the address is taken. */
int open_listener(const socket_address& own);

} // namespace galenaturn::soak
