#include "commands.h"
#include "entryclient.h"
#include "jsonresponse.h"
#include "table.h"

#include <galenaturn/messages.h>

#include <boost/json.hpp>

#include <fstream>
#include <optional>
#include <sstream>

namespace galenaturn::command_line {

namespace {

namespace json = boost::json;

entry_client client_for(const options& flags)
{
    return {flags.entries, flags.timeout, flags.request_id};
}

std::optional<std::string> read_file(const std::string& path, output out)
{
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    if (in.good())
        return text.str();
    out.problems << path << ":0:0: file cannot be read; check the path and its permissions\n";
    return {};
}

/** Reads and parses the file `path`. Reports every problem and returns nothing if it is invalid. */
std::optional<std::string> read_catalogue(const std::string& path, catalogue& parsed, output out)
{
    auto document = read_file(path, out);
    if (!document)
        return {};
    findings found;
    parsed = parse_catalogue(*document, path, found);
    if (found.empty())
        return document;
    out.problems << found.text();
    return {};
}

std::string file_operand(const arguments& given)
{
    return given.words.back();
}

/** Returns the version in force, 0 if no catalogue was applied yet, or nothing on a failure. */
std::optional<std::string> version_in_force(const options& flags, output out, exit_code& code)
{
    const auto current = client_for(flags).send(http::verb::get, "/v1/catalogue");
    if (current.succeeded())
        return current.version_tag;
    if (current.status == 404)
        return "0";
    code = report_failure(current, flags, out);
    return {};
}

void print_lists(const catalogue& entries, std::ostream& out)
{
    table owners{{"OWNER", "WEIGHT", "PROCESSORS", "RATE/S", "CONCURRENCY"}};
    for (const auto& [id, owner] : entries.owners)
        owners.add({id.value(), text_of(owner.weight), processors_text(owner.quota.processors),
                    text_of(owner.rate), text_of(owner.concurrency)});
    owners.print(out);
    table services{{"SERVICE", "OWNER", "CLASS", "CONCURRENCY", "TIMEOUT_MS"}};
    for (const auto& [id, service] : entries.services)
        services.add({id.value(), service.owner.value(), to_string(service.shed_class),
                      text_of(service.concurrency), text_of(service.timeout.count() / 1000)});
    out << '\n';
    services.print(out);
    table jobs{{"JOB", "OWNER", "CLASS", "URGENT", "PROCESSORS", "MEMORY_MIB", "ACCELERATORS"}};
    for (const auto& [id, job] : entries.jobs)
        jobs.add({id.value(), job.owner.value(), to_string(job.task_class),
                  job.urgent ? "yes" : "no", processors_text(job.demand.processors),
                  text_of(job.demand.memory.value() >> 20), text_of(job.demand.accelerators)});
    out << '\n';
    jobs.print(out);
}

} // namespace

exit_code check_catalogue(const arguments& given, output out)
{
    catalogue parsed;
    const auto document = read_catalogue(file_operand(given), parsed, out);
    if (!document)
        return exit_code::bad_usage;
    out.results << "valid: " << parsed.owners.size() << " owners, " << parsed.services.size()
                << " services, " << parsed.jobs.size() << " jobs, digest "
                << wire::content_digest(*document) << '\n';
    return exit_code::ok;
}

exit_code apply_catalogue(const arguments& given, output out)
{
    const auto& flags = given.flags;
    catalogue parsed;
    const auto document = read_catalogue(file_operand(given), parsed, out);
    if (!document)
        return exit_code::bad_usage;
    auto expected = std::optional{text_of(flags.expected)};
    auto code = exit_code::failed;
    if (!flags.expected_given)
        expected = version_in_force(flags, out, code);
    if (!expected)
        return code;
    auto client = client_for(flags);
    const auto response = client.send(http::verb::put, "/v1/catalogue", *document,
                                      {{"If-Match", "\"" + *expected + "\""},
                                       {"Content-Type", "application/yaml"},
                                       {"Galenaturn-Author", flags.author}});
    if (!response.succeeded())
        return report_failure(response, flags, out, client.request_id());
    if (flags.json) {
        out.results << response.body << '\n';
        return exit_code::ok;
    }
    const auto body = parse_response(response.body);
    out.results << "version " << text_at(body, "version") << " in force at the ledger, digest "
                << text_at(body, "digest") << '\n';
    return exit_code::ok;
}

exit_code get_catalogue(const arguments& given, output out)
{
    std::string target = "/v1/catalogue";
    if (given.flags.version_number.value() != 0)
        target += "?version=" + text_of(given.flags.version_number);
    const auto response = client_for(given.flags).send(http::verb::get, target);
    if (!response.succeeded())
        return report_failure(response, given.flags, out);
    if (given.flags.json) {
        out.results << json::serialize(json::object{{"version", response.version_tag},
                                                    {"digest", response.digest},
                                                    {"document", response.body}})
                    << '\n';
        return exit_code::ok;
    }
    out.results << response.body;
    return exit_code::ok;
}

exit_code list_catalogue(const arguments& given, output out)
{
    const auto response = client_for(given.flags).send(http::verb::get, "/v1/catalogue");
    if (!response.succeeded())
        return report_failure(response, given.flags, out);
    findings found;
    const auto entries = parse_catalogue(response.body, "catalogue", found);
    if (!found.empty()) {
        out.problems << found.text();
        return exit_code::failed;
    }
    out.results << "version " << response.version_tag << ", digest " << response.digest << "\n\n";
    print_lists(entries, out.results);
    return exit_code::ok;
}

exit_code show_history(const arguments& given, output out)
{
    const auto response =
        client_for(given.flags)
            .send(http::verb::get, "/v1/catalogue/history?limit=" + text_of(given.flags.limit));
    if (!response.succeeded())
        return report_failure(response, given.flags, out);
    if (given.flags.json) {
        out.results << response.body << '\n';
        return exit_code::ok;
    }
    table versions{{"VERSION", "DIGEST", "AUTHOR"}};
    for (const auto& item : list_at(parse_response(response.body), "versions"))
        versions.add({text_at(item, "version"), text_at(item, "digest"), text_at(item, "author")});
    versions.print(out.results);
    return exit_code::ok;
}

} // namespace galenaturn::command_line
