#pragma once

#include "controlhub.h"
#include "countermirror.h"

#include <galenaturn/daemon.h>
#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>

namespace galenaturn::controld {

/**
 * Runs the assigner while this process leads the ledger: assigns pending tasks to failure domains,
 * responds to the stewards' heartbeats, and reassigns tasks from domains that have been silent for
 * longer than the tasks' hold times.
 */
class assigner_service : public daemon::service {
public:
    /** `hub` must outlive the service. */
    assigner_service(daemon::context& shared, control_hub& hub);
    result<void> start() override;

private:
    void on_applied_change(const ledger::applied_change& change);
    void resynchronize();
    void synchronize_stewardships();
    void on_leadership_change(bool leads);
    void on_heartbeat(wire::frame received, const wire::reply_function& reply);
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> propose(wire::assign_tasks proposal);
    boost::asio::awaitable<void> grant(wire::grant_stewardship proposal);

    daemon::context& shared_;
    control_hub& hub_;
    schedule::assigner_state assigner_;
    counter_mirror counters_;
    gauge& pending_;
    wire::boot_timer timer_;
    bool assignment_due_{false};
    bool proposing_{false};
    log_index applied_index_;
};

} // namespace galenaturn::controld
