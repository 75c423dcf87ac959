#pragma once

#include <galenaturn/core.h>

namespace galenaturn::route {

enum class route_error {
    ok,
    invalid_argument,
};

error_code make_error_code(route_error error);

} // namespace galenaturn::route

template <>
struct boost::system::is_error_code_enum<galenaturn::route::route_error> : std::true_type {
};
