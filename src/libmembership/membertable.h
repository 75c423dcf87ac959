#pragma once

#include "gossipmessages.h"

#include <map>
#include <random>
#include <vector>

namespace galenaturn::membership {

/** How long a suspect may refute the suspicion before it is declared dead. */
constexpr std::chrono::milliseconds suspicion_timeout{3000};
/** Maximum number of changed statuses in one message. */
constexpr std::size_t max_status_updates = 8;

/** This process's view of one member. */
struct member_view {
    member_settings settings;
    member_key key{0};
    incarnation incarnation_number;
    member_status status{member_status::unknown};
    /** For a suspect: when it is declared dead. */
    time_point dead_at;
    /** Number of messages that are still to carry the latest change of status. */
    int retransmits_left{0};
};

/** Status of each process in the settings, from direct contact and reports of others (SWIM). */
class member_table {
public:
    /** `incarnation_number` is that of this process, higher than that of any earlier start. */
    member_table(const std::vector<member_settings>& members, const process_id& self,
                 incarnation incarnation_number);

    /** Merges a reported status. Returns whether the status of a member changed. */
    bool merge(const member_update& update, time_point now);
    /** Marks a member that acknowledged neither direct nor indirect pings as suspect. */
    bool suspect(member_key key, time_point now);
    /** Declares suspects dead whose time to refute has passed. Returns whether a status changed. */
    bool expire(time_point now);

    /**
     * Returns the updates to send to `receiver`: its own status if it has to refute that, recent
     * changes, and the status of a few members in rotation.
     */
    std::vector<member_update> updates_for(member_key receiver);

    [[nodiscard]] const member_view* find(member_key key) const;
    [[nodiscard]] const std::map<member_key, member_view>& all() const { return members_; }
    [[nodiscard]] const member_view& self() const { return members_.at(self_); }
    /** Returns how often this process refuted that it was suspect or dead. */
    [[nodiscard]] std::uint64_t refutations() const { return refutations_; }

private:
    bool merge_self(const member_update& update);
    void set_status(member_view& member, incarnation incarnation_number, member_status status,
                    time_point now);
    [[nodiscard]] int retransmit_limit() const;

    std::map<member_key, member_view> members_;
    member_key self_;
    member_key repeat_cursor_{0};
    std::uint64_t refutations_{0};
};

/** Returns the key that identifies a process in gossip. */
member_key key_of(const process_id& process);
const char* to_string(member_status status);

} // namespace galenaturn::membership
