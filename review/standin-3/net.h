// Small HTTP/1.1 client and server on loopback, and the record of a case. For the stand-ins of the
// review only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace rig {

using steady = std::chrono::steady_clock;

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t span)
{
    if (span > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

struct address {
    std::string ip;
    int port{0};

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

inline sockaddr_in to_sockaddr(const address& at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

/** Opens a listening socket; returns -1 if the address is taken. */
inline int listen_on(const address& at)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto to = to_sockaddr(at);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || listen(fd, 128) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/** Opens a connection within the time; returns -1 on failure. */
inline int connect_to(const address& at, std::int64_t timeout_ms)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const auto to = to_sockaddr(at);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        pollfd wait{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&wait, 1, static_cast<int>(timeout_ms)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

struct message {
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
};

/** Reads one message with a Content-Length. `rest` holds what was read beyond the last one. */
inline bool read_message(int fd, std::string& rest, message& out, std::int64_t until)
{
    const auto more = [&] {
        pollfd wait{fd, POLLIN, 0};
        const auto left = until - now_ms();
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1)
            return false;
        char bytes[16384];
        const auto size = recv(fd, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        rest.append(bytes, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t head = 0;
    while ((head = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    out = {};
    std::size_t from = 0;
    while (from < head) {
        auto end = rest.find("\r\n", from);
        const auto line = rest.substr(from, end - from);
        from = end + 2;
        if (out.start_line.empty()) {
            out.start_line = line;
            continue;
        }
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (auto& letter : name)
            letter = static_cast<char>(std::tolower(letter));
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers[name] = value;
    }
    const auto length = out.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (rest.size() < head + 4 + size) {
        if (!more())
            return false;
    }
    out.body = rest.substr(head + 4, size);
    rest.erase(0, head + 4 + size);
    return true;
}

inline bool write_all(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto size = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/** Status 0: no answer. */
struct answer {
    int status{0};
    std::string body;
};

inline answer call(const address& at, const std::string& method, const std::string& target,
                   const std::string& headers, const std::string& body, std::int64_t timeout_ms)
{
    const auto until = now_ms() + timeout_ms;
    const int fd = connect_to(at, timeout_ms);
    if (fd < 0)
        return {};
    const auto text =
        method + " " + target + " HTTP/1.1\r\n" +
        (headers.find("Host:") == std::string::npos ? "Host: x\r\n" : "") + headers +
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\nConnection: close\r\n\r\n" + body;
    answer got;
    message reply;
    std::string rest;
    if (write_all(fd, text) && read_message(fd, rest, reply, until)) {
        got.status = std::atoi(reply.start_line.c_str() + 9);
        got.body = reply.body;
    }
    close(fd);
    return got;
}

/** Appends lines to the record of the case; several processes write to the same file. */
class record {
public:
    void open(const std::string& path, std::int64_t zero)
    {
        fd_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
        zero_ = zero;
    }
    void line(const std::string& who, const std::string& what) const
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(now_ms() - zero_) / 1000);
        const auto text = time + who + " " + what + "\n";
        if (write(fd_, text.data(), text.size()) < 0)
            std::perror("record");
    }

private:
    int fd_{-1};
    std::int64_t zero_{0};
};

} // namespace rig
