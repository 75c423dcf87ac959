#pragma once

#include "replicalog.h"
#include "replicamessages.h"

#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::ledger {

/** Times and bounds of a replica. */
struct replica_options {
    /** A follower that heard a leader this recently votes for nobody else. */
    duration election_timeout{std::chrono::milliseconds{1000}};
    duration heartbeat_interval{std::chrono::milliseconds{250}};
    /** The leader's lease ends before a follower, whose clock may be faster, votes again. */
    duration lease{std::chrono::milliseconds{900}};
    /** Bounds one append message. */
    std::size_t max_batch_bytes{std::size_t{256} << 10};
    /** Bounds what is under way to one follower. */
    std::size_t max_in_flight_bytes{std::size_t{1} << 20};
    /** Bounds one part of an image. */
    std::size_t max_chunk_bytes{std::size_t{256} << 10};
    /** Bounds the log of proposals that no quorum has confirmed yet. */
    std::size_t max_backlog_bytes{std::size_t{8} << 20};
    /** Kept of the log behind an image, for followers that are slightly behind. */
    std::size_t retained_log_bytes{std::size_t{1} << 20};
    /** An image under way holds the log back to this size, so that entries follow it. */
    std::size_t max_log_bytes_during_transfer{std::size_t{16} << 20};
};

/** Seeded bugs, all off outside the tests that show that the randomised run finds each. */
struct replica_faults {
    bool votes_twice{false};
    bool acknowledges_before_sync{false};
    bool commits_earlier_terms{false};
    bool skips_quorum_check{false};
    bool accepts_old_terms{false};
    bool ignores_leader_lease{false};
    bool overlaps_voter_changes{false};
    bool ignores_candidate_log{false};
};

/** What a leader knows of one follower. */
struct follower_progress {
    log_index matched;
    log_index next;
    time_point last_contact;
    std::uint64_t acknowledged_round{0};
    std::uint64_t incarnation{0};
    std::size_t bytes_in_flight{0};
    /** Part of the image that the follower has, while one is sent. */
    std::optional<std::uint64_t> snapshot_offset;
    time_point resend_due;
};

/** The image that a leader sends to followers behind its log. */
struct state_snapshot {
    log_index index;
    term index_term;
    voter_set voters;
    std::string data;
};

/** One replica, as a plain value; the functions below are its only way forward. */
struct replica {
    voter_id self;
    replica_options options;
    replica_faults faults;
    const state_chart* chart{nullptr};
    std::mt19937_64 random; // NOLINT(bugprone-random-generator-seed): seeded by make_replica

    hard_state hard;
    replica_log log;
    log_index committed;
    /** What was handed out for the state machine. */
    log_index applied;

    std::string role;
    bool leads{false};
    voter_id leader;
    time_point election_due;
    time_point votes_withheld_until;
    /** Differs at each start, so that messages from before it can be told. */
    std::uint64_t incarnation{0};
    /** Whether a leader's commit of its own term, heard since the start, was reached. */
    bool caught_up{false};

    std::set<voter_id> votes;
    std::map<voter_id, follower_progress> progress;
    struct heartbeat_round {
        std::uint64_t number{0};
        time_point sent;
    };
    std::deque<heartbeat_round> rounds;
    std::uint64_t last_round{0};
    time_point heartbeat_due;
    time_point lease_expires;
    time_point leader_since;
    std::optional<state_snapshot> outgoing_snapshot;
    state_snapshot incoming_snapshot;
    std::uint64_t incoming_snapshot_bytes{0};
};

/** What a step wants done. Writes first and in this order, then `after_sync`, then the rest. */
struct effects {
    std::optional<hard_state> hard;
    /** Replaces log and state up to its index. */
    std::optional<state_snapshot> installed;
    std::optional<log_index> truncate_after;
    std::vector<log_entry> entries;
    /** May leave at once. */
    std::vector<peer_message> messages;
    /** May leave, also to this replica itself, only when all writes so far are synced. */
    std::vector<peer_message> after_sync;
    /** For the state machine, in order. */
    std::vector<log_entry> committed;
    /** The leader needs offer_image for a follower that is behind its log. */
    bool snapshot_needed{false};
    bool role_changed{false};
};

/** What a replica starts from: its disk. */
struct replica_start {
    voter_id self;
    hard_state hard;
    replica_log log;
    replica_options options;
    replica_faults faults;
    const state_chart* chart{nullptr};
    std::uint64_t seed{0};
};

/** Why a change of the voters is refused; empty where it was begun. */
using refusal_reason = std::string;

enum class voter_change_kind : std::uint8_t { add_learner, promote, remove };

struct voter_change {
    voter_change_kind kind{voter_change_kind::add_learner};
    voter_id voter;
    process_id process;
};

/** Returns the names of the actions of the chart "replica". */
std::vector<std::string> replica_actions();
replica make_replica(replica_start start, time_point now);

/** Lets time pass: elections, heartbeats, resends, the check for a quorum. */
effects tick(replica& self, time_point now);
effects receive(replica& self, time_point now, const peer_message& message);
/** Appends commands. Returns no indexes where this replica does not lead or too much waits. */
effects propose(replica& self, time_point now, std::vector<std::string> commands,
                std::vector<log_index>& indexes);
effects change_voters(replica& self, time_point now, const voter_change& change,
                      refusal_reason& reason);
/** Gives the leader an image of the state at `applied`, for followers behind its log. */
effects offer_snapshot(replica& self, time_point now, std::string data);
/** Forgets entries that a synced image covers, except for the last ones. */
void compact_log(replica& self, log_index snapshot_index);

/** Returns whether a read here now sees every commit that was ever acknowledged. */
bool may_read(const replica& self, time_point now);
/** Returns whether proposals are taken: this replica leads and its backlog is within bounds. */
bool may_propose(const replica& self);
/** Returns when tick wants to be called next. */
time_point next_tick(const replica& self);

} // namespace galenaturn::ledger
