#pragma once

#include "logfile.h"

#include <map>
#include <vector>

namespace galenaturn::ledger {

/** What control processes tell each other until each one has a log. */
struct bootstrap_message {
    process_id process;
    voter_id voter;
    bool has_log{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(process, voter, has_log);
    }
};

/** What a process without a log knows of the other control processes of its settings. */
struct bootstrap_state {
    process_id self;
    voter_id voter;
    /** The processes that form a new ledger together. */
    std::vector<process_id> founders;
    struct received_message {
        bootstrap_message message;
        time_point received_at;
    };
    std::map<process_id, received_message> last_messages;
};

/** How long a message counts. */
constexpr duration bootstrap_message_ttl = std::chrono::seconds{1};

/**
 * Returns the first voters where this process is the one to form the ledger: it has the lowest
 * name, and every control process has just said that it has no log. A process that lost its disk
 * thus never forms a second ledger beside one that any other process knows of.
 */
std::optional<voter_set> initial_voters(const bootstrap_state& state, time_point now);
/** Returns whether some process has said that a ledger exists. */
bool ledger_exists(const bootstrap_state& state);
/** Returns the log of a new ledger. */
log_batch initial_log_batch(const voter_set& voters);

} // namespace galenaturn::ledger
