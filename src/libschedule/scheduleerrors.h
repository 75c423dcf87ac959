#pragma once

#include <galenaturn/core.h>

namespace galenaturn::schedule {

enum class schedule_error {
    ok,
    invalid_argument,
};

error_code make_error_code(schedule_error error);

} // namespace galenaturn::schedule

template <>
struct boost::system::is_error_code_enum<galenaturn::schedule::schedule_error> : std::true_type {
};
