#pragma once

#include <galenaturn/messages.h>

#include <string>

namespace galenaturn::ledger {

enum class entry_kind : std::uint8_t {
    /** First entry of each term; its commit also commits the entries of earlier terms. */
    empty,
    /** A command for the state machine. */
    command,
    /** A voter_set; takes effect when it is appended, not when it is committed. */
    voters,
};

/** One entry of the replicated log. */
struct log_entry {
    term entry_term;
    log_index index;
    entry_kind kind{entry_kind::empty};
    std::string payload;

    bool operator==(const log_entry&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(entry_term, index, kind, payload);
    }
};

/** Election state (Raft's persistent state) that a voter syncs before it responds. */
struct hard_state {
    term current_term;
    voter_id voted_for;

    bool operator==(const hard_state&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(current_term, voted_for);
    }
};

} // namespace galenaturn::ledger
