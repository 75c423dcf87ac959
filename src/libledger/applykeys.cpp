#include "applycommands.h"

namespace galenaturn::ledger {

namespace {

using wire::command_status;

wire::command_response respond_to_known_key(const key_record& record, const request_id& id,
                                            const wire::reserve_key& body)
{
    if (record.digest != body.digest)
        return make_response(command_status::rejected, "the key was used for another request");
    if (record.reservation == id && !record.answer)
        return make_response(command_status::accepted);
    auto response = make_response(command_status::duplicate);
    response.answer = record.answer;
    return response;
}

using key_iterator = std::map<key_name, key_record>::iterator;

key_iterator erase_key(ledger_state& state, key_iterator key)
{
    const auto key_count = state.keys_per_owner.find(std::get<owner_id>(key->first));
    if (--key_count->second == 0)
        state.keys_per_owner.erase(key_count);
    return state.keys.erase(key);
}

} // namespace

wire::command_response apply(apply_context& context, const wire::reserve_key& body)
{
    auto& state = context.state;
    const key_name name{body.owner, body.service, body.key};
    const auto existing = state.keys.find(name);
    if (existing != state.keys.end() && existing->second.expires > state.clock)
        return respond_to_known_key(existing->second, context.id, body);
    if (existing != state.keys.end())
        erase_key(state, existing);
    const auto key_count = state.keys_per_owner.find(body.owner);
    if (key_count != state.keys_per_owner.end() && key_count->second >= limits.max_keys_per_owner)
        return make_response(command_status::rejected, "the owner has too many idempotency keys");
    if (state.keys.size() >= limits.max_keys)
        return make_response(command_status::rejected, "the ledger has too many idempotency keys");
    state.keys.emplace(name, key_record{body.digest, context.id, body.entry, body.expires, {}});
    ++state.keys_per_owner[body.owner];
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::complete_key& body)
{
    const auto existing = context.state.keys.find({body.owner, body.service, body.key});
    if (existing == context.state.keys.end())
        return make_response(command_status::duplicate, "the key is not reserved");
    auto& record = existing->second;
    if (record.reservation != body.reservation)
        return make_response(command_status::rejected, "the key is reserved for another request");
    if (record.answer)
        return make_response(command_status::duplicate);
    if (body.answer)
        record.answer = body.answer;
    else
        erase_key(context.state, existing);
    return make_response(command_status::accepted);
}

void remove_expired_keys(ledger_state& state)
{
    for (auto key = state.keys.begin(); key != state.keys.end();) {
        if (key->second.expires <= state.clock)
            key = erase_key(state, key);
        else
            ++key;
    }
}

} // namespace galenaturn::ledger
