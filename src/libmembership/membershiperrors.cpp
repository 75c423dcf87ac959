#include "membershiperrors.h"

#include <array>

namespace galenaturn::membership {

error_code make_error_code(membership_error error)
{
    static constexpr std::array<std::string_view, 2> messages{
        "ok",
        "argument is invalid",
    };
    static const table_category category{"galenaturn.membership", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn::membership
