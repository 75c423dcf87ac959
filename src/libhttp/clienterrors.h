#pragma once

#include <galenaturn/core.h>

namespace galenaturn::http {

enum class client_error {
    ok,
    /** The connection was not established, so nothing of the request was sent. */
    not_connected,
    /** The same, because nothing listens at the address. */
    connection_refused,
};

error_code make_error_code(client_error error);

} // namespace galenaturn::http

template <>
struct boost::system::is_error_code_enum<galenaturn::http::client_error> : std::true_type {
};
