#pragma once

#include <galenaturn/messages.h>

#include <map>
#include <optional>
#include <vector>

namespace galenaturn::membership {

/** One control process as others tell of it. */
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

/** What one process tells another: itself, the control processes it has heard, and the leader. */
struct roster_message {
    roster_entry self;
    process_role role{process_role::entry};
    /** Control processes that the sender itself has heard lately. */
    std::vector<roster_entry> controls;
    /** The ledger's leader as far as the sender knows, empty where it knows none. */
    process_id leader;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(self, role, controls, leader);
    }
};

/** The control processes that a process knows, without a list in its settings. */
struct roster {
    roster_entry self;
    process_role role{process_role::entry};
    struct known {
        roster_entry entry;
        /** When this process itself heard it last; nothing where only others told of it. */
        std::optional<time_point> heard;
        time_point learned;
        /** Named in the settings: never forgotten, since it may come back at any time. */
        bool seed{false};
    };
    std::map<process_id, known> controls;
};

/** A control process counts as present for this long: three exchanges may be lost. */
constexpr duration presence_limit = std::chrono::seconds{2};
/** One that nobody has heard for this long is forgotten: longer than any restart takes. */
constexpr duration forget_limit = std::chrono::seconds{30};

/** Returns the roster of a process that knows only its seeds. */
roster make_roster(const process_settings& settings, time_point now);
/** Takes a message of `from`. Returns the control processes that were not known before. */
std::vector<roster_entry> hear(roster& state, const roster_message& message, time_point now);
/** Forgets who was silent for too long and returns their names. */
std::vector<process_id> forget_silent(roster& state, time_point now);
/** Returns whether this process itself has heard `process` within presence_limit. */
bool is_present(const roster& state, const process_id& process, time_point now);
/** Returns what this process tells others. */
roster_message make_message(const roster& state, const process_id& leader, time_point now);
/** Returns a member of the peer directory. */
member_settings to_member(const roster_entry& entry);

} // namespace galenaturn::membership
