#include "responses.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace galenaturn::http {

response make_response(status code, std::string body, const std::string& content_type)
{
    response reply{code, 11};
    reply.set(field::content_type, content_type);
    reply.body() = std::move(body);
    reply.prepare_payload();
    return reply;
}

response make_problem(const problem& details)
{
    boost::json::object body;
    body["type"] = "about:blank";
    body["title"] = std::string{beast_http::obsolete_reason(details.code)};
    body["status"] = static_cast<int>(details.code);
    body["reason"] = details.reason;
    body["detail"] = details.detail;
    body["not_run"] = details.not_run;
    auto reply =
        make_response(details.code, boost::json::serialize(body), "application/problem+json");
    if (details.retry_after_seconds > 0)
        reply.set(field::retry_after, std::to_string(details.retry_after_seconds));
    if (details.not_run)
        reply.set("Galenaturn-Not-Run", "true");
    return reply;
}

} // namespace galenaturn::http
