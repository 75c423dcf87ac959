#include "gossipservice.h"

#include <utility>

namespace galenaturn::entryd {

namespace {

using membership::announcement_outcome;

constexpr std::chrono::milliseconds tick_interval{100};

} // namespace

gossip_service::gossip_service(daemon::context& shared, entry_hub& hub)
    : shared_{shared}, hub_{hub}, channel_{shared.channels, shared.metrics,
                                           [this](const wire::hello& from,
                                                  std::string_view payload) {
                                               receive(from, payload);
                                           }},
      timer_{shared.io}, lapsed_{shared.metrics.make_counter("galenaturn_upstreams_lapsed_total")}
{
    for (const auto outcome : {announcement_outcome::news, announcement_outcome::refreshed,
                               announcement_outcome::duplicate, announcement_outcome::late,
                               announcement_outcome::left_before})
        outcomes_[outcome] = &shared.metrics.make_counter("galenaturn_upstream_announcements_total",
                                                          {{"outcome", to_string(outcome)}});
}

result<void> gossip_service::start()
{
    findings found;
    auto chart = load_chart(shared_.settings.charts_folder, "upstream",
                            membership::announcement_table::action_names(), found);
    if (!found.empty()) {
        log_event(log_level::error, "chart_invalid", {{"findings", found.text()}});
        return make_error_code(core_error::invalid_chart);
    }
    table_ = std::make_unique<membership::announcement_table>(std::move(chart));
    auto opened = channel_.open(shared_.settings.self.peer);
    if (!opened)
        return opened;
    std::vector<live_entry> entries;
    for (const auto& member : shared_.settings.members) {
        if (member.role == process_role::entry && member.domain == shared_.settings.self.domain)
            entries.push_back({member.id, incarnation{1}});
    }
    publish(hub_.entries_changed, entries);
    tick();
    return success();
}

announcement_outcome gossip_service::hear(const wire::upstream_announcement& announcement)
{
    const auto outcome = take(announcement);
    const bool later =
        outcome == announcement_outcome::news || outcome == announcement_outcome::refreshed;
    if (later)
        forward(announcement);
    return outcome;
}

announcement_outcome gossip_service::take(const wire::upstream_announcement& announcement)
{
    membership::table_events events;
    const auto outcome = table_->hear(announcement, monotonic_now(), events);
    outcomes_.at(outcome)->add();
    publish_events(events);
    return outcome;
}

void gossip_service::forward(const wire::upstream_announcement& announcement)
{
    const auto payload = wire::encode(announcement);
    for (const auto& member : shared_.settings.members) {
        const bool other_entry =
            member.role == process_role::entry && member.id != shared_.settings.self.id;
        if (other_entry && member.domain == announcement.domain)
            channel_.send(member.peer, member.domain, payload);
    }
}

void gossip_service::receive(const wire::hello& /*from*/, std::string_view payload)
{
    const auto announcement = wire::decode<wire::upstream_announcement>(payload);
    if (announcement)
        take(announcement.value());
}

void gossip_service::tick()
{
    membership::table_events events;
    table_->expire(monotonic_now(), events);
    publish_events(events);
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void gossip_service::publish_events(const membership::table_events& events)
{
    for (const auto& announcement : events.announced)
        publish(hub_.upstream_announced, announcement, table_->find(announcement.id)->heard);
    for (const auto& id : events.lapsed) {
        lapsed_.add();
        log_event(log_level::warning, "upstream_lapsed", {{"upstream", id}});
        publish(hub_.upstream_lapsed, id);
    }
}

} // namespace galenaturn::entryd
