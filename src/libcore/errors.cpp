#include "errors.h"

#include <array>

namespace galenaturn {

error_code make_error_code(core_error error)
{
    static constexpr std::array<std::string_view, 6> messages{
        "ok",
        "file cannot be read",
        "settings have findings",
        "catalogue has findings",
        "state chart has findings",
        "event is unknown to the state chart",
    };
    static const table_category category{"galenaturn.core", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn
