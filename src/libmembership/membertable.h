#pragma once

#include "gossipmessages.h"

#include <map>
#include <random>
#include <vector>

namespace galenaturn::membership {

/** How long a suspect may refute before it is held dead. */
constexpr std::chrono::milliseconds suspicion_time{3000};
/** Changes of status that one datagram carries at most. */
constexpr std::size_t most_updates = 8;

/** One process as this one sees it. */
struct member_view {
    member_settings settings;
    member_key key{0};
    incarnation life;
    member_status status{member_status::unknown};
    /** Suspect only: when it is held dead. */
    time_point dead_at;
    /** How often the latest change of status is still to be passed on. */
    int retransmits{0};
};

/** Which of the processes in the settings are alive, by direct contact and by hearsay. */
class member_table {
public:
    /** `life` is this process's own; later than that of any earlier start. */
    member_table(const std::vector<member_settings>& members, const process_id& self,
                 incarnation life);

    /** Takes an update. Returns whether the status of a member changed. */
    bool merge(const member_update& update, time_point now);
    /** Suspects a member that answered neither directly nor through others. */
    bool suspect(member_key key, time_point now);
    /** Holds suspects dead whose time has run out. Returns whether a status changed. */
    bool expire(time_point now);

    /** Returns updates to pass on to `receiver`: what it must refute, changes, and a slice of all.
     */
    std::vector<member_update> updates_for(member_key receiver);

    [[nodiscard]] const member_view* find(member_key key) const;
    [[nodiscard]] const std::map<member_key, member_view>& all() const { return members_; }
    [[nodiscard]] const member_view& self() const { return members_.at(self_); }
    /** How often this process refuted that it was suspect or dead. */
    [[nodiscard]] std::uint64_t refutations() const { return refutations_; }

private:
    bool merge_self(const member_update& update);
    void set(member_view& member, incarnation life, member_status status, time_point now);
    [[nodiscard]] int retransmit_limit() const;

    std::map<member_key, member_view> members_;
    member_key self_;
    member_key slice_{0};
    std::uint64_t refutations_{0};
};

/** Returns the key of a process. */
member_key key_of(const process_id& process);
const char* to_string(member_status status);

} // namespace galenaturn::membership
