#include "scheduleerrors.h"

#include <array>

namespace galenaturn::schedule {

error_code make_error_code(schedule_error error)
{
    static constexpr std::array<std::string_view, 2> messages{
        "ok",
        "argument is invalid",
    };
    static const table_category category{"galenaturn.schedule", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn::schedule
