#include "announcementtable.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace galenaturn::membership {

namespace {

/** Returns all fields of an announcement except the id and the sequence number. */
auto content_of(const wire::upstream_announcement& announcement)
{
    return std::tie(announcement.service, announcement.domain, announcement.rack,
                    announcement.address, announcement.incarnation_number, announcement.slots,
                    announcement.connections, announcement.busy_slots, announcement.leaving);
}

} // namespace

/** Context of the chart actions while one event is applied. */
struct announcement_table::transition {
    announcement_table& table;
    const upstream_record& record;
    upstream_events& events;
    bool remove_record{false};
};

bool is_later(const wire::upstream_announcement& left, const wire::upstream_announcement& right)
{
    return std::tie(left.incarnation_number, left.sequence) >
           std::tie(right.incarnation_number, right.sequence);
}

bool content_differs(const wire::upstream_announcement& left,
                     const wire::upstream_announcement& right)
{
    return content_of(left) != content_of(right);
}

announcement_table::announcement_table(state_chart chart) : chart_{std::move(chart)} {}

const chart_actions<announcement_table::transition>& announcement_table::actions()
{
    static const chart_actions<transition> table{
        {"publish_announcement",
         [](transition& step) { step.events.announced.push_back(step.record.last_announcement); }},
        {"publish_lapse",
         [](transition& step) { step.events.expired.push_back(step.record.last_announcement.id); }},
        {"remove_record", [](transition& step) { step.remove_record = true; }},
    };
    return table;
}

std::vector<std::string> announcement_table::action_names()
{
    return galenaturn::action_names(actions());
}

void announcement_table::apply(upstream_record& record, std::string_view event,
                               upstream_events& events)
{
    transition step{*this, record, events};
    const auto applied = apply_event(chart_, actions(), record.state, event, step);
    GN_INVARIANT(applied.has_value(), {"state", record.state}, {"event", event});
    if (step.remove_record)
        records_.erase(upstream_id{record.last_announcement.id});
}

announcement_outcome
announcement_table::on_announcement(const wire::upstream_announcement& announcement,
                                    time_point received_at, time_point expires_at,
                                    upstream_events& events)
{
    const auto [entry, inserted] = records_.try_emplace(announcement.id);
    auto& record = entry->second;
    if (inserted) {
        record = {announcement, received_at, expires_at, chart_.initial};
        apply(record, announcement.leaving ? "leave" : "announcement", events);
        return announcement_outcome::changed;
    }
    if (is_later(record.last_announcement, announcement))
        return announcement_outcome::outdated;
    if (!is_later(announcement, record.last_announcement))
        return announcement_outcome::duplicate;
    const bool same_incarnation =
        announcement.incarnation_number == record.last_announcement.incarnation_number;
    if (same_incarnation && record.last_announcement.leaving && !announcement.leaving)
        return announcement_outcome::already_leaving;
    const bool changed =
        content_differs(announcement, record.last_announcement) || record.state == "lapsed";
    record.last_announcement = announcement;
    record.last_seen = std::max(record.last_seen, received_at);
    record.expires_at = std::max(record.expires_at, expires_at);
    if (!changed)
        return announcement_outcome::refreshed;
    apply(record, announcement.leaving ? "leave" : "announcement", events);
    return announcement_outcome::changed;
}

bool announcement_table::on_departure(const wire::upstream_announcement& last, bool expired,
                                      time_point received_at, upstream_events& events)
{
    const auto [entry, inserted] = records_.try_emplace(last.id);
    auto& record = entry->second;
    if (inserted) {
        record = {last, received_at, received_at, "lapsed"};
        return true;
    }
    if (is_later(record.last_announcement, last))
        return false;
    record.last_announcement.incarnation_number = last.incarnation_number;
    record.last_announcement.sequence = last.sequence;
    record.last_seen = std::max(record.last_seen, received_at);
    if (!expired && !record.last_announcement.leaving) {
        record.last_announcement.leaving = true;
        apply(record, "leave", events);
    }
    else if (expired && record.state != "lapsed") {
        apply(record, "silence", events);
    }
    return true;
}

void announcement_table::extend_expiry(const upstream_id& id, time_point expires_at)
{
    const auto found = records_.find(id);
    if (found != records_.end() && found->second.state != "lapsed")
        found->second.expires_at = std::max(found->second.expires_at, expires_at);
}

void announcement_table::reactivate(const upstream_id& id, time_point expires_at,
                                    upstream_events& events)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.state != "lapsed")
        return;
    found->second.expires_at = std::max(found->second.expires_at, expires_at);
    apply(found->second, "announcement", events);
}

void announcement_table::update_load(const upstream_id& id, std::uint64_t sequence,
                                     std::uint32_t busy_slots, upstream_events& events)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.state != "announced" ||
        found->second.last_announcement.sequence >= sequence)
        return;
    auto& record = found->second;
    record.last_announcement.sequence = sequence;
    if (record.last_announcement.busy_slots == busy_slots)
        return;
    record.last_announcement.busy_slots = busy_slots;
    apply(record, "announcement", events);
}

void announcement_table::expire(time_point now, upstream_events& events)
{
    for (auto next = records_.begin(); next != records_.end();) {
        auto& record = (next++)->second;
        if (record.state != "lapsed" && now > record.expires_at)
            apply(record, "silence", events);
        else if (record.state == "lapsed" && now > record.expires_at + expired_retention)
            apply(record, "forget", events);
    }
}

const upstream_record* announcement_table::find(const upstream_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

const char* to_string(announcement_outcome outcome)
{
    static constexpr std::array<const char*, 5> names{"news", "refreshed", "duplicate", "late",
                                                      "left_before"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace galenaturn::membership
