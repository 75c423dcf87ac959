#include "rosterservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace galenaturn::daemon {

namespace asio = boost::asio;

namespace {

/** Often enough that a new leader is known everywhere well within a second. */
constexpr duration exchange_interval = std::chrono::milliseconds{400};
constexpr duration search_interval = std::chrono::milliseconds{100};
/** Longer than any round trip between failure domains, shorter than presence_limit. */
constexpr duration answer_limit = std::chrono::milliseconds{800};

} // namespace

roster_service::roster_service(context& shared)
    : shared_{shared}, roster_{membership::make_roster(shared.settings, monotonic_now())},
      timer_{shared.io}, exchanges_{shared.metrics.make_counter("galenaturn_roster_total",
                                                                {{"outcome", "answered"}})},
      unanswered_{
          shared.metrics.make_counter("galenaturn_roster_total", {{"outcome", "no_answer"}})},
      present_{shared.metrics.make_gauge("galenaturn_controls_present")}
{
    for (const auto& [id, known] : roster_.controls)
        shared_.peers.learn(membership::to_member(known.entry));
    shared_.frames.on(wire::frame_kind::roster, [this](const wire::hello& /*from*/,
                                                       const wire::frame& received,
                                                       const wire::reply_function& reply) {
        const auto message = wire::decode<membership::roster_message>(received.payload);
        if (!message)
            return log_event(log_level::warning, "roster_malformed", {});
        take(message.value());
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
    if (own_view_of_leader)
        return own_view_of_leader();
    const bool recent = monotonic_now() - leader_told_at_ <= membership::presence_limit;
    return recent ? told_leader_ : process_id{};
}

void roster_service::take(const membership::roster_message& message)
{
    const auto now = monotonic_now();
    if (message.role == process_role::control &&
        !membership::is_present(roster_, message.self.id, now))
        log_event(log_level::info, "control_regained", {{"process", message.self.id}});
    for (const auto& entry : membership::hear(roster_, message, now)) {
        log_event(log_level::info, "control_learned",
                  {{"process", entry.id}, {"failure_domain", entry.domain}});
        shared_.peers.learn(membership::to_member(entry));
    }
    // Only the leader's own word counts: others may remember one that is gone.
    const bool leads = !message.leader.empty() && message.leader == message.self.id;
    if (!leads)
        return;
    if (told_leader_ != message.leader)
        log_event(log_level::info, "leader_learned", {{"leader", message.leader}});
    told_leader_ = message.leader;
    leader_told_at_ = now;
}

void roster_service::exchange_later()
{
    // While nobody leads callers are turned away: who leads next is to be known soon.
    timer_.expires_after(leader().empty() ? search_interval : exchange_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            exchange();
    });
}

void roster_service::exchange()
{
    const auto now = monotonic_now();
    for (const auto& gone : membership::forget_silent(roster_, now)) {
        log_event(log_level::info, "control_forgotten", {{"process", gone}});
        shared_.peers.forget(gone);
    }
    std::size_t present = 0;
    for (const auto& [id, known] : roster_.controls) {
        present += membership::is_present(roster_, id, now) ? 1 : 0;
        asio::co_spawn(shared_.io, ask(this, id), asio::detached);
    }
    present_.set(static_cast<double>(present));
    exchange_later();
}

asio::awaitable<void> roster_service::ask(roster_service* self, process_id control)
{
    auto* link = self->shared_.peers.find(control);
    if (link == nullptr || !link->connected())
        co_return;
    const auto now = monotonic_now();
    const auto message = membership::make_message(self->roster_, self->leader(), now);
    const auto reply =
        co_await link->call(wire::frame_kind::roster, wire::encode(message), now + answer_limit);
    if (!reply) {
        self->unanswered_.add();
        co_return;
    }
    const auto answer = wire::decode<membership::roster_message>(reply.value());
    if (!answer) {
        log_event(log_level::warning, "roster_malformed", {{"process", control}});
        co_return;
    }
    self->exchanges_.add();
    self->take(answer.value());
}

} // namespace galenaturn::daemon
