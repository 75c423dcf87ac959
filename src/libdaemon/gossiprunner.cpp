#include "gossiprunner.h"

#include <utility>

namespace galenaturn::daemon {

namespace {

using membership::member_status;

constexpr std::chrono::milliseconds tick_interval{100};
constexpr std::chrono::seconds metrics_interval{1};

counter& dropped_counter(metrics_registry& metrics, const std::string& reason)
{
    return metrics.make_counter("galenaturn_gossip_dropped_total", {{"reason", reason}});
}

/** Raises a metric counter to a total that is counted elsewhere. */
void raise_to(counter& target, std::uint64_t total)
{
    target.add(total - target.value());
}

std::mt19937_64 seeded_engine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64{seed};
}

} // namespace

gossip_runner::gossip_runner(context& shared, effects_handler on_effects)
    : shared_{shared}, on_effects_{std::move(on_effects)}, channel_{shared.channels, shared.metrics,
                                                                    [this](
                                                                        const wire::hello& from,
                                                                        std::string_view payload) {
                                                                        receive(from, payload);
                                                                    }},
      timer_{shared.io}, malformed_{dropped_counter(shared.metrics, "malformed")},
      over_budget_{dropped_counter(shared.metrics, "over_budget")},
      from_unknown_{dropped_counter(shared.metrics, "unknown_member")},
      suspected_{shared.metrics.make_counter("galenaturn_members_suspected_total")},
      refuted_{shared.metrics.make_counter("galenaturn_suspicions_refuted_total")},
      gaps_{dropped_counter(shared.metrics, "gap")}, bytes_per_second_{shared.metrics.make_gauge(
                                                         "galenaturn_gossip_bytes_per_second")}
{
    for (const auto status : {member_status::unknown, member_status::alive, member_status::suspect,
                              member_status::dead})
        members_[status] =
            &shared.metrics.make_gauge("galenaturn_members", {{"status", to_string(status)}});
    for (const auto* state : {"announced", "leaving", "lapsed"})
        upstreams_[state] = &shared.metrics.make_gauge("galenaturn_upstreams", {{"state", state}});
}

result<void> gossip_runner::start()
{
    findings found;
    auto chart = load_chart(shared_.settings.charts_folder, "upstream",
                            membership::announcement_table::action_names(), found);
    if (!found.empty()) {
        log_event(log_level::error, "chart_invalid", {{"findings", found.text()}});
        return make_error_code(core_error::invalid_chart);
    }
    membership::gossip_settings settings;
    settings.self = shared_.settings.self;
    settings.members = shared_.settings.members;
    settings.start_number = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    node_ = std::make_unique<membership::gossip_node>(std::move(settings), std::move(chart),
                                                      seeded_engine());
    auto opened = channel_.open(shared_.settings.self.peer);
    if (!opened)
        return opened;
    membership::gossip_effects effects;
    node_->join(monotonic_now(), effects);
    apply_effects(effects);
    tick();
    return success();
}

membership::announcement_outcome
gossip_runner::on_announcement(const wire::upstream_announcement& announcement)
{
    membership::gossip_effects effects;
    const auto outcome = node_->on_announcement(announcement, monotonic_now(), effects);
    apply_effects(effects);
    return outcome;
}

void gossip_runner::receive(const wire::hello& from, std::string_view payload)
{
    const auto message = wire::decode<membership::gossip_message>(payload);
    if (!message)
        return malformed_.add();
    membership::gossip_effects effects;
    node_->receive(membership::key_of(from.process), message.value(), monotonic_now(), effects);
    apply_effects(effects);
}

void gossip_runner::tick()
{
    const auto now = monotonic_now();
    membership::gossip_effects effects;
    node_->tick(now, effects);
    apply_effects(effects);
    update_metrics(now);
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void gossip_runner::apply_effects(const membership::gossip_effects& effects)
{
    for (const auto& sent : effects.send) {
        const auto* member = node_->members().find(sent.to);
        if (member != nullptr)
            channel_.send(member->settings.peer, member->settings.domain,
                          wire::encode(sent.message));
    }
    on_effects_(effects);
}

void gossip_runner::update_metrics(time_point now)
{
    const auto elapsed = now - metrics_updated_at_;
    if (elapsed < metrics_interval)
        return;
    metrics_updated_at_ = now;
    const auto& counts = node_->counts();
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    bytes_per_second_.set(static_cast<double>(counts.budgeted_bytes - bytes_at_metrics_update_) /
                          seconds);
    bytes_at_metrics_update_ = counts.budgeted_bytes;
    raise_to(over_budget_, counts.over_budget);
    raise_to(from_unknown_, counts.from_unknown_sender);
    raise_to(suspected_, counts.suspected);
    raise_to(refuted_, node_->members().refutations());
    raise_to(gaps_, node_->upstreams().gaps());
    std::map<member_status, std::size_t> by_status;
    for (const auto& [key, member] : node_->members().all())
        ++by_status[member.status];
    for (const auto& [status, target] : members_)
        target->set(static_cast<double>(by_status[status]));
    std::map<std::string, std::size_t> by_state;
    for (const auto& [id, record] : node_->upstreams().table().records())
        ++by_state[record.state];
    for (const auto& [state, target] : upstreams_)
        target->set(static_cast<double>(by_state[state]));
}

} // namespace galenaturn::daemon
