#include "ledgererrors.h"

#include <array>

namespace galenaturn::ledger {

error_code make_error_code(ledger_error error)
{
    static constexpr std::array<std::string_view, 2> messages{
        "ok",
        "argument is invalid",
    };
    static const table_category category{"galenaturn.ledger", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn::ledger
