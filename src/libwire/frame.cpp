#include "frame.h"

#include "codec.h"

#include <xxhash.h>

namespace galenaturn::wire {

namespace {

constexpr std::uint16_t frame_magic = 0x4e47;
constexpr std::uint16_t protocol_version = 1;

std::uint32_t checksum_of(std::string_view payload)
{
    return XXH32(payload.data(), payload.size(), 0);
}

} // namespace

std::string encode_frame(const frame& value)
{
    std::string target;
    target.reserve(frame_header_size + value.payload.size());
    output_archive archive{target};
    archive(frame_magic, protocol_version, static_cast<std::uint32_t>(value.kind),
            value.correlation, static_cast<std::uint32_t>(value.payload.size()),
            checksum_of(value.payload));
    target += value.payload;
    return target;
}

result<frame_header> decode_frame_header(std::string_view header)
{
    if (header.size() != frame_header_size)
        return make_error_code(wire_error::malformed);
    input_archive archive{header};
    std::uint16_t magic{};
    std::uint16_t version{};
    std::uint32_t kind{};
    frame_header decoded;
    archive(magic, version, kind, decoded.correlation, decoded.size, decoded.checksum);
    if (magic != frame_magic)
        return make_error_code(wire_error::malformed);
    if (version != protocol_version)
        return make_error_code(wire_error::unknown_version);
    if (decoded.size > max_payload_bytes)
        return make_error_code(wire_error::too_large);
    decoded.kind = static_cast<frame_kind>(kind);
    return decoded;
}

result<frame> check_frame(const frame_header& header, std::string payload)
{
    if (payload.size() != header.size)
        return make_error_code(wire_error::malformed);
    if (checksum_of(payload) != header.checksum)
        return make_error_code(wire_error::checksum_mismatch);
    return frame{header.kind, header.correlation, std::move(payload)};
}

} // namespace galenaturn::wire
