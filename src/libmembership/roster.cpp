#include "roster.h"

namespace galenaturn::membership {

namespace {

/** Returns whether `entry` was unknown. */
bool learn(roster& state, const roster_entry& entry, time_point now)
{
    if (entry.id.empty() || entry.id == state.self.id)
        return false;
    const auto [known, added] = state.controls.try_emplace(entry.id);
    known->second.entry = entry;
    if (added)
        known->second.learned = now;
    return added;
}

} // namespace

roster make_roster(const process_settings& settings, time_point now)
{
    const auto& self = settings.self;
    roster state;
    state.self = {self.id, self.domain, self.region, self.peer, self.http};
    state.role = self.role;
    if (!settings.join)
        return state;
    for (const auto& seed : settings.join->seeds) {
        const process_id id{to_string(seed)};
        // Its domain is told by its first message.
        if (learn(state, {id, {}, {}, seed, {}}, now))
            state.controls[id].seed = true;
    }
    return state;
}

std::vector<roster_entry> hear(roster& state, const roster_message& message, time_point now)
{
    std::vector<roster_entry> added;
    if (message.role == process_role::control && message.self.id != state.self.id) {
        if (learn(state, message.self, now))
            added.push_back(message.self);
        state.controls[message.self.id].heard = now;
    }
    for (const auto& entry : message.controls) {
        // Hearsay brings names, never overrides what a process said of itself.
        if (state.controls.contains(entry.id))
            continue;
        if (learn(state, entry, now))
            added.push_back(entry);
    }
    return added;
}

std::vector<process_id> forget_silent(roster& state, time_point now)
{
    std::vector<process_id> gone;
    for (const auto& [id, known] : state.controls) {
        if (!known.seed && now - known.heard.value_or(known.learned) > forget_limit)
            gone.push_back(id);
    }
    for (const auto& id : gone)
        state.controls.erase(id);
    return gone;
}

bool is_present(const roster& state, const process_id& process, time_point now)
{
    const auto known = state.controls.find(process);
    return known != state.controls.end() && known->second.heard &&
           now - *known->second.heard <= presence_limit;
}

roster_message make_message(const roster& state, const process_id& leader, time_point now)
{
    roster_message message;
    message.self = state.self;
    message.role = state.role;
    message.leader = leader;
    for (const auto& [id, known] : state.controls) {
        if (is_present(state, id, now))
            message.controls.push_back(known.entry);
    }
    return message;
}

member_settings to_member(const roster_entry& entry)
{
    member_settings member;
    member.id = entry.id;
    member.role = process_role::control;
    member.domain = entry.domain;
    member.region = entry.region;
    member.peer = entry.peer;
    member.http = entry.http;
    return member;
}

} // namespace galenaturn::membership
