#include "connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <set>
#include <utility>

namespace galenaturn::wire {

namespace asio = boost::asio;
using asio::ip::tcp;

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
                boot_timer pause{self->context.io, min_reconnect_delay};
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
        try {
            if (!self.router.dispatch(greeting, std::move(received), std::move(reply)))
                self.context.counters.frames_malformed.add();
        }
        catch (const std::exception& error) {
            self.context.counters.frames_failed.add();
            log_event(log_level::error, "frame_handler_failed",
                      {{"process", greeting.process}, {"error", error.what()}});
            peer->close();
        }
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
        if (greeting && self.context.on_hello)
            self.context.on_hello(greeting.value().process);
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

} // namespace galenaturn::wire
