#include "channel.h"

#include "codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <utility>

namespace galenaturn::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds shortest_reconnect_delay{50};
constexpr std::chrono::milliseconds longest_reconnect_delay{1000};
/** Bounds what waits for a slow peer; more is dropped and counted. */
constexpr std::size_t longest_queue_bytes = std::size_t{8} << 20;

tcp::endpoint to_tcp(const ip_endpoint& address)
{
    return {asio::ip::make_address(address.address), address.port};
}

/** One open connection: a bounded queue of outgoing bytes and the coroutine that writes them. */
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, channel_counters& counters)
        : socket_{std::move(socket)}, wake_{socket_.get_executor()}, counters_{counters}
    {
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay{true}, ignored);
    }

    void start_writing()
    {
        asio::co_spawn(socket_.get_executor(), write_queue(shared_from_this()), asio::detached);
    }

    bool send(const frame& outgoing)
    {
        if (closed_ || queued_bytes_ > longest_queue_bytes) {
            counters_.frames_dropped.add();
            return false;
        }
        queue_.push_back(encode_frame(outgoing));
        queued_bytes_ += queue_.back().size();
        counters_.frames_sent.add();
        wake_.cancel();
        return true;
    }

    asio::awaitable<result<frame>> receive()
    {
        std::array<char, frame_header_size> header_bytes{};
        auto [error, size] =
            co_await asio::async_read(socket_, asio::buffer(header_bytes), use_result);
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

    void close()
    {
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
        wake_.cancel();
    }

    [[nodiscard]] bool closed() const { return closed_; }

private:
    static asio::awaitable<void> write_queue(std::shared_ptr<connection> self)
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

    tcp::socket socket_;
    asio::steady_timer wake_;
    channel_counters& counters_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_{0};
    bool closed_{false};
};

} // namespace

void frame_router::on(frame_kind kind, frame_handler handler)
{
    handlers_[kind] = std::move(handler);
}

bool frame_router::dispatch(const hello& from, frame received, reply_function reply) const
{
    const auto handler = handlers_.find(received.kind);
    if (handler == handlers_.end())
        return false;
    handler->second(from, std::move(received), std::move(reply));
    return true;
}

channel_counters::channel_counters(metrics_registry& metrics)
    : frames_sent{metrics.make_counter("galenaturn_frames_sent_total")},
      frames_received{metrics.make_counter("galenaturn_frames_received_total")},
      bytes_sent{metrics.make_counter("galenaturn_frame_bytes_sent_total")},
      bytes_received{metrics.make_counter("galenaturn_frame_bytes_received_total")},
      frames_dropped{metrics.make_counter("galenaturn_frames_dropped_total")},
      frames_malformed{metrics.make_counter("galenaturn_frames_malformed_total")},
      frames_refused{metrics.make_counter("galenaturn_frames_refused_total")},
      connections_refused{metrics.make_counter("galenaturn_peer_connections_refused_total")},
      reconnects{metrics.make_counter("galenaturn_peer_reconnects_total")}
{
}

bool channel_context::refuses(const failure_domain_id& domain) const
{
    return std::find(refused_domains.begin(), refused_domains.end(), domain) !=
           refused_domains.end();
}

struct frame_server::state : std::enable_shared_from_this<frame_server::state> {
    state(channel_context& shared_context, const frame_router& shared_router)
        : context{shared_context}, router{shared_router}, acceptor{shared_context.io}
    {
    }

    channel_context& context;
    const frame_router& router;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<connection>> connections;
    bool closed{false};

    static asio::awaitable<void> accept(std::shared_ptr<state> self)
    {
        while (!self->closed) {
            auto [error, socket] = co_await self->acceptor.async_accept(use_result);
            if (self->closed)
                co_return;
            if (error) {
                log_event(log_level::warning, "peer_accept_failed", {{"error", error.message()}});
                asio::steady_timer pause{self->context.io, shortest_reconnect_delay};
                co_await pause.async_wait(use_result);
                continue;
            }
            auto accepted = std::make_shared<connection>(std::move(socket), self->context.counters);
            self->connections.insert(accepted);
            asio::co_spawn(self->context.io, serve(self, accepted), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<state> self,
                                       std::shared_ptr<connection> peer)
    {
        peer->start_writing();
        const auto greeting = co_await read_hello(*self, *peer);
        while (greeting && !peer->closed()) {
            auto received = co_await peer->receive();
            if (!received)
                break;
            if (self->context.refuses(greeting.value().domain))
                self->context.counters.frames_refused.add();
            else
                dispatch(*self, peer, greeting.value(), std::move(received).value());
        }
        peer->close();
        self->connections.erase(peer);
    }

    static void dispatch(state& self, const std::shared_ptr<connection>& peer,
                         const hello& greeting, frame received)
    {
        const auto correlation = received.correlation;
        std::weak_ptr<connection> weak_peer = peer;
        auto reply = [weak_peer, correlation, context = &self.context,
                      domain = greeting.domain](std::string payload) {
            const auto target = weak_peer.lock();
            if (target && !context->refuses(domain))
                target->send({frame_kind::reply, correlation, std::move(payload)});
        };
        if (!self.router.dispatch(greeting, std::move(received), std::move(reply)))
            self.context.counters.frames_malformed.add();
    }

    static asio::awaitable<result<hello>> read_hello(state& self, connection& peer)
    {
        auto first = co_await peer.receive();
        if (!first)
            co_return first.error();
        if (first.value().kind != frame_kind::hello)
            co_return make_error_code(wire_error::malformed);
        auto greeting = decode<hello>(first.value().payload);
        if (greeting && self.context.refuses(greeting.value().domain)) {
            self.context.counters.connections_refused.add();
            co_return make_error_code(wire_error::refused_domain);
        }
        co_return greeting;
    }
};

frame_server::frame_server(channel_context& context, const frame_router& router)
    : state_{std::make_shared<state>(context, router)}
{
}

frame_server::~frame_server()
{
    close();
}

result<void> frame_server::listen(const ip_endpoint& address)
{
    const auto endpoint = to_tcp(address);
    boost::system::error_code error;
    state_->acceptor.open(endpoint.protocol(), error);
    if (!error)
        state_->acceptor.set_option(tcp::acceptor::reuse_address{true}, error);
    if (!error)
        state_->acceptor.bind(endpoint, error);
    if (!error)
        state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    asio::co_spawn(state_->context.io, state::accept(state_), asio::detached);
    return success();
}

void frame_server::close()
{
    state_->closed = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto& peer : state_->connections)
        peer->close();
}

struct peer_link::state : std::enable_shared_from_this<peer_link::state> {
    struct pending_call {
        explicit pending_call(asio::io_context& io) : timer{io} {}
        asio::steady_timer timer;
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
    asio::steady_timer delay;
    std::shared_ptr<connection> current;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending;
    std::uint64_t last_correlation{0};
    bool closed{false};

    static asio::awaitable<void> run(std::shared_ptr<state> self)
    {
        auto wait = shortest_reconnect_delay;
        while (!self->closed) {
            if (!self->context.refuses(self->domain) && co_await connect(*self)) {
                wait = shortest_reconnect_delay;
                co_await read_replies(*self);
            }
            self->disconnect();
            if (self->closed)
                co_return;
            self->context.counters.reconnects.add();
            self->delay.expires_after(wait);
            co_await self->delay.async_wait(use_result);
            wait = std::min(wait * 2, longest_reconnect_delay);
        }
    }

    static asio::awaitable<bool> connect(state& self)
    {
        tcp::socket socket{self.context.io};
        asio::steady_timer limit{self.context.io, longest_reconnect_delay};
        limit.async_wait([&socket](const boost::system::error_code& error) {
            boost::system::error_code ignored;
            if (!error)
                socket.close(ignored);
        });
        auto [error] = co_await socket.async_connect(to_tcp(self.address), use_result);
        limit.cancel();
        if (error || self.closed || !socket.is_open())
            co_return false;
        self.current = std::make_shared<connection>(std::move(socket), self.context.counters);
        self.current->start_writing();
        self.current->send({frame_kind::hello, 0, encode(self.context.self)});
        co_return true;
    }

    static asio::awaitable<void> read_replies(state& self)
    {
        while (!self.closed) {
            const auto active = self.current;
            auto received = co_await active->receive();
            if (!received)
                co_return;
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

    /** Sends unless the domain is refused; a refused frame is lost without a sign. */
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
    const auto call = std::make_shared<state::pending_call>(self->context.io);
    self->pending.emplace(correlation, call);
    call->timer.expires_at(deadline);
    co_await call->timer.async_wait(use_result);
    self->pending.erase(correlation);
    co_return std::move(call->reply);
}

peer_directory::peer_directory(channel_context& context, const process_settings& settings)
    : members_{settings.members}
{
    for (const auto& member : members_) {
        if (member.id != settings.self.id)
            links_.emplace(member.id,
                           std::make_unique<peer_link>(context, member.peer, member.domain));
    }
}

void peer_directory::start()
{
    for (auto& [process, link] : links_)
        link->start();
}

void peer_directory::close()
{
    for (auto& [process, link] : links_)
        link->close();
}

peer_link* peer_directory::find(const process_id& process)
{
    const auto link = links_.find(process);
    return link == links_.end() ? nullptr : link->second.get();
}

} // namespace galenaturn::wire
