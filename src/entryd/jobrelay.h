#pragma once

#include "observedqueues.h"

#include <galenaturn/daemon.h>

#include <boost/asio/awaitable.hpp>

namespace galenaturn::entryd {

/** Forwards job requests of callers to the ledger's leader and returns its replies. */
class job_relay : public daemon::service {
public:
    /** `roster` outlives the service. */
    job_relay(daemon::context& shared, daemon::roster_service& roster);
    result<void> start() override { return success(); }

    boost::asio::awaitable<wire::job_response> forward(wire::job_request request,
                                                       time_point deadline);
    /** Returns whether the process is ready and knows a leader, so that it can serve callers. */
    [[nodiscard]] bool ready() const;

private:
    boost::asio::awaitable<wire::job_response> forward_to_leader(wire::job_request request,
                                                                 time_point deadline);
    /** Logs when an answer names a newer version of the queues, or an older one than it should. */
    void note_queues(const wire::job_response& response, const std::string& request,
                     const process_id& leader, time_point arrived);

    daemon::context& shared_;
    daemon::roster_service& roster_;
    std::uint64_t last_request_{0};
    observed_queues queues_;
    gauge& queues_version_;
    counter& queues_regressions_;
    std::map<wire::job_response_status, counter*> response_counters_;
    std::map<wire::job_verb, latency_summary*> latencies_;
};

/**
 * Returns the response to a caller for the reply of the leader, or for its absence. `unavailable`,
 * which tells the caller that nothing was done, only where the request was certainly not sent.
 */
wire::job_response response_of(const result<std::string>& reply);

} // namespace galenaturn::entryd
