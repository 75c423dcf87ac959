#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn {

namespace {

/** Checks that each of `expected` occurs in `text`, in this order. */
void check_in_order(const std::string& text, const std::vector<std::string>& expected)
{
    std::size_t from = 0;
    for (const auto& part : expected) {
        const auto position = text.find(part, from);
        CPPUNIT_ASSERT_MESSAGE(std::string{part}.append(" in: ").append(text),
                               position != std::string::npos);
        from = position;
    }
}

constexpr const char* small_settings =
    "charts_folder: charts\n"
    "data_folder: /data\n"
    "members:\n"
    "  - {name: e, role: entry, failure_domain: d, region: r, peer: '10.0.0.1:1', "
    "http: '10.0.0.1:2'}\n"
    "  - {name: c, role: control, failure_domain: d, region: r, peer: '10.0.0.2:1', "
    "http: '10.0.0.2:2'}\n";

} // namespace

class settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(all_problems_are_reported_in_one_pass_with_position_and_fix);
    CPPUNIT_TEST(valid_settings_get_defaults_and_folders_relative_to_their_file);
    CPPUNIT_TEST(process_requires_matching_name_role_and_data_folder);
    CPPUNIT_TEST(unreadable_or_invalid_file_is_reported_as_a_finding);
    CPPUNIT_TEST_SUITE_END();

    void all_problems_are_reported_in_one_pass_with_position_and_fix()
    {
        settings_builder builder;
        builder.name("e").read_text(
            "charts_folder: charts\n"
            "drain_notice: 2\n"
            "body_limit: 8MB\n"
            "colour: blue\n"
            "members:\n"
            "  - {name: e, role: entry, failure_domain: d, region: r, peer: 'host:1', "
            "http: '10.0.0.1:2'}\n"
            "  - {name: e, role: server, failure_domain: d, region: s, peer: '10.0.0.1:2', "
            "http: '10.0.0.1:99999'}\n"
            "  - {name: f, role: entry, region: r, peer: '10.0.0.3:1', http: '10.0.0.3:2', "
            "zone: 1}\n",
            "s.yaml");
        CPPUNIT_ASSERT(builder.build(process_role::entry).error() ==
                       make_error_code(core_error::invalid_settings));
        const auto text = builder.problems().text();
        check_in_order(text, {"s.yaml:2:15: 'drain_notice' is '2'; write a count with a unit",
                              "s.yaml:3:13: 'body_limit' is '8MB'; write a count with a unit",
                              "s.yaml:6:", "'peer' is 'host:1'; write an IP number and a port",
                              "s.yaml:7:", "'role' is 'server'; write one of entry control",
                              "'http' is '10.0.0.1:99999'", "s.yaml:8:",
                              "'failure_domain' is missing; add the key", "unknown key 'zone'",
                              "s.yaml:4:1: unknown key 'colour'; remove or rename it",
                              "'e' is declared twice", "10.0.0.1:2 is taken by another member",
                              "failure domain 'd' is in two regions"});
    }

    void valid_settings_get_defaults_and_folders_relative_to_their_file()
    {
        settings_builder builder;
        builder.name("e").read_text(small_settings, "/etc/galenaturn/settings.yaml");
        const auto settings = builder.build(process_role::entry);
        CPPUNIT_ASSERT_EQUAL(std::string{}, builder.problems().text());
        CPPUNIT_ASSERT_EQUAL(std::string{"/etc/galenaturn/charts"}, settings.value().charts_folder);
        CPPUNIT_ASSERT(settings.value().drain_notice > duration::zero());
        CPPUNIT_ASSERT(settings.value().drain_limit > settings.value().drain_notice);
        CPPUNIT_ASSERT(settings.value().refused_domains.empty());
    }

    void process_requires_matching_name_role_and_data_folder()
    {
        const auto problems = [](const std::string& text, const std::string& name) {
            settings_builder builder;
            builder.name(name).read_text(text, "s.yaml");
            CPPUNIT_ASSERT(!builder.build(process_role::control));
            return builder.problems().text();
        };
        check_in_order(problems(small_settings, "nobody"), {"no member is named 'nobody'"});
        check_in_order(problems(small_settings, "e"), {"member 'e' has the role entry"});
        const std::string without_data =
            "charts_folder: charts\n" +
            std::string{small_settings}.substr(std::string{small_settings}.find("members:"));
        check_in_order(problems(without_data, "c"), {"a control process needs 'data_folder'"});
    }

    void unreadable_or_invalid_file_is_reported_as_a_finding()
    {
        settings_builder missing;
        missing.name("e").read_file("/nowhere/settings.yaml");
        CPPUNIT_ASSERT(!missing.build(process_role::entry));
        check_in_order(missing.problems().text(), {"file cannot be read"});
        for (const auto* text : {"", "- a\n", "members: [\n", "members: 5\n", "members: [5]\n"}) {
            settings_builder broken;
            broken.name("e").read_text(text, "s.yaml");
            CPPUNIT_ASSERT_MESSAGE(text, !broken.build(process_role::entry));
            CPPUNIT_ASSERT_MESSAGE(text, !broken.problems().empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace galenaturn
