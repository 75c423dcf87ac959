#include "membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>

namespace galenaturn::membership {

namespace {

/** Members whose status is repeated in each datagram, so that lost changes are made good. */
constexpr std::size_t slice_size = 3;
constexpr int retransmit_factor = 3;

} // namespace

member_key key_of(const process_id& process)
{
    return XXH32(process.value().data(), process.value().size(), 0);
}

member_table::member_table(const std::vector<member_settings>& members, const process_id& self,
                           incarnation life)
    : self_{key_of(self)}
{
    for (const auto& member : members) {
        const auto key = key_of(member.id);
        const bool added = members_.emplace(key, member_view{member, key, {}, {}, {}, 0}).second;
        GN_INVARIANT(added, {"member", member.id});
    }
    auto& own = members_.at(self_);
    own.life = life;
    own.status = member_status::alive;
    own.retransmits = retransmit_limit();
}

int member_table::retransmit_limit() const
{
    return retransmit_factor * static_cast<int>(std::bit_width(members_.size()));
}

void member_table::set(member_view& member, incarnation life, member_status status, time_point now)
{
    GN_INVARIANT(life >= member.life, {"member", member.settings.id});
    member.life = life;
    member.status = status;
    member.retransmits = retransmit_limit();
    if (status == member_status::suspect)
        member.dead_at = now + suspicion_time;
}

bool member_table::merge_self(const member_update& update)
{
    auto& own = members_.at(self_);
    const bool refute = update.life > own.life ||
                        (update.life == own.life && update.status != member_status::alive);
    if (refute) {
        own.life = update.life.next();
        own.retransmits = retransmit_limit();
        ++refutations_;
    }
    return false;
}

bool member_table::merge(const member_update& update, time_point now)
{
    const auto known = members_.find(update.member);
    if (known == members_.end() || update.status == member_status::unknown ||
        update.status > member_status::dead)
        return false;
    if (update.member == self_)
        return merge_self(update);
    auto& member = known->second;
    const bool newer =
        update.life > member.life || (update.life == member.life && update.status > member.status);
    if (!newer)
        return false;
    const bool changed = update.status != member.status || update.life != member.life;
    set(member, update.life, update.status, now);
    return changed;
}

bool member_table::suspect(member_key key, time_point now)
{
    const auto known = members_.find(key);
    if (known == members_.end() || known->second.status != member_status::alive || key == self_)
        return false;
    set(known->second, known->second.life, member_status::suspect, now);
    return true;
}

bool member_table::expire(time_point now)
{
    bool changed = false;
    for (auto& [key, member] : members_) {
        if (member.status != member_status::suspect || now < member.dead_at)
            continue;
        set(member, member.life, member_status::dead, now);
        changed = true;
    }
    return changed;
}

std::vector<member_update> member_table::updates_for(member_key receiver)
{
    std::vector<member_update> updates;
    const auto add = [&updates](const member_view& member) {
        updates.push_back({member.key, member.life, member.status});
    };
    const auto* target = find(receiver);
    if (target != nullptr && target->status > member_status::alive)
        add(*target);
    for (auto& [key, member] : members_) {
        if (updates.size() >= most_updates)
            break;
        if (member.retransmits == 0 || key == receiver)
            continue;
        --member.retransmits;
        add(member);
    }
    for (std::size_t count = 0; count < std::min(slice_size, members_.size()); ++count) {
        auto next = members_.upper_bound(slice_);
        if (next == members_.end())
            next = members_.begin();
        slice_ = next->first;
        if (next->second.status != member_status::unknown)
            add(next->second);
    }
    return updates;
}

const member_view* member_table::find(member_key key) const
{
    const auto known = members_.find(key);
    return known == members_.end() ? nullptr : &known->second;
}

const char* to_string(member_status status)
{
    static constexpr std::array<const char*, 4> names{"unknown", "alive", "suspect", "dead"};
    return names.at(static_cast<std::size_t>(status));
}

} // namespace galenaturn::membership
