#pragma once

#include <galenaturn/ledger.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace galenaturn::controld {

/** Connects the ledger service of a control process with its schedulers. */
struct control_hub {
    /** Returns the replicated state that this voter has applied; set by the ledger service. */
    std::function<const ledger::ledger_state&()> state;
    /** Returns whether this voter leads and has a valid lease; set by the ledger service. */
    std::function<bool()> leads;
    /**
     * Returns whether a quorum confirms, after this call, that this voter still leads in the same
     * term; false after the deadline. What its state showed at the call was then the newest,
     * whatever its clock shows. Set by the ledger service.
     */
    std::function<boost::asio::awaitable<bool>(time_point deadline)> confirm_leadership;
    /** Returns how much is left of that lease; set by the ledger service. */
    std::function<duration()> lease_left;
    /**
     * Returns this voter's term; the leader's is the fencing token of its commands to workers. Set
     * by the ledger service.
     */
    std::function<galenaturn::term()> current_term;
    /** Returns the current leader, or an empty id if none is known; set by the ledger service. */
    std::function<process_id()> leader;
    /** Returns the process that recently told this one that it leads; set with seeds only. */
    std::function<process_id()> reported_leader;
    /** Submits a command, locally or through the leader; set by the ledger service. */
    std::function<boost::asio::awaitable<wire::command_response>(wire::command, time_point)> submit;
    /** Subscribers that are called after each applied command. */
    std::vector<std::function<void(const ledger::applied_change&)>> applied;
    /** Subscribers that are called when this voter becomes leader (true) or steps down (false). */
    std::vector<std::function<void(bool)>> leadership;
};

} // namespace galenaturn::controld
