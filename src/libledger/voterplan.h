#pragma once

#include "replica.h"

#include <map>
#include <optional>

namespace galenaturn::ledger {

/** Input for planning the next voter change at the leader. */
struct voter_plan_input {
    voter_set set;
    /** Time since the leader last received a message from each member; 0 for itself. */
    std::map<voter_id, duration> silence;
    /** Learners that have not responded since they were added. */
    std::vector<voter_id> unanswered;
    /** Learners that may be promoted. */
    std::vector<voter_id> caught_up;
    /** Processes that recently announced a voter that the leader does not replicate to. */
    std::map<voter_id, process_id> candidates;
    /** Failure domain of each process, where it is known. */
    std::map<process_id, failure_domain_id> domains;
    /** The leader, which is never removed. */
    voter_id leader;
    /** Number of voters needed to tolerate the configured number of lost disks. */
    std::size_t target_voters{3};
};

/** A new learner that has not responded within this time keeps no other candidate out. */
constexpr duration first_response_timeout = std::chrono::milliseconds{150};
/** A replacement for a silent voter starts to catch up after this time. */
constexpr duration learner_delay = std::chrono::milliseconds{600};
/**
 * A silent voter is exchanged after this time. Longer than an election, and short enough that the
 * group tolerates the next loss before a replaced process counts as recovered.
 */
constexpr duration max_voter_silence = std::chrono::milliseconds{1500};
/**
 * A learner is promoted only if it responded within this time, a heartbeat and its response. No
 * quorum depends on it, but one that has stopped would have to be replaced in turn.
 */
constexpr duration max_promotion_silence = std::chrono::milliseconds{300};
/** A silent learner is removed after this time. */
constexpr duration max_learner_silence = std::chrono::seconds{3};

/**
 * Returns the next voter change towards the target number of voters, or nothing. A voter is lost if
 * it was silent for max_voter_silence or its process came back with an empty disk. A candidate
 * catches up as a learner, then it takes the place of the lost voter through a joint set: neither
 * the voters that remain nor the one that may come back depend on the newest one. Candidates in
 * failure domains with few voters come first; a domain keeps at most as many voters as may be lost
 * if candidates elsewhere allow it.
 */
std::optional<voter_change> plan_voter_change(const voter_plan_input& input);

/** Returns the voters that are lost, beside which the group tolerates fewer further losses. */
std::map<voter_id, process_id> lost_voters(const voter_plan_input& input);

/** What a voter without a leader knows of the others. */
struct voter_contacts {
    std::size_t voters{0};
    /** Voters that responded recently, this one included. */
    std::size_t responding{0};
    /** Voters whose process announced another voter, since it lost its disk. */
    std::size_t lost_disks{0};
};

/** What a replica knows of a leader. */
enum class leader_contact : std::uint8_t {
    /** It leads, follows a leader, or needs none. */
    known,
    /** A leader says that it leads, but does not replicate to this voter. */
    not_contacted,
    missing
};

/** Returns the contact of a replica to which `reported_leader` says that it leads, if not empty. */
leader_contact contact_with_leader(const replica& self, const process_id& reported_leader);

/** Counts the voters that `announced` contains, with the voters that processes announced. */
voter_contacts count_contacts(const replica& self, const std::map<voter_id, process_id>& announced);

/** Returns the input at a leader; `candidates` may contain members, which are left out. */
voter_plan_input make_voter_plan_input(const replica& leader, time_point now,
                                       std::map<voter_id, process_id> candidates,
                                       std::map<process_id, failure_domain_id> domains,
                                       std::size_t target_voters);

} // namespace galenaturn::ledger
