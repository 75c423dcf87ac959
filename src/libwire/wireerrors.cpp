#include "wireerrors.h"

#include <array>

namespace galenaturn::wire {

error_code make_error_code(wire_error error)
{
    static constexpr std::array<std::string_view, 8> messages{
        "ok",
        "message is malformed",
        "message is too large",
        "checksum does not match",
        "protocol version is unknown",
        "peer is not connected",
        "peer did not answer in time",
        "peer's failure domain is refused",
    };
    static const table_category category{"galenaturn.wire", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn::wire
