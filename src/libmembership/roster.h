#pragma once

#include <galenaturn/messages.h>

#include <map>
#include <optional>
#include <vector>

namespace galenaturn::membership {

/** Identity and addresses of one control process. */
struct roster_entry {
    process_id id;
    failure_domain_id domain;
    region_id region;
    ip_endpoint peer;
    ip_endpoint http;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, domain, region, peer, http);
    }
};

/** Sent between processes: the sender, the control processes present at it, and the leader. */
struct roster_message {
    roster_entry self;
    process_role role{process_role::entry};
    /** Control processes that sent the sender a message within presence_timeout. */
    std::vector<roster_entry> controls;
    /** The ledger's leader as known to the sender; empty if it knows none. */
    process_id leader;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(self, role, controls, leader);
    }
};

/** The control processes that a process has discovered through the seeds in its settings. */
struct roster {
    roster_entry self;
    process_role role{process_role::entry};
    struct known_control {
        roster_entry entry;
        /** When its last message was received; empty if only others reported it. */
        std::optional<time_point> last_seen;
        /** When it was first reported or seen. */
        time_point learned_at;
        /** Listed in the settings: never forgotten, since it may restart at any time. */
        bool seed{false};
    };
    std::map<process_id, known_control> controls;
};

/** How long a control process is present after its last message; three exchanges may be lost. */
constexpr duration presence_timeout = std::chrono::seconds{2};
/** A control process without messages for this long is forgotten; longer than any restart takes. */
constexpr duration forget_timeout = std::chrono::seconds{30};

/** Returns the roster of a starting process, which holds only its seeds. */
roster make_roster(const process_settings& settings, time_point now);
/** Merges a received message. Returns the control processes that were not known before. */
std::vector<roster_entry> on_roster_message(roster& state, const roster_message& message,
                                            time_point now);
/** Forgets control processes without messages for forget_timeout and returns their names. */
std::vector<process_id> forget_silent(roster& state, time_point now);
/** Returns whether a message of `process` itself was received within presence_timeout. */
bool is_present(const roster& state, const process_id& process, time_point now);
/** Returns the message that this process sends to others. */
roster_message make_message(const roster& state, const process_id& leader, time_point now);
/** Returns the entry as a member for the peer directory. */
member_settings to_member(const roster_entry& entry);

} // namespace galenaturn::membership
