#pragma once

#include "logfile.h"

#include <map>
#include <vector>

namespace galenaturn::ledger {

/** What control processes tell each other until each one has a log. */
struct formation_message {
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
struct formation {
    process_id self;
    voter_id voter;
    /** The processes that form a new ledger together. */
    std::vector<process_id> controls;
    struct heard {
        formation_message last;
        time_point when;
    };
    std::map<process_id, heard> others;
};

/** How long a message counts. */
constexpr duration formation_message_ttl = std::chrono::seconds{1};

/**
 * Returns the first voters where this process is the one to form the ledger: it has the lowest
 * name, and every control process has just said that it has no log. A process that lost its disk
 * thus never forms a second ledger beside one that any other process knows of.
 */
std::optional<voter_set> first_voters(const formation& state, time_point now);
/** Returns whether some process has said that a ledger exists. */
bool ledger_exists(const formation& state);
/** Returns the log of a new ledger. */
log_batch first_batch(const voter_set& voters);

} // namespace galenaturn::ledger
