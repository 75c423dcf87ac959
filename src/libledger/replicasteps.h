#pragma once

#include "replica.h"

namespace galenaturn::ledger {

/** One step under way: the replica, the time and what is to be done. Private to the library. */
struct step {
    replica& self;
    time_point now;
    effects& out;
};

// Roles and terms.
void raise_event(step& at, std::string_view event);
void adopt_term(step& at, term higher);
void expect_leader(step& at, const voter_id& leader);
void reset_election(step& at);
void save_hard_state(step& at);

// Elections.
void ask_trial_votes(step& at);
void ask_votes(step& at);
void handle(step& at, const peer_message& message, const vote_request& request);
void handle(step& at, const peer_message& message, const vote_response& response);

// The log.
void lead(step& at);
void cease_to_lead(step& at);
log_index append_own(step& at, entry_kind kind, std::string payload);
void acknowledge_own_log(step& at);
void begin_round(step& at);
void replicate(step& at);
void replicate_to(step& at, const voter_id& follower, bool heartbeat);
void advance_commit(step& at);
void deliver_committed(step& at);
void watch_quorum(step& at);
void renew_lease(step& at);
void note_heard(step& at, follower_progress& follower, std::uint64_t round);
void handle(step& at, const peer_message& message, const append_request& request);
void handle(step& at, const peer_message& message, const append_response& response);

// Images.
void send_image(step& at, const voter_id& follower, follower_progress& progress);
void handle(step& at, const peer_message& message, const image_chunk& chunk);
void handle(step& at, const peer_message& message, const image_response& response);

/** Queues a message that may leave at once. */
void send(step& at, const voter_id& to, message_body body);
/** Queues a message that waits for the writes so far. */
void send_after_sync(step& at, const voter_id& to, message_body body);
/** Returns whether voters and learners of the log in force have `voter`. */
bool is_member(const replica& self, const voter_id& voter);
bool is_voter(const replica& self, const voter_id& voter);

} // namespace galenaturn::ledger
