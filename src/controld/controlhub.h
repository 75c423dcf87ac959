#pragma once

#include <galenaturn/ledger.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace galenaturn::controld {

/** What the ledger service and the steward service of one control process share. */
struct control_hub {
    /** The state as far as this voter has applied it; set by the ledger service. */
    std::function<const ledger::ledger_state&()> state;
    /** Whether this voter leads and holds its lease; set by the ledger service. */
    std::function<bool()> leads;
    /** The term that this voter is in; while it leads, the fencing number of its orders. */
    std::function<galenaturn::term()> current_term;
    /** The leader that this voter knows of, empty where none; set by the ledger service. */
    std::function<process_id()> leader;
    /** Submits a command here or at the leader; set by the ledger service. */
    std::function<boost::asio::awaitable<wire::command_response>(wire::command, time_point)> submit;
    /** Called after each applied command; the steward service subscribes. */
    std::vector<std::function<void(const ledger::applied_change&)>> applied;
    /** Called when this voter begins (true) or ceases (false) to lead. */
    std::vector<std::function<void(bool)>> leadership;
};

} // namespace galenaturn::controld
