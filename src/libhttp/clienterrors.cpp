#include "clienterrors.h"

#include <array>

namespace galenaturn::http {

error_code make_error_code(client_error error)
{
    static constexpr std::array<std::string_view, 3> messages{
        "ok",
        "the connection was not established",
        "the connection was refused",
    };
    static const table_category category{"galenaturn.http", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn::http
