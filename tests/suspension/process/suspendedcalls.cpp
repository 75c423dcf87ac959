/**
 * Replaces calls of the C library in a daemon that a test suspends: clocks leave out the time for
 * which the process was suspended, the time of day jumps, and what is sent to a suspended VM is
 * lost.
 */

#include "suspension/suspensiontable.h"

#include "platform/soak/deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>

namespace {

using galenaturn::suspension::suspension_table;

constexpr std::int64_t ns_per_second = 1'000'000'000;

suspension_table* table()
{
    static auto* const mapped = [] {
        const auto* path = std::getenv(galenaturn::suspension::table_variable);
        return path == nullptr ? nullptr : galenaturn::suspension::map_table(path, false);
    }();
    return mapped;
}

/** Returns how far a clock of this process is behind. */
std::int64_t behind_ns(clockid_t clock)
{
    const auto slot = static_cast<std::size_t>(getpid()) % suspension_table::slots;
    if (clock == CLOCK_MONOTONIC)
        return table()->steady_behind_ns[slot];
    if (clock == CLOCK_REALTIME)
        return -table()->time_of_day_ahead_ns[slot];
    return clock == CLOCK_BOOTTIME ? table()->boot_behind_ns[slot].load() : 0;
}

std::size_t own_link_slot()
{
    static const auto slot = [] {
        const auto* address = std::getenv(galenaturn::soak::own_address_variable);
        return galenaturn::suspension::link_slot(address == nullptr ? 0
                                                                    : ntohl(inet_addr(address)));
    }();
    return slot;
}

/** Returns whether the peer is suspended, or the link to it is cut. */
bool is_lost(int socket)
{
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (table() == nullptr || getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
        peer.sin_family != AF_INET)
        return false;
    const auto address = ntohl(peer.sin_addr.s_addr);
    return table()->is_away[address % suspension_table::slots] ||
           table()->is_cut[own_link_slot()][galenaturn::suspension::link_slot(address)];
}

ssize_t total_size(const iovec* parts, std::size_t count)
{
    std::size_t total = 0;
    for (std::size_t part = 0; part < count; ++part)
        total += parts[part].iov_len;
    return static_cast<ssize_t>(total);
}

} // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* now) noexcept
{
    const auto status = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
    if (status != 0 || table() == nullptr)
        return status;
    const auto ns = now->tv_sec * ns_per_second + now->tv_nsec - behind_ns(clock);
    now->tv_sec = ns / ns_per_second;
    now->tv_nsec = ns % ns_per_second;
    return 0;
}

ssize_t sendmsg(int socket, const msghdr* message, int flags)
{
    if (is_lost(socket))
        return total_size(message->msg_iov, message->msg_iovlen);
    return syscall(SYS_sendmsg, socket, message, flags);
}

ssize_t send(int socket, const void* data, std::size_t size, int flags)
{
    if (is_lost(socket))
        return static_cast<ssize_t>(size);
    return syscall(SYS_sendto, socket, data, size, flags, nullptr, 0);
}

ssize_t writev(int file, const iovec* parts, int count)
{
    if (is_lost(file))
        return total_size(parts, static_cast<std::size_t>(count));
    return syscall(SYS_writev, file, parts, count);
}
}
