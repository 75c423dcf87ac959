#include "commands.h"
#include "entryclient.h"
#include "jsonresponse.h"
#include "table.h"

#include <boost/json.hpp>

namespace galenaturn::command_line {

namespace {

namespace json = boost::json;

exit_code change_voters(const arguments& given, output out, const std::string& change,
                        const std::string& key)
{
    const json::object body{{"change", change}, {key, given.words.back()}};
    entry_client client{given.flags.entries, given.flags.timeout, given.flags.request_id};
    const auto response = client.send(http::verb::post, "/v1/ledger/voters", json::serialize(body));
    if (!response.succeeded())
        return report_failure(response, given.flags, out);
    if (given.flags.json)
        out.results << response.body << '\n';
    else
        out.results << text_at(parse_response(response.body), "reason")
                    << "; see galenaturn voter list\n";
    return exit_code::ok;
}

void add_rows(table& rows, const json::value& ledger, const std::string& key,
              const std::string& state)
{
    for (const auto& voter : list_at(ledger, key)) {
        if (voter.is_string())
            rows.add({std::string{voter.get_string()}, state});
    }
}

} // namespace

exit_code list_voters(const arguments& given, output out)
{
    entry_client client{given.flags.entries, given.flags.timeout, {}};
    const auto response = client.send(http::verb::get, "/v1/ledger");
    if (!response.succeeded())
        return report_failure(response, given.flags, out);
    if (given.flags.json) {
        out.results << response.body << '\n';
        return exit_code::ok;
    }
    const auto ledger = parse_response(response.body);
    table rows{{"VOTER", "STATE"}};
    add_rows(rows, ledger, "voters", "voter");
    add_rows(rows, ledger, "learners", "learner");
    rows.print(out.results);
    out.results << "leader " << text_at(ledger, "leader") << ", term " << text_at(ledger, "term")
                << ", committed " << text_at(ledger, "committed") << '\n';
    return exit_code::ok;
}

exit_code add_voter(const arguments& given, output out)
{
    return change_voters(given, out, "add", "process");
}

exit_code promote_voter(const arguments& given, output out)
{
    return change_voters(given, out, "promote", "voter");
}

exit_code remove_voter(const arguments& given, output out)
{
    return change_voters(given, out, "remove", "voter");
}

} // namespace galenaturn::command_line
