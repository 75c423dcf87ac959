#include "httpsocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <thread>
#include <utility>

namespace galenaturn::soak {

using std::chrono::milliseconds;

namespace {

constexpr int backlog = 512;

sockaddr_in to_native(const socket_address& address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
}

void send_at_once(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int pending_error(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

/** Waits for an event until `deadline`. Returns false if there was none. */
bool wait_for(int descriptor, short event, time_point deadline)
{
    const auto left = std::min<milliseconds>(
        std::chrono::hours{1}, std::chrono::ceil<milliseconds>(deadline - monotonic_now()));
    pollfd waiting{descriptor, event, 0};
    return left.count() > 0 && poll(&waiting, 1, static_cast<int>(left.count())) > 0;
}

int number_of(std::string_view text)
{
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

void read_first_line(const std::string& line, http_message& message)
{
    const auto space = line.find(' ');
    const auto second = line.find(' ', space + 1);
    if (space == std::string::npos)
        return;
    if (line.starts_with("HTTP/")) {
        message.status = number_of(std::string_view{line}.substr(space + 1));
        return;
    }
    message.method = line.substr(0, space);
    message.target = line.substr(space + 1, second - space - 1);
}

http_message parse_head(const std::string& head)
{
    http_message message;
    auto end = head.find("\r\n");
    read_first_line(head.substr(0, end), message);
    while (end != std::string::npos) {
        const auto begin = end + 2;
        end = head.find("\r\n", begin);
        const auto line = head.substr(begin, end == std::string::npos ? end : end - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    return message;
}

} // namespace

socket_address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(number_of(std::string_view{text}.substr(colon + 1)))};
}

bool http_message::closes() const
{
    const auto found = headers.find("connection");
    return found != headers.end() && lower(found->second) == "close";
}

http_socket::http_socket(http_socket&& other) noexcept
    : descriptor_{std::exchange(other.descriptor_, -1)}, buffer_{std::move(other.buffer_)},
      last_end_{other.last_end_}
{
}

http_socket& http_socket::operator=(http_socket&& other) noexcept
{
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
    last_end_ = other.last_end_;
    return *this;
}

http_socket::~http_socket()
{
    close();
}

void http_socket::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
    buffer_.clear();
}

bool http_socket::connect(const socket_address& target, duration timeout)
{
    close();
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto peer = to_native(target);
    const bool connected =
        ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 ||
        (errno == EINPROGRESS && wait_for(descriptor_, POLLOUT, monotonic_now() + timeout) &&
         pending_error(descriptor_) == 0);
    if (!connected) {
        close();
        return false;
    }
    send_at_once(descriptor_);
    return true;
}

bool http_socket::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size =
            ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size > 0)
            sent += static_cast<std::size_t>(size);
        else if (errno != EAGAIN ||
                 !wait_for(descriptor_, POLLOUT, monotonic_now() + std::chrono::seconds{1}))
            return false;
    }
    return true;
}

bool http_socket::end(read_end how)
{
    last_end_ = how;
    return false;
}

bool http_socket::read_some(time_point deadline)
{
    if (!wait_for(descriptor_, POLLIN, deadline))
        return end(read_end::timed_out);
    char bytes[16384];
    const auto size = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (size > 0) {
        buffer_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    if (size < 0)
        return end(errno == EAGAIN ? read_end::timed_out : read_end::reset);
    // A peer that had closed before the last bytes reached it answers them with a reset.
    std::this_thread::sleep_for(milliseconds{5});
    return end(pending_error(descriptor_) == 0 ? read_end::closed : read_end::reset);
}

std::optional<http_message> http_socket::read(time_point deadline)
{
    last_end_ = read_end::complete;
    std::size_t head_end{};
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!read_some(deadline))
            return std::nullopt;
    }
    auto message = parse_head(buffer_.substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    const auto length = message.headers.find("content-length");
    const auto size =
        length == message.headers.end() ? 0 : static_cast<std::size_t>(number_of(length->second));
    while (buffer_.size() < size) {
        if (!read_some(deadline))
            return std::nullopt;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
}

bool http_socket::peer_has_closed() const
{
    char byte{};
    const auto size = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN);
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& host, const std::string& headers,
                         const std::string& body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers +
           (body.empty() ? "" : "Content-Type: application/json\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

http_message call_once(const socket_address& target, const std::string& request, duration timeout)
{
    const auto deadline = monotonic_now() + timeout;
    http_socket socket;
    if (!socket.connect(target, timeout) || !socket.send(request))
        return {};
    return socket.read(deadline).value_or(http_message{});
}

int open_listener(const socket_address& own)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto native = to_native(own);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0 &&
        listen(listener, backlog) == 0)
        return listener;
    ::close(listener);
    return -1;
}

} // namespace galenaturn::soak
