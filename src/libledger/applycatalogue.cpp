#include "applycommands.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

using wire::command_status;

wire::command_response with_version(command_status status, const wire::catalogue_document& version,
                                    std::string reason = {})
{
    auto response = make_response(status, std::move(reason));
    response.version = version.version;
    response.digest = version.digest;
    return response;
}

void remove_old_catalogue_versions(ledger_state& state)
{
    auto& history = state.catalogue_history;
    std::size_t size = 0;
    auto oldest = history.end();
    while (oldest != history.begin()) {
        const auto candidate = std::prev(oldest);
        size += candidate->document.size();
        const auto kept = static_cast<std::size_t>(history.end() - candidate);
        if (kept > 1 &&
            (kept > limits.max_catalogue_versions || size > limits.max_catalogue_history_bytes))
            break;
        oldest = candidate;
    }
    history.erase(history.begin(), oldest);
}

void remember(ledger_state& state, const request_id& id, const std::string& digest,
              const wire::command_response& outcome)
{
    state.writes.push_back({id, digest, outcome});
    if (state.writes.size() > limits.max_recorded_writes)
        state.writes.pop_front();
}

wire::command_response write(apply_context& context, const wire::write_catalogue& body)
{
    auto& state = context.state;
    const auto& current = catalogue_in_force(state);
    if (current.version != body.expected)
        return with_version(command_status::conflict, current,
                            "version " + std::to_string(current.version.value()) + " by '" +
                                current.author + "' is in force, expected was " +
                                std::to_string(body.expected.value()));
    findings found;
    state.entries = parse_catalogue(body.document, "catalogue", found);
    state.catalogue_history.push_back(
        {current.version.next(), body.digest, body.author, body.document});
    remove_old_catalogue_versions(state);
    context.change.catalogue = true;
    return with_version(command_status::accepted, catalogue_in_force(state));
}

} // namespace

const wire::catalogue_document& catalogue_in_force(const ledger_state& state)
{
    static const wire::catalogue_document none;
    return state.catalogue_history.empty() ? none : state.catalogue_history.back();
}

wire::command_response apply(apply_context& context, const wire::write_catalogue& body)
{
    const auto& writes = context.state.writes;
    const auto first = std::find_if(writes.begin(), writes.end(),
                                    [&](const auto& record) { return record.id == context.id; });
    if (first != writes.end() && first->digest != body.digest)
        return make_response(command_status::rejected,
                             "the request id was used for another document");
    if (first != writes.end())
        return first->outcome;
    auto outcome = write(context, body);
    remember(context.state, context.id, body.digest, outcome);
    return outcome;
}

} // namespace galenaturn::ledger
