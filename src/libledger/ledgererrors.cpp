#include "ledgererrors.h"

#include <array>

namespace galenaturn::ledger {

error_code make_error_code(ledger_error error)
{
    static constexpr std::array<std::string_view, 8> messages{
        "ok",
        "argument is invalid",
        "data folder is in use by another process",
        "data folder cannot be used",
        "stored data is corrupted",
        "snapshot has an unknown format version",
        "write to the data folder failed",
        "sync of the data folder failed",
    };
    static const table_category category{"galenaturn.ledger", messages};
    return {static_cast<int>(error), category};
}

} // namespace galenaturn::ledger
