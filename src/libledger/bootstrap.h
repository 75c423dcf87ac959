#pragma once

#include "logfile.h"

#include <map>
#include <set>
#include <vector>

namespace galenaturn::ledger {

/**
 * Sent between control processes while a new ledger is formed. A process without a log announces
 * itself; one with a log replies that a ledger exists.
 */
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

/** Returns the voter id of a founder. It differs for other sets of founders. */
voter_id founder_voter(const process_id& process, const std::set<process_id>& founders);
/**
 * Returns the voters of the ledger that the founders form. Each founder writes them by itself, as
 * the first entry of its log, before it sends a message. As the entry is the same everywhere, any
 * majority of the founders goes on with the same ledger, whichever of the others are lost. A
 * process whose disk was lost is no founder any more: it would vote again as the voter it was.
 */
voter_set founder_voters(const std::set<process_id>& founders);

/** Bootstrap state of a control process: itself, the founders, the messages of the others. */
struct bootstrap_state {
    process_id self;
    voter_id voter;
    /** The control processes that form a new ledger together. */
    std::vector<process_id> founders;
    struct received_message {
        bootstrap_message message;
        time_point received_at;
    };
    /** The last message from each other control process. */
    std::map<process_id, received_message> last_messages;
};

/** Time for which a received bootstrap message is valid. */
constexpr duration bootstrap_message_ttl = std::chrono::seconds{1};

/**
 * For founders that the settings name at each start, also after the loss of a disk.
 * Returns the initial voters if this process has to form the ledger, else nothing. It has to if it
 * has the lowest id of the founders and a valid message of every other founder says that it has no
 * log. So a process that lost its disk never forms a second ledger while another one has a log.
 */
std::optional<voter_set> initial_voters(const bootstrap_state& state, time_point now);
/** Returns whether another process has reported a log. */
bool ledger_exists(const bootstrap_state& state);
/** Returns the first batch of a new log: term 1 and an entry with the voters. */
log_batch initial_log_batch(const voter_set& voters);

} // namespace galenaturn::ledger
