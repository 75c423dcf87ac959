#pragma once

#include "wireerrors.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenaturn::wire {

/** The kind of message in a frame. The numbers are part of the protocol: never reuse one. */
enum class frame_kind : std::uint16_t {
    /** First frame on a connection: hello. */
    hello = 1,
    /** Reply to the frame with the same correlation. */
    reply = 2,
    /** ledger: message between voters. */
    ledger_peer = 10,
    /** command_request to a voter, answered by command_response. */
    ledger_command = 11,
    /** query_request to a voter, answered by query_response. */
    ledger_query = 12,
    /** Current catalogue, pushed by control processes to entries, which reply with their version.
     */
    catalogue_push = 13,
    /** voter_change_request to the leader. */
    voter_change = 14,
    /** steward: worker announcement forwarded by an entry, answered by commands for the worker. */
    worker_announcement = 20,
    /** steward: heartbeat to the ledger's leader. */
    steward_heartbeat = 21,
    /** steward: load of a domain's workers for the assigner. */
    domain_load = 22,
    /** An upstream's announcement, forwarded to an entry of the upstream's domain. */
    upstream_announcement = 23,
    /** route: borrow slots of an upstream from its home entry (which owns them), and return them.
     */
    slot_request = 30,
    slot_return = 31,
    /** route: shares of cluster-wide limits. */
    limit_demand = 32,
    /** An operator's request for the state of a process. */
    process_status = 40,
    /** roster_message between joined processes, answered by a roster_message. */
    roster = 50,
    /** worker_presences from one control process to the others. */
    worker_presences = 51,
    /** tail_model of the leader, sent so that the next leader can continue with it. */
    tail_model = 53,
    /** job_request from an entry to the leader, answered by job_response. */
    job_request = 52,
};

/** A message between galenaturn processes. `correlation` is 0 if no reply is expected. */
struct frame {
    frame_kind kind{};
    std::uint64_t correlation{0};
    std::string payload;
};

/** Size of the header: magic, version, kind, correlation, size, xxh32, all little-endian. */
constexpr std::size_t frame_header_size = 24;
/** Maximum size of a payload, which limits the memory that one peer can use. */
constexpr std::size_t max_payload_bytes = std::size_t{16} << 20;

struct frame_header {
    frame_kind kind{};
    std::uint64_t correlation{0};
    std::uint32_t size{0};
    std::uint32_t checksum{0};
};

/** Returns the encoded header and payload. */
std::string encode_frame(const frame& value);
/** Returns the header, or the error if it is invalid. `header` has frame_header_size bytes. */
result<frame_header> decode_frame_header(std::string_view header);
/** Returns the frame, or an error if the payload does not match the header. */
result<frame> check_frame(const frame_header& header, std::string payload);

} // namespace galenaturn::wire
