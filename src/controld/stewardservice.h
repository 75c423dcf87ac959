#pragma once

#include "controlhub.h"
#include "countermirror.h"

#include <galenaturn/daemon.h>
#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

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
    struct held_answer {
        heartbeat_number heartbeat;
        wire::reply_function reply;
        time_point deadline;
    };

    void take_change(const ledger::applied_change& change);
    void take_stewardship();
    void take_whole_state(bool inherited);
    void take_record(const task_id& id, bool inherited);
    void take_announcement(wire::frame received, wire::reply_function reply);
    void forward(wire::frame received, wire::reply_function reply);
    boost::asio::awaitable<void> forward_to(wire::peer_link* steward, wire::frame received,
                                            wire::reply_function reply);
    boost::asio::awaitable<void> answer_without_lease(wire::reply_function reply);
    void answer_due(time_point now);
    void answer(const worker_id& worker, const held_answer& held, time_point now);
    void take_heartbeat_answer(const schedule::steward_heartbeat_answer& answer, time_point sent);
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
    std::map<worker_id, held_answer> held_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer heartbeat_timer_;
    incarnation life_;
    heartbeat_number last_heartbeat_;
    /**
     * The stewardship that the leader's last response granted to this incarnation of the process.
     */
    epoch granted_;
    log_index applied_;
    bool reporting_{false};
    time_point next_report_;
    time_point next_resync_;
};

} // namespace galenaturn::controld
