#include "fakeledger.h"

#include "galenaturn/commands.h"
#include "galenaturn/entryclient.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <sstream>
#include <thread>

namespace galenaturn {

namespace {

namespace json = boost::json;

constexpr const char* small_catalogue = "owners:\n"
                                        "  - {name: a, quota: {processors: 4, memory: 8GiB}, "
                                        "rate: 5, concurrency: 2}\n"
                                        "jobs:\n"
                                        "  - {name: run, owner: a, class: batch, processors: 1, "
                                        "memory: 1GiB, hold: 10s}\n";

process_settings settings_of_one_entry()
{
    settings_builder builder;
    builder.name("entry-1").read_text("charts_folder: charts\n"
                                      "members:\n"
                                      "  - {name: entry-1, role: entry, failure_domain: d, "
                                      "region: r, peer: '127.0.0.1:0', http: '127.0.0.1:0'}\n"
                                      "  - {name: control-1, role: control, failure_domain: d, "
                                      "region: r, peer: '127.0.0.1:0', http: '127.0.0.1:0'}\n",
                                      "test.yaml");
    return builder.build(process_role::entry).value();
}

/** The operator API of one entry with a fake ledger, served on a loopback port. */
class served_entry {
public:
    served_entry()
        : shared_{settings_of_one_entry()}, service_{shared_, hub_, ledger.functions()},
          server_{shared_.io, shared_.routes, {}, shared_.metrics}
    {
        CPPUNIT_ASSERT(server_.listen({"127.0.0.1", 0}));
        address.port = server_.port();
        thread_ = std::thread{[this] { shared_.io.run(); }};
    }

    ~served_entry()
    {
        shared_.io.stop();
        thread_.join();
    }
    served_entry(const served_entry&) = delete;
    served_entry& operator=(const served_entry&) = delete;

    command_line::reply send(http::verb method, const std::string& target,
                             const std::string& body = {},
                             const std::vector<std::pair<std::string, std::string>>& headers = {},
                             const std::string& request = {})
    {
        command_line::entry_client client{{address}, std::chrono::seconds{10}, request};
        return client.send(method, target, body, headers);
    }

    /** Runs the command line against this entry. Stores its output in `output`. */
    command_line::exit_code run(std::vector<std::string> words)
    {
        std::ostringstream entries;
        entries << address;
        words.insert(words.end(), {"--entries", entries.str()});
        findings found;
        const auto given = command_line::parse_arguments(words, "", wall_now(), found);
        CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
        std::ostringstream results;
        std::ostringstream problems;
        const auto code = command_line::run_command(given, {results, problems});
        output = results.str();
        error_output = problems.str();
        return code;
    }

    std::string metrics() { return shared_.metrics.text(); }

    fake_ledger ledger;
    ip_endpoint address{"127.0.0.1", 0};
    std::string output;
    std::string error_output;

private:
    daemon::context shared_;
    entryd::entry_hub hub_;
    entryd::operator_service service_;
    http::server server_;
    std::thread thread_;
};

std::string member_text(const std::string& body, const std::string& key)
{
    const auto document = json::parse(body);
    const auto& value = document.as_object().at(key);
    return value.is_string() ? std::string{value.get_string()} : json::serialize(value);
}

} // namespace

class operator_edge_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(operator_edge_test);
    CPPUNIT_TEST(one_of_two_writes_with_the_same_expected_version_succeeds_and_the_other_conflicts);
    CPPUNIT_TEST(a_repeated_request_takes_effect_once);
    CPPUNIT_TEST(an_invalid_catalogue_is_rejected_with_all_findings);
    CPPUNIT_TEST(a_write_without_an_expected_version_is_rejected);
    CPPUNIT_TEST(starting_a_task_twice_starts_it_once);
    CPPUNIT_TEST(invalid_tasks_are_rejected_with_findings_and_counted);
    CPPUNIT_TEST(unknown_tasks_are_not_found);
    CPPUNIT_TEST(an_unreachable_ledger_is_distinguished_from_an_unknown_outcome);
    CPPUNIT_TEST(voters_are_changed_by_name);
    CPPUNIT_TEST(the_command_line_returns_the_documented_exit_codes);
    CPPUNIT_TEST_SUITE_END();

    void one_of_two_writes_with_the_same_expected_version_succeeds_and_the_other_conflicts()
    {
        served_entry api;
        const auto first = api.send(http::verb::put, "/v1/catalogue", small_catalogue,
                                    {{"If-Match", "\"0\""}, {"Galenaturn-Author", "ana"}});
        CPPUNIT_ASSERT_EQUAL(200U, first.status);
        const auto second =
            api.send(http::verb::put, "/v1/catalogue",
                     std::string{small_catalogue} + "services: []\n", {{"If-Match", "\"0\""}});
        CPPUNIT_ASSERT_EQUAL(409U, second.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, member_text(second.body, "version"));
        CPPUNIT_ASSERT_EQUAL(wire::content_digest(small_catalogue),
                             member_text(second.body, "digest"));
        const auto current = api.send(http::verb::get, "/v1/catalogue");
        CPPUNIT_ASSERT_EQUAL(std::string{small_catalogue}, current.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, current.version_tag);
    }

    void a_repeated_request_takes_effect_once()
    {
        served_entry api;
        for (int round = 0; round < 2; ++round) {
            const auto response = api.send(http::verb::put, "/v1/catalogue", small_catalogue,
                                           {{"If-Match", "\"0\""}}, "request-7");
            CPPUNIT_ASSERT_EQUAL(200U, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"1"}, member_text(response.body, "version"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, api.ledger.versions.size());
    }

    void an_invalid_catalogue_is_rejected_with_all_findings()
    {
        served_entry api;
        const auto response =
            api.send(http::verb::put, "/v1/catalogue",
                     "owners:\n  - {name: a, rate: fast}\nthings: 1\n", {{"If-Match", "\"0\""}});
        CPPUNIT_ASSERT_EQUAL(422U, response.status);
        const auto document = json::parse(response.body);
        CPPUNIT_ASSERT(document.as_object().at("findings").as_array().size() >= 4);
        CPPUNIT_ASSERT(api.ledger.requests.empty());
    }

    void a_write_without_an_expected_version_is_rejected()
    {
        served_entry api;
        CPPUNIT_ASSERT_EQUAL(428U,
                             api.send(http::verb::put, "/v1/catalogue", small_catalogue).status);
        CPPUNIT_ASSERT_EQUAL(428U, api.send(http::verb::put, "/v1/catalogue", small_catalogue,
                                            {{"If-Match", "\"-1\""}})
                                       .status);
        CPPUNIT_ASSERT(api.ledger.requests.empty());
    }

    void starting_a_task_twice_starts_it_once()
    {
        served_entry api;
        const std::string body = R"({"job": "run", "deadline": "2h"})";
        CPPUNIT_ASSERT_EQUAL(201U, api.send(http::verb::put, "/v1/tasks/night-1", body).status);
        CPPUNIT_ASSERT_EQUAL(200U, api.send(http::verb::put, "/v1/tasks/night-1", body).status);
        for (const auto* other : {R"({"job": "other", "deadline": "2h"})", R"({"job": "run"})",
                                  R"({"job": "run", "deadline": "2099-01-01T00:00:00Z"})"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                other, 409U, api.send(http::verb::put, "/v1/tasks/night-1", other).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, api.ledger.tasks.size());
    }

    void invalid_tasks_are_rejected_with_findings_and_counted()
    {
        served_entry api;
        CPPUNIT_ASSERT(api.metrics().find("galenaturn_operator_refusals_total{reason=\"invalid_"
                                          "task\"} 0") != std::string::npos);
        for (const auto* body :
             {"{", "[]", "{}", R"({"job": 5})", R"({"job": "run", "deadline": "soon"})",
              R"({"job": "run", "deadline": "2001-01-01T00:00:00Z"})",
              R"({"job": "run", "size": 1})", R"({"job": "run", "demand": {"processors": "1"}})"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                body, 422U, api.send(http::verb::put, "/v1/tasks/night-1", body).status);
        CPPUNIT_ASSERT_EQUAL(
            400U, api.send(http::verb::put, "/v1/tasks/a%20b", R"({"job": "run"})").status);
        CPPUNIT_ASSERT_EQUAL(
            422U, api.send(http::verb::put, "/v1/tasks/night-1", R"({"job": "unknown"})").status);
        CPPUNIT_ASSERT(api.ledger.tasks.empty());
        CPPUNIT_ASSERT(api.metrics().find("galenaturn_operator_refusals_total{reason=\"invalid_"
                                          "task\"} 8") != std::string::npos);
    }

    void unknown_tasks_are_not_found()
    {
        served_entry api;
        CPPUNIT_ASSERT_EQUAL(404U, api.send(http::verb::get, "/v1/tasks/none").status);
        CPPUNIT_ASSERT_EQUAL(404U, api.send(http::verb::post, "/v1/tasks/none/cancel").status);
        CPPUNIT_ASSERT_EQUAL(404U, api.send(http::verb::post, "/v1/tasks/none/stop").status);
        CPPUNIT_ASSERT_EQUAL(404U, api.send(http::verb::get, "/v1/catalogue").status);
    }

    void an_unreachable_ledger_is_distinguished_from_an_unknown_outcome()
    {
        served_entry api;
        command_line::entry_client once{{api.address}, std::chrono::seconds{1}, {}};
        api.ledger.forced_statuses = {wire::command_status::unknown};
        api.ledger.forced_statuses.resize(100, wire::command_status::unavailable);
        const auto lost = once.send(http::verb::post, "/v1/tasks/x/stop");
        CPPUNIT_ASSERT(lost.outcome_unknown);
        command_line::entry_client again{{api.address}, std::chrono::seconds{1}, {}};
        const auto unavailable_response = again.send(http::verb::post, "/v1/tasks/x/stop");
        CPPUNIT_ASSERT_EQUAL(503U, unavailable_response.status);
        CPPUNIT_ASSERT(!unavailable_response.outcome_unknown);
        CPPUNIT_ASSERT(command_line::exit_code_of(unavailable_response) ==
                       command_line::exit_code::unavailable);
    }

    void voters_are_changed_by_name()
    {
        using command_line::exit_code;
        served_entry api;
        CPPUNIT_ASSERT(api.run({"voter", "add", "control-1"}) == exit_code::ok);
        CPPUNIT_ASSERT(api.run({"voter", "promote", "v-1"}) == exit_code::ok);
        CPPUNIT_ASSERT(api.run({"voter", "remove", "unknown"}) == exit_code::conflict);
        const auto& changes = api.ledger.voter_changes;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
        CPPUNIT_ASSERT(changes[0].kind == wire::voter_change_kind::add);
        CPPUNIT_ASSERT_EQUAL(std::string{"control-1"}, changes[0].process.value());
        CPPUNIT_ASSERT(changes[1].kind == wire::voter_change_kind::promote);
        CPPUNIT_ASSERT_EQUAL(std::string{"v-1"}, changes[1].voter.value());
        for (const auto* body : {"{}", R"({"change": "swap", "voter": "v"})",
                                 R"({"change": "add"})", R"({"change": "remove"})"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                body, 422U, api.send(http::verb::post, "/v1/ledger/voters", body).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
    }

    void the_command_line_returns_the_documented_exit_codes()
    {
        using command_line::exit_code;
        served_entry api;
        const std::string file =
            std::string{GALENATURN_SOURCE_DIR} + "/examples/bluebonnet/catalogue.yaml";
        CPPUNIT_ASSERT(api.run({"catalogue", "get"}) == exit_code::not_found);
        CPPUNIT_ASSERT(api.run({"catalogue", "apply", file}) == exit_code::ok);
        CPPUNIT_ASSERT(api.run({"catalogue", "apply", file, "--expect=0"}) == exit_code::conflict);
        CPPUNIT_ASSERT(api.error_output.find("version in force: 1") != std::string::npos);
        CPPUNIT_ASSERT(api.run({"catalogue", "list"}) == exit_code::ok);
        CPPUNIT_ASSERT(api.output.find("renewdesk") != std::string::npos);
        CPPUNIT_ASSERT(api.run({"catalogue", "apply", __FILE__}) == exit_code::bad_usage);
        CPPUNIT_ASSERT(api.run({"task", "start", "t"}) == exit_code::bad_usage);
        CPPUNIT_ASSERT(api.run({"task", "start", "t", "--job", "run"}) == exit_code::ok);
        CPPUNIT_ASSERT(api.run({"task", "cancel", "t", "--json"}) == exit_code::ok);
        CPPUNIT_ASSERT_EQUAL(std::string{"cancelled"}, member_text(api.output, "outcome"));
        CPPUNIT_ASSERT(api.run({"task", "show", "none"}) == exit_code::not_found);
        api.ledger.reachable = false;
        CPPUNIT_ASSERT(api.run({"task", "list", "--timeout=200ms"}) == exit_code::unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_edge_test);

} // namespace galenaturn
