#pragma once

#include "replica.h"

namespace galenaturn::ledger {

/** Parameters of one step: replica, time and resulting effects. Private to the library. */
struct step_context {
    replica& self;
    time_point now;
    effects& out;
};

// Roles and terms.
void raise_event(step_context& context, std::string_view event);
void adopt_term(step_context& context, term higher);
void accept_leader(step_context& context, const voter_id& leader);
void reset_election_timer(step_context& context);
void save_hard_state(step_context& context);

// Elections.
void request_pre_votes(step_context& context);
void request_votes(step_context& context);
void handle(step_context& context, const peer_message& message, const vote_request& request);
void handle(step_context& context, const peer_message& message, const vote_response& response);

// The log.
void become_leader(step_context& context);
void step_down(step_context& context);
log_index append_to_own_log(step_context& context, entry_kind kind, std::string payload);
void acknowledge_own_log(step_context& context);
/** Returns the progress of a member that the leader starts to replicate to. */
follower_progress initial_progress(const step_context& context);
void begin_round(step_context& context);
/** Begins a round and sends it to all members. */
void send_heartbeats(step_context& context);
/** Returns the newest round that a quorum has acknowledged. */
std::uint64_t acknowledged_round(const replica& self);
void replicate(step_context& context);
void replicate_to(step_context& context, const voter_id& follower, bool heartbeat);
void advance_commit(step_context& context);
void deliver_committed(step_context& context);
/** Returns the leader and the members that responded to it within the last election timeout. */
std::set<voter_id> responding_members(const step_context& context);
void check_quorum(step_context& context);
void renew_lease(step_context& context);
void record_contact(step_context& context, follower_progress& follower, std::uint64_t round);
void handle(step_context& context, const peer_message& message, const append_request& request);
void handle(step_context& context, const peer_message& message, const append_response& response);

// Snapshots.
void send_snapshot(step_context& context, const voter_id& follower, follower_progress& progress);
void handle(step_context& context, const peer_message& message, const snapshot_chunk& chunk);
void handle(step_context& context, const peer_message& message, const snapshot_response& response);

/** Queues a message that may be sent at once. */
void send(step_context& context, const voter_id& to, message_body body);
/** Queues a message that is sent when all writes so far are synced. */
void send_after_sync(step_context& context, const voter_id& to, message_body body);
bool is_voter(const replica& self, const voter_id& voter);
/**
 * Returns whether this replica takes part in elections as a candidate. One whose own removal is not
 * known to be committed does: the other voters may need its vote, which it refuses to shorter logs.
 * It is elected by the voters in force, without its own vote, and leads until the removal is
 * committed.
 */
bool may_campaign(const replica& self);

} // namespace galenaturn::ledger
