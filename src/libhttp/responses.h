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

/** Returns a response with the given body. */
response make_response(status code, std::string body, const std::string& content_type);

/** Why a request failed: the content of a response of type application/problem+json. */
struct problem {
    status code{status::internal_server_error};
    /** One word from the list in docs/operators/requests.md. */
    std::string reason;
    std::string detail;
    /** Value of the header Retry-After; 0 omits the header. */
    std::int64_t retry_after_seconds{0};
    /** Set only if the request was certainly not run, so that repeating it is safe. */
    bool not_run{false};
};

/** Returns a problem+json response, with Retry-After and Galenaturn-Not-Run where they are set. */
response make_problem(const problem& details);

} // namespace galenaturn::http
