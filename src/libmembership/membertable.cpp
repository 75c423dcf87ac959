#include "membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>

namespace galenaturn::membership {

namespace {

/** Number of members whose status each message repeats, in rotation, to repair lost changes. */
constexpr std::size_t repeated_members = 3;
/** A change of status is sent this many times the bit width of the member count. */
constexpr int retransmit_factor = 3;

} // namespace

member_key key_of(const process_id& process)
{
    return XXH32(process.value().data(), process.value().size(), 0);
}

member_table::member_table(const std::vector<member_settings>& members, const process_id& self,
                           incarnation incarnation_number)
    : self_{key_of(self)}
{
    for (const auto& member : members) {
        const auto key = key_of(member.id);
        const bool added = members_.emplace(key, member_view{member, key, {}, {}, {}, 0}).second;
        GN_INVARIANT(added, {"member", member.id});
    }
    auto& own = members_.at(self_);
    own.incarnation_number = incarnation_number;
    own.status = member_status::alive;
    own.retransmits_left = retransmit_limit();
}

int member_table::retransmit_limit() const
{
    return retransmit_factor * static_cast<int>(std::bit_width(members_.size()));
}

void member_table::set_status(member_view& member, incarnation incarnation_number,
                              member_status status, time_point now)
{
    GN_INVARIANT(incarnation_number >= member.incarnation_number, {"member", member.settings.id});
    member.incarnation_number = incarnation_number;
    member.status = status;
    member.retransmits_left = retransmit_limit();
    if (status == member_status::suspect)
        member.dead_at = now + suspicion_timeout;
}

bool member_table::merge_self(const member_update& update)
{
    auto& own = members_.at(self_);
    const bool refute = update.incarnation_number > own.incarnation_number ||
                        (update.incarnation_number == own.incarnation_number &&
                         update.status != member_status::alive);
    if (refute) {
        own.incarnation_number = update.incarnation_number.next();
        own.retransmits_left = retransmit_limit();
        ++refutations_;
    }
    return false;
}

bool member_table::merge(const member_update& update, time_point now)
{
    const auto found = members_.find(update.member);
    if (found == members_.end() || update.status == member_status::unknown ||
        update.status > member_status::dead)
        return false;
    if (update.member == self_)
        return merge_self(update);
    auto& member = found->second;
    const bool newer =
        update.incarnation_number > member.incarnation_number ||
        (update.incarnation_number == member.incarnation_number && update.status > member.status);
    if (!newer)
        return false;
    const bool changed =
        update.status != member.status || update.incarnation_number != member.incarnation_number;
    set_status(member, update.incarnation_number, update.status, now);
    return changed;
}

bool member_table::suspect(member_key key, time_point now)
{
    const auto found = members_.find(key);
    if (found == members_.end() || found->second.status != member_status::alive || key == self_)
        return false;
    set_status(found->second, found->second.incarnation_number, member_status::suspect, now);
    return true;
}

bool member_table::expire(time_point now)
{
    bool changed = false;
    for (auto& [key, member] : members_) {
        if (member.status != member_status::suspect || now < member.dead_at)
            continue;
        set_status(member, member.incarnation_number, member_status::dead, now);
        changed = true;
    }
    return changed;
}

std::vector<member_update> member_table::updates_for(member_key receiver)
{
    std::vector<member_update> updates;
    const auto add = [&updates](const member_view& member) {
        updates.push_back({member.key, member.incarnation_number, member.status});
    };
    const auto* target = find(receiver);
    if (target != nullptr && target->status > member_status::alive)
        add(*target);
    for (auto& [key, member] : members_) {
        if (updates.size() >= max_status_updates)
            break;
        if (member.retransmits_left == 0 || key == receiver)
            continue;
        --member.retransmits_left;
        add(member);
    }
    for (std::size_t count = 0; count < std::min(repeated_members, members_.size()); ++count) {
        auto next = members_.upper_bound(repeat_cursor_);
        if (next == members_.end())
            next = members_.begin();
        repeat_cursor_ = next->first;
        if (next->second.status != member_status::unknown)
            add(next->second);
    }
    return updates;
}

const member_view* member_table::find(member_key key) const
{
    const auto found = members_.find(key);
    return found == members_.end() ? nullptr : &found->second;
}

const char* to_string(member_status status)
{
    static constexpr std::array<const char*, 4> names{"unknown", "alive", "suspect", "dead"};
    return names.at(static_cast<std::size_t>(status));
}

} // namespace galenaturn::membership
