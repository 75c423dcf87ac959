#include "answers.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace galenaturn::http {

response make_response(status code, std::string body, const std::string& content_type)
{
    response answer{code, 11};
    answer.set(field::content_type, content_type);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
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
    auto answer =
        make_response(details.code, boost::json::serialize(body), "application/problem+json");
    if (details.retry_after_seconds > 0)
        answer.set(field::retry_after, std::to_string(details.retry_after_seconds));
    if (details.not_run)
        answer.set("Galenaturn-Not-Run", "true");
    return answer;
}

} // namespace galenaturn::http
