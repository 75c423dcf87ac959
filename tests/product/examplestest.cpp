#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <sstream>

namespace galenaturn {

namespace {

std::string example(const std::string& path)
{
    return std::string{GALENATURN_SOURCE_DIR} + "/examples/" + path;
}

std::string text_of_file(const std::string& path)
{
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

catalogue read_catalogue(const std::string& user)
{
    findings found;
    const auto path = example(user + "/catalogue.yaml");
    auto parsed = parse_catalogue(text_of_file(path), path, found);
    CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
    return parsed;
}

process_settings read_settings(const std::string& user, const std::string& name, process_role role)
{
    settings_builder builder;
    builder.name(name).read_file(example(user + "/settings.yaml"));
    const auto settings = builder.build(role);
    CPPUNIT_ASSERT_EQUAL(std::string{}, builder.problems().text());
    return settings.value();
}

/** Checks that `owner` exceeds the sum of all other owners in weight, quota and concurrency. */
void check_owner_exceeds_others(const catalogue& entries, const std::string& owner)
{
    const auto& largest = entries.owners.at(owner_id{owner});
    double weight = 0;
    resources quota;
    std::int64_t concurrency = 0;
    for (const auto& [id, other] : entries.owners) {
        if (id == largest.id)
            continue;
        weight += other.weight;
        quota += other.quota;
        concurrency += other.concurrency;
    }
    CPPUNIT_ASSERT(largest.weight > weight);
    CPPUNIT_ASSERT(largest.quota.processors > quota.processors);
    CPPUNIT_ASSERT(largest.concurrency > concurrency);
}

} // namespace

class examples_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(examples_test);
    CPPUNIT_TEST(each_example_has_three_domains_with_two_entries_and_a_control_process);
    CPPUNIT_TEST(the_catalogues_are_valid_and_one_owner_outweighs_all_others);
    CPPUNIT_TEST(the_settings_of_every_example_process_are_valid);
    CPPUNIT_TEST_SUITE_END();

    void each_example_has_three_domains_with_two_entries_and_a_control_process()
    {
        const std::vector<std::pair<std::string, std::string>> first_entries{
            {"te-awa", "entry-wellington-hall-1"}, {"bluebonnet", "entry-hall-a-1"}};
        for (const auto& [user, first_entry] : first_entries) {
            const auto settings = read_settings(user, first_entry, process_role::entry);
            std::map<failure_domain_id, std::pair<int, int>> counts;
            for (const auto& member : settings.members) {
                auto& [entries, controls] = counts[member.domain];
                ++(member.role == process_role::entry ? entries : controls);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, counts.size());
            for (const auto& [domain, count] : counts)
                CPPUNIT_ASSERT_MESSAGE(domain.value(), count == std::pair(2, 1));
        }
    }

    void the_catalogues_are_valid_and_one_owner_outweighs_all_others()
    {
        const auto te_awa = read_catalogue("te-awa");
        check_owner_exceeds_others(te_awa, "wellington-grid-dispatch");
        CPPUNIT_ASSERT(te_awa.services.contains(service_id{"tawhiti-forecast"}));
        const auto bluebonnet = read_catalogue("bluebonnet");
        check_owner_exceeds_others(bluebonnet, "harris-county-clerks");
        CPPUNIT_ASSERT(!bluebonnet.services.at(service_id{"renewdesk"}).idempotent);
    }

    void the_settings_of_every_example_process_are_valid()
    {
        for (const auto* user : {"te-awa", "bluebonnet"}) {
            const auto first_entry =
                user == std::string{"te-awa"} ? "entry-nelson-hall-2" : "entry-hall-c-2";
            const auto members = read_settings(user, first_entry, process_role::entry).members;
            for (const auto& member : members)
                CPPUNIT_ASSERT(read_settings(user, member.id.value(), member.role).self.id ==
                               member.id);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(examples_test);

} // namespace galenaturn
