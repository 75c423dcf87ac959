#pragma once

#include <galenaturn/core.h>

namespace galenaturn::membership {

enum class membership_error {
    ok,
    invalid_argument,
};

error_code make_error_code(membership_error error);

} // namespace galenaturn::membership

template <>
struct boost::system::is_error_code_enum<galenaturn::membership::membership_error>
    : std::true_type {
};
