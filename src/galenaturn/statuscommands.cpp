#include "commands.h"
#include "entryclient.h"
#include "jsonresponse.h"
#include "table.h"

#include <boost/json.hpp>

#include <set>

namespace galenaturn::command_line {

namespace {

namespace json = boost::json;

/** Timeout of each process; short, because processes that are down delay the whole table. */
constexpr duration process_timeout = std::chrono::seconds{2};

/** Returns each member that `entry_status` lists, with its own status or why there is none. */
json::array fetch_member_statuses(const json::value& entry_status)
{
    json::array members;
    for (const auto& member : list_at(entry_status, "members")) {
        auto row = member.as_object();
        const auto address = parse_endpoint(text_at(member, "http"));
        const auto response =
            address ? entry_client::get_once(*address, "/v1/status", process_timeout) : reply{};
        const auto status = parse_response(response.body);
        row["reachable"] = response.succeeded();
        row["problem"] = response.problem;
        for (const auto* key : {"ready", "catalogue_version", "catalogue_digest", "ledger"}) {
            if (const auto* value =
                    status.is_object() ? status.get_object().if_contains(key) : nullptr)
                row[key] = *value;
        }
        members.emplace_back(std::move(row));
    }
    return members;
}

std::string state_of(const json::value& process)
{
    if (text_at(process, "reachable") != "true")
        return "unreachable";
    return text_at(process, "ready") == "true" ? "ready" : "not ready";
}

void print_status(const json::array& processes, std::ostream& out)
{
    table rows{{"PROCESS", "ROLE", "FAILURE_DOMAIN", "STATE", "CATALOGUE", "LEDGER", "APPLIED"}};
    for (const auto& process : processes) {
        const auto* ledger = process.get_object().if_contains("ledger");
        const auto ledger_value = ledger == nullptr ? json::value{} : *ledger;
        rows.add({text_at(process, "name"), text_at(process, "role"),
                  text_at(process, "failure_domain"), state_of(process),
                  text_at(process, "catalogue_version"), text_at(ledger_value, "role"),
                  text_at(ledger_value, "applied")});
    }
    rows.print(out);
}

/** Prints the array `key` of the response of `target`: a row per element, a column per member. */
exit_code show_list(const arguments& given, output out, const std::string& target,
                    const std::string& key, const std::vector<std::string>& columns)
{
    entry_client client{given.flags.entries, given.flags.timeout, {}};
    const auto response = client.send(http::verb::get, target);
    if (!response.succeeded())
        return report_failure(response, given.flags, out);
    if (given.flags.json) {
        out.results << response.body << '\n';
        return exit_code::ok;
    }
    table rows{columns};
    for (const auto& item : list_at(parse_response(response.body), key)) {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const auto& column : columns)
            row.push_back(text_at(item, column));
        rows.add(std::move(row));
    }
    rows.print(out.results);
    return exit_code::ok;
}

} // namespace

exit_code show_status(const arguments& given, output out)
{
    const auto& flags = given.flags;
    entry_client client{flags.entries, flags.timeout, {}};
    const auto response = client.send(http::verb::get, "/v1/status");
    if (!response.succeeded())
        return report_failure(response, flags, out);
    const auto processes = fetch_member_statuses(parse_response(response.body));
    if (flags.json)
        out.results << json::serialize(json::object{{"processes", processes}}) << '\n';
    else
        print_status(processes, out.results);
    std::set<std::string> versions;
    bool all_ready = true;
    for (const auto& process : processes) {
        all_ready = all_ready && state_of(process) == "ready";
        if (state_of(process) == "ready")
            versions.insert(text_at(process, "catalogue_version"));
    }
    return all_ready && versions.size() <= 1 ? exit_code::ok : exit_code::failed;
}

exit_code show_members(const arguments& given, output out)
{
    return show_list(given, out, "/v1/members", "members",
                     {"name", "role", "failure_domain", "region"});
}

exit_code show_upstreams(const arguments& given, output out)
{
    return show_list(
        given, out, "/v1/upstreams", "upstreams",
        {"id", "service", "failure_domain", "address", "slots", "busy_slots", "state"});
}

} // namespace galenaturn::command_line
