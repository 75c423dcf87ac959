#include "announcementtable.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace galenaturn::membership {

namespace {

/** Everything that an announcement says besides its number. */
auto content_of(const wire::upstream_announcement& said)
{
    return std::tie(said.service, said.domain, said.rack, said.address, said.life, said.slots,
                    said.connections, said.busy_slots, said.leaving);
}

} // namespace

/** One event on its way through the chart. */
struct announcement_table::transition {
    announcement_table& table;
    const upstream_record& record;
    table_events& events;
    bool remove{false};
};

bool is_later(const wire::upstream_announcement& left, const wire::upstream_announcement& right)
{
    return std::tie(left.life, left.sequence) > std::tie(right.life, right.sequence);
}

bool says_other(const wire::upstream_announcement& left, const wire::upstream_announcement& right)
{
    return content_of(left) != content_of(right);
}

announcement_table::announcement_table(state_chart chart) : chart_{std::move(chart)} {}

const chart_actions<announcement_table::transition>& announcement_table::actions()
{
    static const chart_actions<transition> table{
        {"publish_announcement",
         [](transition& step) { step.events.announced.push_back(step.record.last); }},
        {"publish_lapse",
         [](transition& step) { step.events.lapsed.push_back(step.record.last.id); }},
        {"remove_record", [](transition& step) { step.remove = true; }},
    };
    return table;
}

std::vector<std::string> announcement_table::action_names()
{
    return galenaturn::action_names(actions());
}

void announcement_table::apply(upstream_record& record, std::string_view event,
                               table_events& events)
{
    transition step{*this, record, events};
    const auto applied = apply_event(chart_, actions(), record.state, event, step);
    GN_INVARIANT(applied.has_value(), {"state", record.state}, {"event", event});
    if (step.remove)
        records_.erase(upstream_id{record.last.id});
}

announcement_outcome announcement_table::hear(const wire::upstream_announcement& announcement,
                                              time_point heard, time_point expires,
                                              table_events& events)
{
    const auto [position, inserted] = records_.try_emplace(announcement.id);
    auto& record = position->second;
    if (inserted) {
        record = {announcement, heard, expires, chart_.initial};
        apply(record, announcement.leaving ? "leave" : "announcement", events);
        return announcement_outcome::news;
    }
    if (is_later(record.last, announcement))
        return announcement_outcome::late;
    if (!is_later(announcement, record.last))
        return announcement_outcome::duplicate;
    const bool same_life = announcement.life == record.last.life;
    if (same_life && record.last.leaving && !announcement.leaving)
        return announcement_outcome::left_before;
    const bool news = says_other(announcement, record.last) || record.state == "lapsed";
    record.last = announcement;
    record.heard = std::max(record.heard, heard);
    record.expires = std::max(record.expires, expires);
    if (!news)
        return announcement_outcome::refreshed;
    apply(record, announcement.leaving ? "leave" : "announcement", events);
    return announcement_outcome::news;
}

bool announcement_table::depart(const wire::upstream_announcement& last, bool lapsed,
                                time_point heard, table_events& events)
{
    const auto [position, inserted] = records_.try_emplace(last.id);
    auto& record = position->second;
    if (inserted) {
        record = {last, heard, heard, "lapsed"};
        return true;
    }
    if (is_later(record.last, last))
        return false;
    record.last.life = last.life;
    record.last.sequence = last.sequence;
    record.heard = std::max(record.heard, heard);
    if (!lapsed && !record.last.leaving) {
        record.last.leaving = true;
        apply(record, "leave", events);
    }
    else if (lapsed && record.state != "lapsed") {
        apply(record, "silence", events);
    }
    return true;
}

void announcement_table::refresh(const upstream_id& id, time_point expires)
{
    const auto known = records_.find(id);
    if (known != records_.end() && known->second.state != "lapsed")
        known->second.expires = std::max(known->second.expires, expires);
}

void announcement_table::revive(const upstream_id& id, time_point expires, table_events& events)
{
    const auto known = records_.find(id);
    if (known == records_.end() || known->second.state != "lapsed")
        return;
    known->second.expires = std::max(known->second.expires, expires);
    apply(known->second, "announcement", events);
}

void announcement_table::set_load(const upstream_id& id, std::uint64_t sequence,
                                  std::uint32_t busy_slots, table_events& events)
{
    const auto known = records_.find(id);
    if (known == records_.end() || known->second.state != "announced" ||
        known->second.last.sequence >= sequence)
        return;
    auto& record = known->second;
    record.last.sequence = sequence;
    if (record.last.busy_slots == busy_slots)
        return;
    record.last.busy_slots = busy_slots;
    apply(record, "announcement", events);
}

void announcement_table::expire(time_point now, table_events& events)
{
    for (auto next = records_.begin(); next != records_.end();) {
        auto& record = (next++)->second;
        if (record.state != "lapsed" && now > record.expires)
            apply(record, "silence", events);
        else if (record.state == "lapsed" && now > record.expires + lapsed_retention)
            apply(record, "forget", events);
    }
}

const upstream_record* announcement_table::find(const upstream_id& id) const
{
    const auto known = records_.find(id);
    return known == records_.end() ? nullptr : &known->second;
}

const char* to_string(announcement_outcome outcome)
{
    static constexpr std::array<const char*, 5> names{"news", "refreshed", "duplicate", "late",
                                                      "left_before"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace galenaturn::membership
