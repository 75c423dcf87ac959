#include "commands.h"
#include "entryclient.h"
#include "jsonresponse.h"
#include "table.h"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/pchars.hpp>

namespace galenaturn::command_line {

namespace {

namespace json = boost::json;

std::string encoded(const std::string& segment)
{
    return boost::urls::encode(segment, boost::urls::pchars);
}

std::string task_target(const arguments& given)
{
    return "/v1/tasks/" + encoded(given.words.back());
}

std::vector<std::string> task_row(const json::value& task)
{
    return {text_at(task, "id"),     text_at(task, "job"),     text_at(task, "owner"),
            text_at(task, "phase"),  text_at(task, "outcome"), text_at(task, "failure_domain"),
            text_at(task, "worker"), text_at(task, "reason")};
}

void print_tasks(const std::vector<json::value>& tasks, std::ostream& out)
{
    table rows{{"ID", "JOB", "OWNER", "PHASE", "OUTCOME", "FAILURE_DOMAIN", "WORKER", "REASON"}};
    for (const auto& task : tasks)
        rows.add(task_row(task));
    rows.print(out);
}

exit_code print_task(const reply& response, const options& flags, output out,
                     const std::string& request)
{
    if (!response.succeeded())
        return report_failure(response, flags, out, request);
    if (flags.json)
        out.results << response.body << '\n';
    else
        print_tasks({parse_response(response.body)}, out.results);
    return exit_code::ok;
}

exit_code end_task(const arguments& given, output out, const std::string& verb)
{
    entry_client client{given.flags.entries, given.flags.timeout, given.flags.request_id};
    const auto response = client.send(http::verb::post, task_target(given) + "/" + verb);
    return print_task(response, given.flags, out, client.request_id());
}

} // namespace

exit_code start_task(const arguments& given, output out)
{
    const auto& flags = given.flags;
    if (flags.job.empty()) {
        out.problems << "galenaturn: 'task start' needs --job; see galenaturn catalogue list\n";
        return exit_code::bad_usage;
    }
    json::object body{{"job", flags.job}};
    if (!flags.deadline.empty())
        body["deadline"] = flags.deadline;
    entry_client client{flags.entries, flags.timeout, flags.request_id};
    const auto response = client.send(http::verb::put, task_target(given), json::serialize(body));
    if (response.status == 200 && !flags.json)
        out.problems << "already started earlier; nothing was started now\n";
    return print_task(response, flags, out, client.request_id());
}

exit_code stop_task(const arguments& given, output out)
{
    return end_task(given, out, "stop");
}

exit_code cancel_task(const arguments& given, output out)
{
    return end_task(given, out, "cancel");
}

exit_code show_task(const arguments& given, output out)
{
    entry_client client{given.flags.entries, given.flags.timeout, {}};
    return print_task(client.send(http::verb::get, task_target(given)), given.flags, out, {});
}

exit_code list_tasks(const arguments& given, output out)
{
    const auto& flags = given.flags;
    entry_client client{flags.entries, flags.timeout, {}};
    auto target = "/v1/tasks?limit=" + text_of(flags.limit);
    if (!flags.owner.empty())
        target += "&owner=" + encoded(flags.owner);
    const auto response = client.send(http::verb::get, target);
    if (!response.succeeded())
        return report_failure(response, flags, out);
    if (flags.json)
        out.results << response.body << '\n';
    else
        print_tasks(list_at(parse_response(response.body), "tasks"), out.results);
    return exit_code::ok;
}

} // namespace galenaturn::command_line
