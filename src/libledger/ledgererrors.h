#pragma once

#include <galenaturn/core.h>

namespace galenaturn::ledger {

enum class ledger_error {
    ok,
    invalid_argument,
};

error_code make_error_code(ledger_error error);

} // namespace galenaturn::ledger

template <>
struct boost::system::is_error_code_enum<galenaturn::ledger::ledger_error> : std::true_type {
};
