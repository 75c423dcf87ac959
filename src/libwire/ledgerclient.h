#pragma once

#include "channel.h"
#include "commands.h"

#include <string>
#include <vector>

namespace galenaturn::wire {

/** Finds the ledger's leader and sends commands and queries to it, with a deadline. */
class ledger_client {
public:
    /** `peers` must outlive the client. The leader is searched among the control processes in it.
     */
    ledger_client(channel_context& context, peer_directory& peers);

    /** Returns an id that is unique across all processes. */
    request_id next_request_id();
    /**
     * Returns the outcome of `request`, resending it under the same id while its outcome is
     * unknown. command_status::unavailable: it was certainly not applied. unknown: it may have been
     * applied or may still be.
     */
    boost::asio::awaitable<command_response> submit(command_request request, time_point deadline);
    boost::asio::awaitable<query_response> ask(query_request request, time_point deadline);

private:
    /** Returns the other known control processes, those of the own domain first. */
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
