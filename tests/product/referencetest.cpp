#include "galenaturn/arguments.h"

#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace galenaturn {

namespace {

std::string read_source(const std::string& path)
{
    std::ifstream in{std::string{GALENATURN_SOURCE_DIR} + "/" + path};
    CPPUNIT_ASSERT_MESSAGE(path, in.good());
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/** Returns the first group of each match of `pattern`. */
std::set<std::string> matches(const std::string& text, const std::string& pattern)
{
    std::set<std::string> found;
    const std::regex expression{pattern};
    for (std::sregex_iterator match{text.begin(), text.end(), expression};
         match != std::sregex_iterator{}; ++match)
        found.insert((*match)[1].str());
    return found;
}

/** Returns the part of `text` from `start` up to `end`, or to its end where that is empty. */
std::string part_of(const std::string& text, const std::string& start, const std::string& end)
{
    const auto from = text.find(start);
    CPPUNIT_ASSERT_MESSAGE(start, from != std::string::npos);
    return text.substr(from, end.empty() ? std::string::npos : text.find(end, from) - from);
}

/** Returns the keys in the tables of a part of the settings page. */
std::set<std::string> documented_keys(const std::string& start, const std::string& end)
{
    return matches(part_of(read_source("docs/operators/settings.md"), start, end),
                   "\\n\\| `([a-z_]+)` \\|");
}

/** Returns the keys that a function reads from its YAML mapping. */
std::set<std::string> read_keys(const std::string& path, const std::string& start,
                                const std::string& end, const std::string& mapping)
{
    return matches(part_of(read_source(path), start, end),
                   "\\b" + mapping + "\\.(?!report|has|place)\\w+\\(\\s*\"(\\w+)\"");
}

std::string joined(const std::set<std::string>& names)
{
    std::string text;
    for (const auto& name : names)
        text += name + " ";
    return text;
}

/** Returns the second column of the table row of `key`. */
std::string documented_default(const std::string& key)
{
    const auto page = read_source("docs/operators/settings.md");
    return *matches(page, "\\n\\| `" + key + "` \\| `?([^`|]*?)`? \\|").begin();
}

} // namespace

/** Checks that the operators' pages agree with the code. */
class reference_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reference_test);
    CPPUNIT_TEST(the_settings_page_lists_the_keys_that_the_code_reads);
    CPPUNIT_TEST(the_settings_page_lists_the_catalogue_keys_that_the_code_reads);
    CPPUNIT_TEST(the_settings_page_lists_the_defaults_of_the_code);
    CPPUNIT_TEST(the_commands_page_contains_the_help_text);
    CPPUNIT_TEST_SUITE_END();

    void the_settings_page_lists_the_keys_that_the_code_reads()
    {
        const std::string path = "src/libcore/settings.cpp";
        CPPUNIT_ASSERT_EQUAL(
            joined(read_keys(path, "::read(yaml_map& root)", "::read_member", "root")),
            joined(documented_keys("## The process", "## A member")));
        CPPUNIT_ASSERT_EQUAL(
            joined(read_keys(path, "::read_member(yaml_map& item)", "::read_self", "item")),
            joined(documented_keys("## A member", "## A process that joins")));
        CPPUNIT_ASSERT_EQUAL(
            joined(read_keys(path, "::read_self(yaml_map& item)", "::read_jobs", "item")),
            joined(documented_keys("## A process that joins", "## Jobs on a platform's workers")));
        CPPUNIT_ASSERT_EQUAL(
            joined(read_keys(path, "::read_jobs(yaml_map& item)", "::check_members", "item")),
            joined(documented_keys("## Jobs on a platform's workers", "## Flags")));
    }

    void the_settings_page_lists_the_catalogue_keys_that_the_code_reads()
    {
        const std::string path = "src/libcore/catalogue.cpp";
        const auto sizes = read_keys(path, "resources read_resources", "void read_owner", "map");
        CPPUNIT_ASSERT_EQUAL(
            joined(read_keys(path, "void read_owner(", "read_owner_reference", "map")),
            joined(documented_keys("## An owner", "## A service")));
        auto services = read_keys(path, "void read_service(", "void read_job(", "map");
        services.insert("owner");
        CPPUNIT_ASSERT_EQUAL(joined(services), joined(documented_keys("## A service", "## A job")));
        auto jobs = read_keys(path, "void read_job(", "catalogue parse_catalogue", "map");
        jobs.insert("owner");
        jobs.insert(sizes.begin(), sizes.end());
        CPPUNIT_ASSERT_EQUAL(joined(jobs), joined(documented_keys("## A job", "")));
    }

    void the_settings_page_lists_the_defaults_of_the_code()
    {
        settings_builder builder;
        builder.name("e").read_text("charts_folder: charts\n"
                                    "members:\n"
                                    "  - {name: e, role: entry, failure_domain: d, region: r, "
                                    "peer: '10.0.0.1:1', http: '10.0.0.1:2'}\n",
                                    "s.yaml");
        const auto settings = builder.build(process_role::entry).value();
        CPPUNIT_ASSERT(parse_duration(documented_default("drain_notice")) == settings.drain_notice);
        CPPUNIT_ASSERT(parse_duration(documented_default("drain_limit")) == settings.drain_limit);
        CPPUNIT_ASSERT(parse_bytes(documented_default("body_limit")) == settings.body_limit);
    }

    void the_commands_page_contains_the_help_text()
    {
        CPPUNIT_ASSERT(read_source("docs/operators/commands.md").find(command_line::usage_text()) !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reference_test);

} // namespace galenaturn
