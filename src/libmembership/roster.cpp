#include "roster.h"

namespace galenaturn::membership {

namespace {

/** Adds or updates a control process. Returns whether it was unknown. */
bool record_control(roster& state, const roster_entry& entry, time_point now)
{
    if (entry.id.empty() || entry.id == state.self.id)
        return false;
    const auto [control, added] = state.controls.try_emplace(entry.id);
    control->second.entry = entry;
    if (added)
        control->second.learned_at = now;
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
        // Its failure domain is not known before its first message.
        if (record_control(state, {id, {}, {}, seed, {}}, now))
            state.controls[id].seed = true;
    }
    return state;
}

std::vector<roster_entry> on_roster_message(roster& state, const roster_message& message,
                                            time_point now)
{
    std::vector<roster_entry> added;
    if (message.role == process_role::control && message.self.id != state.self.id) {
        if (record_control(state, message.self, now))
            added.push_back(message.self);
        state.controls[message.self.id].last_seen = now;
    }
    for (const auto& entry : message.controls) {
        // Reports of others only add processes; only its own messages update a known process.
        if (state.controls.contains(entry.id))
            continue;
        if (record_control(state, entry, now))
            added.push_back(entry);
    }
    return added;
}

std::vector<process_id> forget_silent(roster& state, time_point now)
{
    std::vector<process_id> forgotten;
    for (const auto& [id, control] : state.controls) {
        if (!control.seed && now - control.last_seen.value_or(control.learned_at) > forget_timeout)
            forgotten.push_back(id);
    }
    for (const auto& id : forgotten)
        state.controls.erase(id);
    return forgotten;
}

bool is_present(const roster& state, const process_id& process, time_point now)
{
    const auto control = state.controls.find(process);
    return control != state.controls.end() && control->second.last_seen &&
           now - *control->second.last_seen <= presence_timeout;
}

roster_message make_message(const roster& state, const process_id& leader, time_point now)
{
    roster_message message;
    message.self = state.self;
    message.role = state.role;
    message.leader = leader;
    for (const auto& [id, control] : state.controls) {
        if (is_present(state, id, now))
            message.controls.push_back(control.entry);
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
