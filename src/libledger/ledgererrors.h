#pragma once

#include <galenaturn/core.h>

namespace galenaturn::ledger {

enum class ledger_error {
    ok,
    invalid_argument,
    folder_locked,
    folder_unusable,
    corrupted,
    unknown_snapshot_version,
    write_failed,
    sync_failed,
};

error_code make_error_code(ledger_error error);

} // namespace galenaturn::ledger

template <>
struct boost::system::is_error_code_enum<galenaturn::ledger::ledger_error> : std::true_type {
};
