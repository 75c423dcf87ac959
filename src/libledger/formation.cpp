#include "formation.h"

#include <algorithm>

namespace galenaturn::ledger {

std::optional<voter_set> first_voters(const formation& state, time_point now)
{
    if (std::find(state.controls.begin(), state.controls.end(), state.self) == state.controls.end())
        return std::nullopt;
    voter_set set;
    set.voters.emplace(state.voter, state.self);
    for (const auto& process : state.controls) {
        if (process == state.self)
            continue;
        if (process < state.self)
            return std::nullopt;
        const auto other = state.others.find(process);
        const bool empty = other != state.others.end() && !other->second.last.has_log &&
                           now - other->second.when < formation_message_ttl;
        if (!empty)
            return std::nullopt;
        set.voters.emplace(other->second.last.voter, process);
    }
    return set;
}

bool ledger_exists(const formation& state)
{
    return std::any_of(state.others.begin(), state.others.end(),
                       [](const auto& other) { return other.second.last.has_log; });
}

log_batch first_batch(const voter_set& voters)
{
    log_batch batch;
    batch.start = log_start{};
    batch.hard = hard_state{term{1}, voter_id{}};
    batch.entries.push_back({term{1}, log_index{1}, entry_kind::voters, wire::encode(voters)});
    return batch;
}

} // namespace galenaturn::ledger
