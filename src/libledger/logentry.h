#pragma once

#include <galenaturn/messages.h>

#include <string>

namespace galenaturn::ledger {

enum class entry_kind : std::uint8_t {
    /** First entry of each term; commits what earlier terms left. */
    empty,
    /** A command for the state machine. */
    command,
    /** A voter_set, in force from the moment it is in the log. */
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

/** What a voter must remember of elections before it answers. */
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
