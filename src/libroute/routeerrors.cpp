#include "routeerrors.h"

#include <array>

namespace galenaturn::route {

error_code make_error_code(route_error error)
{
    static constexpr std::array<std::string_view, 2> messages{
        "ok",
        "argument is invalid",
    };
    static const table_category category{"galenaturn.route", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn::route
