#include "gossipservice.h"

#include <algorithm>
#include <utility>

namespace galenaturn::entryd {

namespace {

using membership::announcement_outcome;
using membership::member_status;

bool same_entries(const std::vector<live_entry>& left, const std::vector<live_entry>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const live_entry& first, const live_entry& second) {
                          return first.process == second.process &&
                                 first.incarnation_number == second.incarnation_number;
                      });
}

} // namespace

gossip_service::gossip_service(daemon::context& shared, entry_hub& hub)
    : shared_{shared}, hub_{hub}, runner_{shared,
                                          [this](const membership::gossip_effects& effects) {
                                              publish_changes(effects);
                                          }},
      expired_{shared.metrics.make_counter("galenaturn_upstreams_lapsed_total")}
{
    for (const auto outcome : {announcement_outcome::changed, announcement_outcome::refreshed,
                               announcement_outcome::duplicate, announcement_outcome::outdated,
                               announcement_outcome::already_leaving})
        outcomes_[outcome] = &shared.metrics.make_counter("galenaturn_upstream_announcements_total",
                                                          {{"outcome", to_string(outcome)}});
}

result<void> gossip_service::start()
{
    auto started = runner_.start();
    if (started)
        publish_entries();
    return started;
}

announcement_outcome
gossip_service::on_announcement(const wire::upstream_announcement& announcement)
{
    const auto outcome = runner_.on_announcement(announcement);
    outcomes_.at(outcome)->add();
    return outcome;
}

const membership::announcement_table& gossip_service::upstreams() const
{
    return runner_.node().upstreams().table();
}

const membership::member_table& gossip_service::members() const
{
    return runner_.node().members();
}

void gossip_service::publish_changes(const membership::gossip_effects& effects)
{
    for (const auto& announcement : effects.upstreams.announced) {
        const auto* record = upstreams().find(announcement.id);
        publish(hub_.upstream_announced, announcement,
                record == nullptr ? monotonic_now() : record->last_seen);
    }
    for (const auto& id : effects.upstreams.expired) {
        expired_.add();
        log_event(log_level::warning, "upstream_lapsed", {{"upstream", id}});
        publish(hub_.upstream_expired, id);
    }
    if (effects.members_changed)
        publish_entries();
}

void gossip_service::publish_entries()
{
    std::vector<live_entry> entries;
    for (const auto& [key, member] : members().all()) {
        const bool live =
            member.status == member_status::alive || member.status == member_status::suspect;
        if (live && member.settings.role == process_role::entry &&
            member.settings.domain == shared_.settings.self.domain)
            entries.push_back({member.settings.id, member.incarnation_number});
    }
    if (same_entries(entries, entries_))
        return;
    entries_ = std::move(entries);
    log_event(log_level::info, "entries_changed", {{"live", entries_.size()}});
    publish(hub_.entries_changed, entries_);
}

} // namespace galenaturn::entryd
