#include "jsonresponse.h"

#include <boost/json.hpp>

namespace galenaturn::command_line {

namespace json = boost::json;

json::value parse_response(const std::string& body)
{
    boost::system::error_code error;
    auto parsed = json::parse(body, error);
    return error ? json::value{} : parsed;
}

std::string text_at(const json::value& source, const std::string& key)
{
    const auto* object = source.if_object();
    const auto* value = object == nullptr ? nullptr : object->if_contains(key);
    if (value == nullptr)
        return {};
    if (value->is_string())
        return std::string{value->get_string()};
    return json::serialize(*value);
}

std::vector<json::value> list_at(const json::value& source, const std::string& key)
{
    const auto* object = source.if_object();
    const auto* value = object == nullptr ? nullptr : object->if_contains(key);
    if (value == nullptr || !value->is_array())
        return {};
    const auto& array = value->get_array();
    return {array.begin(), array.end()};
}

exit_code report_failure(const reply& response, const options& flags, output out,
                         const std::string& request)
{
    if (flags.json && !response.body.empty())
        out.results << response.body << '\n';
    out.problems << "galenaturn: " << response.problem << '\n';
    const auto body = parse_response(response.body);
    for (const auto& item : list_at(body, "findings"))
        out.problems << text_at(item, "file") << ':' << text_at(item, "line") << ':'
                     << text_at(item, "column") << ": " << text_at(item, "problem") << "; "
                     << text_at(item, "fix") << '\n';
    if (response.status == 409 && !text_at(body, "version").empty())
        out.problems << "version in force: " << text_at(body, "version") << ", digest "
                     << text_at(body, "digest") << '\n';
    if (response.outcome_unknown && !request.empty())
        out.problems << "it may have been done; repeat the command with --request_id " << request
                     << '\n';
    return exit_code_of(response);
}

std::string processors_text(millicores processors)
{
    constexpr double per_processor = 1000;
    return text_of(static_cast<double>(processors.value()) / per_processor);
}

} // namespace galenaturn::command_line
