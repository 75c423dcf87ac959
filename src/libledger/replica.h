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

/** Timeouts and limits of a replica. */
struct replica_options {
    /** A follower does not vote within this time after a message of the leader. */
    duration election_timeout{std::chrono::milliseconds{1000}};
    /**
     * An election starts up to this much after the election timeout, drawn at random. Many times a
     * round of votes with its syncs, so that two candidates rarely split the votes.
     */
    duration election_spread{std::chrono::milliseconds{400}};
    duration heartbeat_interval{std::chrono::milliseconds{250}};
    /** Shorter than election_timeout: expires before a follower with a faster clock may vote. */
    duration lease{std::chrono::milliseconds{900}};
    /**
     * A leader whose own log waits this long for its disk steps down; as a follower it is silent
     * and is replaced. Longer than stalls of a second or two, which should cost no election.
     */
    duration max_own_sync_time{std::chrono::milliseconds{3000}};
    /** Maximum payload of one append message. */
    std::size_t max_batch_bytes{std::size_t{256} << 10};
    /** Maximum payload in flight to one follower. */
    std::size_t max_in_flight_bytes{std::size_t{1} << 20};
    /** Maximum size of one chunk of a snapshot. */
    std::size_t max_chunk_bytes{std::size_t{256} << 10};
    /** Maximum payload of uncommitted entries; no proposals are accepted above it. */
    std::size_t max_backlog_bytes{std::size_t{8} << 20};
    /** Size of the log kept before a snapshot, for followers that are slightly behind. */
    std::size_t retained_log_bytes{std::size_t{1} << 20};
    /** While a snapshot is sent, the entries after it are kept up to this size of the log. */
    std::size_t max_log_bytes_during_transfer{std::size_t{16} << 20};
};

/** Injected bugs for tests which show that the simulation detects them; off otherwise. */
struct replica_faults {
    bool votes_twice{false};
    bool acknowledges_before_sync{false};
    bool commits_earlier_terms{false};
    bool skips_quorum_check{false};
    bool accepts_old_terms{false};
    bool ignores_leader_lease{false};
    bool overlaps_voter_changes{false};
    bool ignores_candidate_log{false};
    bool reads_without_lease{false};
    bool reads_without_round{false};
    bool counts_lease_from_receipt{false};
    bool ignores_own_promise{false};
    bool forgets_promise_at_start{false};
    bool trusts_delayed_appends{false};
};

/** A leader's view of one follower. */
struct follower_progress {
    /** Highest index known to be synced by the follower. */
    log_index matched;
    /** Index of the next entry to send. */
    log_index next;
    /** For the leader itself: when its disk had last completed a write, or had none to do. */
    time_point last_contact;
    std::uint64_t acknowledged_round{0};
    std::uint64_t incarnation{0};
    std::size_t bytes_in_flight{0};
    /** Number of snapshot bytes that the follower has, while one is sent. */
    std::optional<std::uint64_t> snapshot_offset;
    time_point resend_due;
};

/** Snapshot of the state at a log index; replaces the log up to it. */
struct state_snapshot {
    log_index index;
    term index_term;
    voter_set voters;
    std::string data;
};

/** State of one Raft replica, without I/O. Changed only by the functions below. */
struct replica {
    voter_id self;
    replica_options options;
    replica_faults faults;
    const state_chart* chart{nullptr};
    std::mt19937_64 random; // NOLINT(bugprone-random-generator-seed): seeded by make_replica

    hard_state hard;
    replica_log log;
    log_index committed;
    /** Index of the last entry passed to the state machine. */
    log_index applied;

    std::string role;
    bool leads{false};
    voter_id leader;
    /** The last other leader that sent a message, and when. */
    voter_id previous_leader;
    time_point previous_leader_contact;
    time_point election_due;
    time_point votes_withheld_until;
    /** Random number drawn at each start; identifies messages from before a restart. */
    std::uint64_t incarnation{0};
    /**
     * Whether the log has reached a commit index of the current term that a leader sent after this
     * start. From then on the state is no older than what was read here before the restart.
     */
    bool caught_up{false};

    std::set<voter_id> votes;
    std::map<voter_id, follower_progress> progress;
    struct heartbeat_round {
        std::uint64_t number{0};
        time_point sent;
        /** Commit index when the round began. */
        log_index committed;
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

/**
 * Actions that a step requires. The caller writes to the disk in the order of the members; the
 * messages in `after_sync` wait until the writes are synced.
 */
struct effects {
    std::optional<hard_state> hard;
    /** Received snapshot; replaces the log and the state up to its index. */
    std::optional<state_snapshot> installed;
    std::optional<log_index> truncate_after;
    std::vector<log_entry> entries;
    /** May be sent at once. */
    std::vector<peer_message> messages;
    /** May be sent, also to this replica itself, only when all writes so far are synced. */
    std::vector<peer_message> after_sync;
    /** Committed entries for the state machine, in order. */
    std::vector<log_entry> committed;
    /** The leader needs offer_snapshot: a follower lacks entries before the start of the log. */
    bool snapshot_needed{false};
    bool role_changed{false};
    /** The event of the state chart that changed the role. */
    std::string role_change_cause;
    /** How much was left of the lease of a leader that has ceased to lead. */
    duration lease_left{};
    /**
     * Another leader, of a later term, that was elected within this leader's lease: a clock or a
     * voter did not keep its promise.
     */
    voter_id contradicting_leader;
};

/** Parameters of make_replica; `hard` and `log` are as loaded from the disk. */
struct replica_start {
    voter_id self;
    hard_state hard;
    replica_log log;
    replica_options options;
    replica_faults faults;
    const state_chart* chart{nullptr};
    std::uint64_t seed{0};
};

/** Why a voter change is refused; empty if the change was started. */
using refusal_reason = std::string;

enum class voter_change_kind : std::uint8_t {
    add_learner,
    promote,
    remove,
    /** A learner takes the place of a voter; the set is joint until `complete`. */
    replace,
    /** Ends a joint set: the replaced voter is a member no longer. */
    complete,
};

struct voter_change {
    voter_change_kind kind{voter_change_kind::add_learner};
    voter_id voter;
    process_id process;
    /** The voter whose place the learner takes, for `replace`. */
    voter_id replaced;
};

/** Returns the names of the actions that the state chart "replica" uses. */
std::vector<std::string> replica_actions();
replica make_replica(replica_start start, time_point now);

/** Handles elapsed time: elections, heartbeats, resends, quorum checks. */
effects tick(replica& self, time_point now);
effects receive(replica& self, time_point now, const peer_message& message);
/**
 * Appends commands to the leader's log. `indexes` stays empty if this replica does not lead or its
 * backlog is too large.
 */
effects propose(replica& self, time_point now, std::vector<std::string> commands,
                std::vector<log_index>& indexes);
effects change_voters(replica& self, time_point now, const voter_change& change,
                      refusal_reason& reason);
/** Gives the leader a snapshot of the state at `applied`, for followers that lack older entries. */
effects offer_snapshot(replica& self, time_point now, std::string data);
/** Removes entries that a snapshot covers, except for the last retained_log_bytes. */
void compact_log(replica& self, log_index snapshot_index);

/** Returns whether a read here is linearizable: leader with a valid lease, all commits applied. */
bool may_read(const replica& self, time_point now);
/**
 * Begins a round of heartbeats. A read that arrived before it is linearizable once
 * `confirmed_round` has reached `round`, whatever the clocks show (ReadIndex of Raft). `round` is 0
 * if this replica does not lead.
 */
effects begin_read(replica& self, time_point now, std::uint64_t& round);
/**
 * Returns the newest round that a quorum has acknowledged to this leader; 0 if it does not lead or
 * has not yet applied all that was committed before its term.
 */
std::uint64_t confirmed_round(const replica& self);
/**
 * Returns whether a replica has to announce itself to other control processes: it has no log, the
 * voter set it knows does not contain it, or no leader sends it messages. A voter that was replaced
 * during a long silence becomes a candidate again in this way.
 */
bool needs_announcement(const replica& self);
/**
 * Returns whether a member holds everything that was committed when the leader sent the heartbeat
 * that the member last responded to. Requiring the present commit index would keep a learner that
 * syncs slightly later than a quorum from being promoted while commands arrive without a pause.
 */
bool has_caught_up(const replica& leader, const voter_id& member);
/** Returns whether `voter` is a voter or learner of the voter set in force. */
bool is_member(const replica& self, const voter_id& voter);
/** Returns whether proposals are accepted: this replica leads and its backlog has space. */
bool may_propose(const replica& self);
/** Returns whether this replica leads, and its disk has not written its log for too long. */
bool disk_hangs(const replica& self, time_point now);
/** Returns when tick has to be called next. */
time_point next_tick(const replica& self);

} // namespace galenaturn::ledger
