#pragma once

#include "channel.h"
#include "commands.h"

#include <string>
#include <vector>

namespace galenaturn::wire {

/** Sends commands and queries to the ledger's leader, wherever it is, within a deadline. */
class ledger_client {
public:
    /** `peers` outlives the client. The control members of the settings are the candidates. */
    ledger_client(channel_context& context, peer_directory& peers);

    /** Returns an id that no other request of any process has. */
    request_id next_request_id();
    /**
     * Returns the outcome of `request`, resending it under the same id while its fate is unknown.
     * command_status::unavailable: it was certainly not run. unknown: it may yet run.
     */
    boost::asio::awaitable<command_response> submit(command_request request, time_point deadline);
    boost::asio::awaitable<query_response> ask(query_request request, time_point deadline);

private:
    /** Returns the other control processes known now, those of the own domain first. */
    [[nodiscard]] std::vector<process_id> controls() const;
    process_id first_candidate();
    process_id next_candidate(const process_id& hint);

    channel_context& context_;
    peer_directory& peers_;
    process_id leader_;
    std::size_t last_tried_{0};
    std::uint64_t last_request_{0};
    std::string id_prefix_;
};

} // namespace galenaturn::wire
