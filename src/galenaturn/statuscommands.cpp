#include "commands.h"
#include "entryclient.h"
#include "jsonanswer.h"
#include "table.h"

#include <boost/json.hpp>

#include <set>

namespace galenaturn::command_line {

namespace {

namespace json = boost::json;

/** Short, so that processes that are down do not hold up the table. */
constexpr duration process_limit = std::chrono::seconds{2};

/** Returns each member of `first`'s settings with its own status, or why it has none. */
json::array ask_members(const json::value& first)
{
    json::array all;
    for (const auto& member : list_at(first, "members")) {
        auto row = member.as_object();
        const auto address = parse_endpoint(text_at(member, "http"));
        const auto answer =
            address ? entry_client::ask(*address, "/v1/status", process_limit) : reply{};
        const auto status = parse_answer(answer.body);
        row["reachable"] = answer.succeeded();
        row["problem"] = answer.problem;
        for (const auto* key : {"ready", "catalogue_version", "catalogue_digest", "ledger"}) {
            if (const auto* value =
                    status.is_object() ? status.get_object().if_contains(key) : nullptr)
                row[key] = *value;
        }
        all.emplace_back(std::move(row));
    }
    return all;
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

/** Prints the list `key` of what `target` answers, one row an element, one column a member. */
exit_code show_list(const arguments& given, output out, const std::string& target,
                    const std::string& key, const std::vector<std::string>& columns)
{
    entry_client client{given.flags.entries, given.flags.timeout, {}};
    const auto answer = client.send(http::verb::get, target);
    if (!answer.succeeded())
        return report_failure(answer, given.flags, out);
    if (given.flags.json) {
        out.results << answer.body << '\n';
        return exit_code::ok;
    }
    table rows{columns};
    for (const auto& item : list_at(parse_answer(answer.body), key)) {
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
    const auto answer = client.send(http::verb::get, "/v1/status");
    if (!answer.succeeded())
        return report_failure(answer, flags, out);
    const auto processes = ask_members(parse_answer(answer.body));
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
