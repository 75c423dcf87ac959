#pragma once

#include "cataloguepush.h"
#include "controlhub.h"
#include "replicarunner.h"

#include <galenaturn/daemon.h>

#include <map>
#include <memory>
#include <vector>

namespace galenaturn::controld {

/**
 * The ledger of one control process: the replicated log and its state machine. Receives commands,
 * queries and voter changes from other processes, proposes commands in batches, applies committed
 * entries and responds.
 */
class ledger_service : public daemon::service {
public:
    /** `hub` must outlive the service. */
    ledger_service(daemon::context& shared, control_hub& hub);

    result<void> start() override;

private:
    using response_callback = std::function<void(const wire::command_response&)>;

    struct proposal {
        wire::command_request request;
        response_callback answer;
    };

    void add_frame_handlers();
    void add_routes();
    void enqueue_command(wire::command_request request, response_callback answer);
    void propose_queued();
    void apply(const ledger::log_entry& entry);
    bool install_snapshot(const std::string& snapshot);
    void on_leadership_change(bool leads);
    void stop_after_disk_failure();
    void schedule_expiry();
    void schedule_voter_maintenance();
    /** Answers a query; unless it allows a stale answer, once a quorum has confirmed this leader.
     */
    void answer_query(const wire::query_request& request, const wire::reply_function& reply);
    /** Answers a query that allows a stale answer, and refuses any other. */
    wire::query_response answer_now(const wire::query_request& request) const;
    wire::query_response refuse_query() const;
    wire::query_response read(const wire::query& query) const;
    boost::asio::awaitable<bool> confirm_leadership(time_point deadline);
    wire::ledger_status status() const;
    static boost::asio::awaitable<http::response>
    handle_voter_change(ledger_service* self, wire::voter_change_kind kind, std::string member);
    /** Returns the voters that a request names, by voter id or by process. */
    [[nodiscard]] std::vector<voter_id>
    matching_voters(const wire::voter_change_request& request) const;
    wire::command_response change_voters(const wire::voter_change_request& request);
    wire::command_response refuse(wire::command_status status, std::string reason) const;
    process_id leader() const;
    boost::asio::awaitable<wire::command_response> submit(wire::command body, time_point deadline);
    boost::asio::awaitable<wire::command_response> submit_here(wire::command_request request,
                                                               time_point deadline);

    daemon::context& shared_;
    control_hub& hub_;
    ledger::ledger_state state_;
    replica_runner runner_;
    catalogue_push push_;
    std::vector<proposal> queued_commands_;
    std::map<log_index, proposal> proposals_in_flight_;
    wire::boot_timer expiry_timer_;
    wire::boot_timer voter_maintenance_timer_;
    ledger::record_clock record_clock_;
    std::uint64_t last_expiry_{0};
    std::map<wire::command_status, counter*> command_counters_;
};

} // namespace galenaturn::controld
