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
 * The ledger of one control process: takes commands, queries and voter changes from other
 * processes, proposes commands in groups, applies what is committed and answers.
 */
class ledger_service : public daemon::service {
public:
    /** `hub` outlives the service. */
    ledger_service(daemon::context& shared, control_hub& hub);

    result<void> start() override;

private:
    using answer_function = std::function<void(const wire::command_response&)>;

    struct proposal {
        wire::command_request request;
        answer_function answer;
    };

    void add_frames();
    void add_routes();
    void take_command(wire::command_request request, answer_function answer);
    void propose_queued();
    void apply(const ledger::log_entry& entry);
    bool install(const std::string& image);
    void change_leadership(bool leads);
    void stop_after_failure();
    void expire_later();
    void look_after_voters_later();
    wire::query_response ask(const wire::query_request& request) const;
    wire::ledger_status status() const;
    static boost::asio::awaitable<http::response>
    answer_change(ledger_service* self, wire::voter_change_kind kind, std::string member);
    /** Returns the voters that a request names by its process or by itself. */
    [[nodiscard]] std::vector<voter_id>
    voters_meant(const wire::voter_change_request& request) const;
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
    std::vector<proposal> queued_;
    std::map<log_index, proposal> proposed_;
    boost::asio::steady_timer expiry_timer_;
    boost::asio::steady_timer voters_timer_;
    std::uint64_t last_expiry_{0};
    std::map<wire::command_status, counter*> answers_;
};

} // namespace galenaturn::controld
