#include "bootstrap.h"

#include <xxhash.h>

#include <algorithm>

namespace galenaturn::ledger {

voter_id founder_voter(const process_id& process, const std::set<process_id>& founders)
{
    std::string names;
    for (const auto& founder : founders)
        names += founder.value() + '\n';
    const auto digest = XXH3_64bits(names.data(), names.size());
    return voter_id{process.value() + ".founder." + std::to_string(digest)};
}

voter_set founder_voters(const std::set<process_id>& founders)
{
    voter_set set;
    for (const auto& process : founders)
        set.voters.emplace(founder_voter(process, founders), process);
    return set;
}

std::optional<voter_set> initial_voters(const bootstrap_state& state, time_point now)
{
    if (std::find(state.founders.begin(), state.founders.end(), state.self) == state.founders.end())
        return std::nullopt;
    voter_set set;
    set.voters.emplace(state.voter, state.self);
    for (const auto& process : state.founders) {
        if (process == state.self)
            continue;
        if (process < state.self)
            return std::nullopt;
        const auto other = state.last_messages.find(process);
        const bool no_log = other != state.last_messages.end() && !other->second.message.has_log &&
                            now - other->second.received_at < bootstrap_message_ttl;
        if (!no_log)
            return std::nullopt;
        set.voters.emplace(other->second.message.voter, process);
    }
    return set;
}

bool ledger_exists(const bootstrap_state& state)
{
    return std::any_of(state.last_messages.begin(), state.last_messages.end(),
                       [](const auto& other) { return other.second.message.has_log; });
}

log_batch initial_log_batch(const voter_set& voters)
{
    log_batch batch;
    batch.start = log_start{};
    batch.hard = hard_state{term{1}, voter_id{}};
    batch.entries.push_back({term{1}, log_index{1}, entry_kind::voters, wire::encode(voters)});
    return batch;
}

} // namespace galenaturn::ledger
