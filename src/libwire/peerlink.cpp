#include "connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace galenaturn::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds max_reconnect_delay{1000};
/** A connection is closed and reopened if a call takes at least this long without a reply, and no
 * frame was received since the call was sent. */
constexpr duration silence_limit = std::chrono::milliseconds{700};

} // namespace

struct peer_link::state : std::enable_shared_from_this<peer_link::state> {
    struct pending_call {
        explicit pending_call(asio::io_context& io) : timer{io} {}
        boot_timer timer;
        result<std::string> reply{make_error_code(wire_error::timed_out)};
    };

    state(channel_context& shared_context, const ip_endpoint& peer_address,
          failure_domain_id peer_domain)
        : context{shared_context}, address{peer_address}, domain{std::move(peer_domain)},
          delay{shared_context.io}
    {
    }

    channel_context& context;
    ip_endpoint address;
    failure_domain_id domain;
    boot_timer delay;
    /** Delay before the next attempt to connect. */
    std::chrono::milliseconds wait{min_reconnect_delay};
    /** The socket of an attempt to connect in progress. */
    tcp::socket* connecting{nullptr};
    std::shared_ptr<connection> current;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending;
    std::uint64_t last_correlation{0};
    time_point last_received;
    bool closed{false};

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        auto& link = *self;
        while (!link.closed) {
            if (!link.context.refuses(link.domain) && co_await connect(link)) {
                link.wait = min_reconnect_delay;
                co_await read_replies(link);
            }
            link.disconnect();
            if (link.closed)
                co_return;
            link.context.counters.reconnects.add();
            link.delay.expires_after(link.wait);
            link.wait = std::min(link.wait * 2, max_reconnect_delay);
            co_await link.delay.async_wait(use_result);
        }
    }

    static asio::awaitable<bool> connect(state& self)
    {
        tcp::socket socket{self.context.io};
        boot_timer limit{self.context.io, max_reconnect_delay};
        self.connecting = &socket;
        limit.async_wait([owner = self.shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                owner->abandon_attempt();
        });
        auto [error] = co_await socket.async_connect(to_tcp(self.address), use_result);
        self.connecting = nullptr;
        limit.cancel();
        if (error || self.closed || !socket.is_open())
            co_return false;
        self.current = std::make_shared<connection>(std::move(socket), self.context.counters);
        self.current->send({frame_kind::hello, 0, encode(self.context.self)});
        co_return true;
    }

    void abandon_attempt()
    {
        boost::system::error_code ignored;
        if (connecting != nullptr)
            connecting->close(ignored);
    }

    void retry()
    {
        if (current || context.refuses(domain))
            return;
        wait = min_reconnect_delay;
        // An attempt from before the peer ran may wait for a reply that never comes.
        abandon_attempt();
        delay.cancel();
    }

    static asio::awaitable<void> read_replies(state& self)
    {
        while (!self.closed) {
            const auto active = self.current;
            auto received = co_await active->receive();
            if (!received)
                co_return;
            self.last_received = monotonic_now();
            if (self.context.refuses(self.domain)) {
                self.context.counters.frames_refused.add();
                continue;
            }
            const auto call = self.pending.find(received.value().correlation);
            if (call == self.pending.end())
                continue;
            call->second->reply = std::move(received).value().payload;
            call->second->timer.cancel();
            self.pending.erase(call);
        }
    }

    /** Sends a frame; silently drops it if the domain is refused. */
    bool send(frame outgoing)
    {
        if (!context.refuses(domain))
            return current->send(outgoing);
        context.counters.frames_refused.add();
        return true;
    }

    void disconnect()
    {
        if (current)
            current->close();
        current.reset();
        for (auto& [correlation, call] : pending)
            call->timer.cancel();
        pending.clear();
    }
};

peer_link::peer_link(channel_context& context, const ip_endpoint& address,
                     const failure_domain_id& domain)
    : state_{std::make_shared<state>(context, address, domain)}
{
}

peer_link::~peer_link()
{
    close();
}

void peer_link::start()
{
    asio::co_spawn(state_->context.io, state::run(state_), asio::detached);
}

void peer_link::close()
{
    state_->closed = true;
    state_->delay.cancel();
    state_->disconnect();
}

void peer_link::set_domain(const failure_domain_id& domain)
{
    state_->domain = domain;
}

void peer_link::retry()
{
    state_->retry();
}

bool peer_link::connected() const
{
    return state_->current != nullptr;
}

bool peer_link::send(frame_kind kind, std::string payload)
{
    if (!state_->current) {
        state_->context.counters.frames_dropped.add();
        return false;
    }
    return state_->send({kind, 0, std::move(payload)});
}

asio::awaitable<result<std::string>> peer_link::call(frame_kind kind, std::string payload,
                                                     time_point deadline)
{
    const auto self = state_;
    if (!self->current)
        co_return make_error_code(wire_error::not_connected);
    const auto correlation = ++self->last_correlation;
    if (!self->send({kind, correlation, std::move(payload)}))
        co_return make_error_code(wire_error::not_connected);
    const auto sent = monotonic_now();
    const auto used = self->current;
    const auto call = std::make_shared<state::pending_call>(self->context.io);
    self->pending.emplace(correlation, call);
    call->timer.expires_at(deadline);
    co_await call->timer.async_wait(use_result);
    self->pending.erase(correlation);
    // A connection can stop working without a reset although a new one would work.
    const bool silent = self->last_received < sent && monotonic_now() - sent >= silence_limit;
    if (!call->reply && silent && self->current == used && used)
        used->close();
    co_return std::move(call->reply);
}

} // namespace galenaturn::wire
