#pragma once

#include <galenaturn/core.h>

namespace galenaturn::wire {

enum class wire_error {
    ok,
    malformed,
    too_large,
    checksum_mismatch,
    unknown_version,
    not_connected,
    timed_out,
    refused_domain,
};

error_code make_error_code(wire_error error);

} // namespace galenaturn::wire

template <>
struct boost::system::is_error_code_enum<galenaturn::wire::wire_error> : std::true_type {
};
