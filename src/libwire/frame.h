#pragma once

#include "wireerrors.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenaturn::wire {

/** What a frame carries. The numbers are the protocol: never reuse one. */
enum class frame_kind : std::uint16_t {
    /** First frame on a connection: hello. */
    hello = 1,
    /** Answer to the frame with the same correlation. */
    reply = 2,
    /** ledger: message between voters. */
    ledger_peer = 10,
    /** command_request to a voter, answered by command_response. */
    ledger_command = 11,
    /** query_request to a voter, answered by query_response. */
    ledger_query = 12,
    /** Catalogue in force, pushed by control to entries; answered by the version in force. */
    catalogue_push = 13,
    /** voter_change_request to the leader. */
    voter_change = 14,
    /** steward: worker announcement passed on by an entry, answered by commands for the worker. */
    worker_announcement = 20,
    /** steward: heartbeat to the leader of the ledger. */
    steward_heartbeat = 21,
    /** steward: load of a domain's workers for the assigner. */
    domain_load = 22,
    /** An upstream's announcement, passed on to an entry of the upstream's domain. */
    upstream_announcement = 23,
    /** route: borrow slots of an upstream from its home entry, and give them back. */
    slot_request = 30,
    slot_return = 31,
    /** route: shares of cluster-wide limits. */
    limit_demand = 32,
    /** Operator asks a process for its state. */
    process_status = 40,
    /** roster_message between processes that joined, answered by one. */
    roster = 50,
    /** worker_beats from one control process to the others. */
    worker_beats = 51,
    /** tail_model that the leader has learned, for the process that leads after it. */
    tail_model = 53,
    /** job_request from an entry to the leader, answered by job_answer. */
    job_request = 52,
};

/** Between our own processes. `correlation` is 0 for messages that want no reply. */
struct frame {
    frame_kind kind{};
    std::uint64_t correlation{0};
    std::string payload;
};

/** Fixed part before each payload, little-endian: magic, version, kind, correlation, size, xxh32.
 */
constexpr std::size_t frame_header_size = 24;
/** Bounds the memory that one peer can make us hold. */
constexpr std::size_t largest_payload = std::size_t{16} << 20;

struct frame_header {
    frame_kind kind{};
    std::uint64_t correlation{0};
    std::uint32_t size{0};
    std::uint32_t checksum{0};
};

/** Returns header and payload as sent. */
std::string encode_frame(const frame& value);
/** Returns the header, or why it cannot be read. `bytes` has frame_header_size bytes. */
result<frame_header> decode_frame_header(std::string_view header);
/** Returns the frame where the payload matches its header. */
result<frame> check_frame(const frame_header& header, std::string payload);

} // namespace galenaturn::wire
