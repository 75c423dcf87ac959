#pragma once

#include <galenaturn/core.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace galenaturn::http {

namespace beast_http = boost::beast::http;

using request = beast_http::request<beast_http::string_body>;
using response = beast_http::response<beast_http::string_body>;
using verb = beast_http::verb;
using status = beast_http::status;
using field = beast_http::field;

/** Makes an answer with the given body. */
response make_response(status code, std::string body, const std::string& content_type);

/** Why a request was refused, as problem+json says it. */
struct problem {
    status code{status::internal_server_error};
    /** One word from the list in docs/operators/requests.md. */
    std::string reason;
    std::string detail;
    /** Seconds after which the caller may come back; 0 leaves the header out. */
    std::int64_t retry_after_seconds{0};
    /** Set only where the request was certainly not run. */
    bool not_run{false};
};

/** Makes a problem+json answer with Retry-After and the header Galenaturn-Not-Run. */
response make_problem(const problem& details);

} // namespace galenaturn::http
