#pragma once

#include "daemon.h"

#include <galenaturn/membership.h>

#include <boost/asio/awaitable.hpp>

namespace galenaturn::daemon {

/** Discovers the control processes through the seeds and keeps the peer directory up to date. */
class roster_service : public service {
public:
    explicit roster_service(context& shared);
    result<void> start() override;

    [[nodiscard]] const membership::roster& current_roster() const { return roster_; }
    /** Returns the leader of the ledger, reported within presence_timeout; empty if unknown. */
    [[nodiscard]] process_id leader() const;
    /** Returns the process that recently said that it leads, or an empty id. */
    [[nodiscard]] process_id reported_leader() const;
    /**
     * Returns the leader known to a control process's own ledger replica. Unset in an entry, which
     * uses the leader that roster messages report.
     */
    std::function<process_id()> find_local_leader;

private:
    /** Merges a received message: adds new control processes to the peer directory. */
    void on_message(const membership::roster_message& message);
    void schedule_exchange();
    void exchange();
    static boost::asio::awaitable<void> request_roster(roster_service* self, process_id control);

    context& shared_;
    membership::roster roster_;
    wire::boot_timer timer_;
    process_id reported_leader_;
    time_point leader_reported_at_;
    counter& exchanges_;
    counter& failed_exchanges_;
    gauge& present_;
};

} // namespace galenaturn::daemon
