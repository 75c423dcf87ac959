#pragma once

#include "controlhub.h"
#include "countermirror.h"

#include <galenaturn/daemon.h>
#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>

namespace galenaturn::controld {

/**
 * Runs the steward of this process's failure domain while this process holds the stewardship:
 * places the domain's tasks on its workers.
 */
class steward_service : public daemon::service {
public:
    /** `hub` must outlive the service. */
    steward_service(daemon::context& shared, control_hub& hub);
    result<void> start() override;

private:
    /** A response to a worker's heartbeat that is deferred until there are commands (long poll). */
    struct deferred_response {
        heartbeat_number heartbeat;
        wire::reply_function reply;
        time_point deadline;
    };

    void on_applied_change(const ledger::applied_change& change);
    void follow_stewardship();
    void resynchronize(bool inherited);
    void synchronize_task(const task_id& id, bool inherited);
    void receive_announcement(wire::frame received, wire::reply_function reply);
    void forward(wire::frame received, wire::reply_function reply);
    boost::asio::awaitable<void> forward_to(wire::peer_link* steward, wire::frame received,
                                            wire::reply_function reply);
    boost::asio::awaitable<void> respond_without_lease(wire::reply_function reply);
    void send_due_responses(time_point now);
    void send_response(const worker_id& worker, const deferred_response& deferred, time_point now);
    void on_heartbeat_response(const schedule::steward_heartbeat_response& response,
                               time_point sent);
    [[nodiscard]] schedule::steward_heartbeat make_heartbeat();

    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void> run_heartbeats();
    boost::asio::awaitable<void> send_heartbeat();
    boost::asio::awaitable<void> send_reports();

    daemon::context& shared_;
    control_hub& hub_;
    state_chart chart_;
    schedule::steward_state steward_;
    counter_mirror counters_;
    gauge& waiting_;
    gauge& workers_;
    std::map<worker_id, deferred_response> deferred_responses_;
    wire::boot_timer tick_timer_;
    wire::boot_timer heartbeat_timer_;
    incarnation incarnation_;
    heartbeat_number last_heartbeat_;
    /**
     * The stewardship that the leader's last response granted to this incarnation of the process.
     */
    epoch granted_stewardship_;
    log_index applied_index_;
    bool reporting_{false};
    time_point next_report_;
    time_point next_resync_;
};

} // namespace galenaturn::controld
