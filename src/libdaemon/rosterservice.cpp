#include "rosterservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace galenaturn::daemon {

namespace asio = boost::asio;

namespace {

/** Short enough that all processes learn of a new leader well within a second. */
constexpr duration exchange_interval = std::chrono::milliseconds{400};
/** Interval while no leader is known. */
constexpr duration leader_search_interval = std::chrono::milliseconds{100};
/** Longer than any round trip between failure domains, shorter than presence_timeout. */
constexpr duration response_timeout = std::chrono::milliseconds{800};

} // namespace

roster_service::roster_service(context& shared)
    : shared_{shared}, roster_{membership::make_roster(shared.settings, monotonic_now())},
      timer_{shared.io}, exchanges_{shared.metrics.make_counter("galenaturn_roster_total",
                                                                {{"outcome", "answered"}})},
      failed_exchanges_{
          shared.metrics.make_counter("galenaturn_roster_total", {{"outcome", "no_answer"}})},
      present_{shared.metrics.make_gauge("galenaturn_controls_present")}
{
    for (const auto& [id, control] : roster_.controls)
        shared_.peers.learn(membership::to_member(control.entry));
    shared_.frames.on(wire::frame_kind::roster, [this](const wire::hello& /*from*/,
                                                       const wire::frame& received,
                                                       const wire::reply_function& reply) {
        const auto message = wire::decode<membership::roster_message>(received.payload);
        if (!message)
            return log_event(log_level::warning, "roster_malformed", {});
        on_message(message.value());
        reply(wire::encode(membership::make_message(roster_, leader(), monotonic_now())));
    });
}

result<void> roster_service::start()
{
    exchange();
    return success();
}

process_id roster_service::leader() const
{
    return find_local_leader ? find_local_leader() : reported_leader();
}

process_id roster_service::reported_leader() const
{
    const bool recent = monotonic_now() - leader_reported_at_ <= membership::presence_timeout;
    return recent ? reported_leader_ : process_id{};
}

void roster_service::on_message(const membership::roster_message& message)
{
    const auto now = monotonic_now();
    if (message.role == process_role::control &&
        !membership::is_present(roster_, message.self.id, now))
        log_event(log_level::info, "control_regained", {{"process", message.self.id}});
    for (const auto& entry : membership::on_roster_message(roster_, message, now)) {
        log_event(log_level::info, "control_learned",
                  {{"process", entry.id}, {"failure_domain", entry.domain}});
        shared_.peers.learn(membership::to_member(entry));
    }
    // Only its own messages tell the failure domain of a seed.
    if (message.role == process_role::control)
        shared_.peers.learn(membership::to_member(message.self));
    // Only the leader's own messages count: others may still report a leader that has stopped.
    const bool sender_leads = !message.leader.empty() && message.leader == message.self.id;
    if (!sender_leads)
        return;
    if (reported_leader_ != message.leader)
        log_event(log_level::info, "leader_learned", {{"leader", message.leader}});
    reported_leader_ = message.leader;
    leader_reported_at_ = now;
}

void roster_service::schedule_exchange()
{
    // Callers are refused while no leader is known, so a new one is searched for more often.
    timer_.expires_after(leader().empty() ? leader_search_interval : exchange_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            exchange();
    });
}

void roster_service::exchange()
{
    const auto now = monotonic_now();
    for (const auto& forgotten : membership::forget_silent(roster_, now)) {
        log_event(log_level::info, "control_forgotten", {{"process", forgotten}});
        shared_.peers.forget(forgotten);
    }
    std::size_t present = 0;
    for (const auto& [id, control] : roster_.controls) {
        present += membership::is_present(roster_, id, now) ? 1 : 0;
        asio::co_spawn(shared_.io, request_roster(this, id), asio::detached);
    }
    present_.set(static_cast<double>(present));
    schedule_exchange();
}

asio::awaitable<void> roster_service::request_roster(roster_service* self, process_id control)
{
    auto* link = self->shared_.peers.find(control);
    if (link == nullptr || !link->connected())
        co_return;
    const auto now = monotonic_now();
    const auto message = membership::make_message(self->roster_, self->leader(), now);
    const auto reply = co_await link->call(wire::frame_kind::roster, wire::encode(message),
                                           now + response_timeout);
    if (!reply) {
        self->failed_exchanges_.add();
        co_return;
    }
    const auto response = wire::decode<membership::roster_message>(reply.value());
    if (!response) {
        log_event(log_level::warning, "roster_malformed", {{"process", control}});
        co_return;
    }
    self->exchanges_.add();
    self->on_message(response.value());
}

} // namespace galenaturn::daemon
