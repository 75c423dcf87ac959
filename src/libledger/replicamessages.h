#pragma once

#include "logentry.h"
#include "voterset.h"

#include <variant>
#include <vector>

namespace galenaturn::ledger {

/** Requests a vote, or a pre-vote: whether the receiver would vote; that changes no state. */
struct vote_request {
    bool pre_vote{false};
    term candidate_term;
    log_index last_index;
    term last_term;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pre_vote, candidate_term, last_index, last_term);
    }
};

struct vote_response {
    bool pre_vote{false};
    term candidate_term;
    bool granted{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pre_vote, candidate_term, granted);
    }
};

/** Entries after `previous`; a heartbeat if there are none. */
struct append_request {
    log_index previous;
    term previous_term;
    log_index committed;
    /** Number of the heartbeat round; its acknowledgement renews the leader's lease. */
    std::uint64_t round{0};
    /** Incarnation that the follower last reported: shows that this was sent after its start. */
    std::uint64_t follower_incarnation{0};
    std::vector<log_entry> entries;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(previous, previous_term, committed, round, follower_incarnation, entries);
    }
};

struct append_response {
    bool accepted{false};
    /** If accepted, the follower has synced up to this index; else the leader resends after it. */
    log_index matched;
    std::uint64_t round{0};
    /** Random number drawn at each start of the follower. */
    std::uint64_t incarnation{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(accepted, matched, round, incarnation);
    }
};

/** Part of a snapshot, for a follower that lacks entries before the start of the leader's log. */
struct snapshot_chunk {
    log_index index;
    term index_term;
    voter_set voters;
    std::uint64_t offset{0};
    std::uint64_t size{0};
    std::uint64_t round{0};
    std::string data;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, index_term, voters, offset, size, round, data);
    }
};

struct snapshot_response {
    log_index index;
    /** Number of bytes of the snapshot that the follower has. */
    std::uint64_t received{0};
    std::uint64_t round{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, received, round);
    }
};

using message_body = std::variant<vote_request, vote_response, append_request, append_response,
                                  snapshot_chunk, snapshot_response>;

/** Message to another replica, or to the sender itself once its own disk has synced. */
struct peer_message {
    voter_id from;
    voter_id to;
    term sender_term;
    message_body body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, to, sender_term, body);
    }
};

} // namespace galenaturn::ledger
