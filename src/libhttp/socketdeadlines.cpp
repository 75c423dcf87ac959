#include "socketdeadlines.h"

#include <galenaturn/wire.h>

#include <algorithm>
#include <optional>

namespace galenaturn::http {

namespace asio = boost::asio;

namespace {

/** Minimum time between two checks. */
constexpr duration check_interval = std::chrono::milliseconds{10};

} // namespace

struct socket_deadlines::state : std::enable_shared_from_this<state> {
    explicit state(asio::io_context& io) : timer{io} {}

    entries sockets;
    wire::boot_timer timer;
    /** When the next check is due, if one is to come. */
    std::optional<time_point> check_due;

    void schedule_check(time_point due)
    {
        if (check_due && *check_due <= due)
            return;
        check_due = due;
        timer.expires_at(due);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->close_expired();
        });
    }

    void close_expired()
    {
        check_due.reset();
        const auto now = monotonic_now();
        auto next = sockets.begin();
        for (; next != sockets.end() && next->first <= now; ++next) {
            boost::system::error_code ignored;
            next->second->close(ignored);
        }
        if (next != sockets.end())
            schedule_check(std::max(next->first, now + check_interval));
    }
};

socket_deadlines::socket_deadlines(asio::io_context& io) : state_{std::make_shared<state>(io)} {}

socket_deadlines::watch::watch(const socket_deadlines& deadlines, asio::ip::tcp::socket& socket,
                               time_point deadline)
    : state_{deadlines.state_}, entry_{state_->sockets.emplace(deadline, &socket)}
{
    state_->schedule_check(deadline);
}

socket_deadlines::watch::~watch()
{
    state_->sockets.erase(entry_);
}

boost::system::error_code error_at_deadline(time_point deadline,
                                            const boost::system::error_code& error)
{
    return monotonic_now() < deadline ? error : asio::error::timed_out;
}

} // namespace galenaturn::http
