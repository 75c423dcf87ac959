#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn {

namespace {

const std::string one_owner = "owners:\n"
                              "  - name: a\n"
                              "    quota: {processors: 4, memory: 8GiB, accelerators: 1}\n"
                              "    rate: 5\n"
                              "    concurrency: 2\n";

std::string problems_of(const std::string& document)
{
    findings found;
    parse_catalogue(document, "c.yaml", found);
    return found.text();
}

void check_has(const std::string& text, const std::vector<std::string>& expected)
{
    for (const auto& part : expected)
        CPPUNIT_ASSERT_MESSAGE(std::string{part}.append(" in: ").append(text),
                               text.find(part) != std::string::npos);
}

} // namespace

class catalogue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(catalogue_test);
    CPPUNIT_TEST(entries_are_parsed_with_their_units);
    CPPUNIT_TEST(all_problems_are_reported_in_one_pass);
    CPPUNIT_TEST(job_larger_than_its_owners_quota_is_rejected);
    CPPUNIT_TEST(documents_of_the_wrong_structure_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    void entries_are_parsed_with_their_units()
    {
        findings found;
        const auto parsed = parse_catalogue(
            one_owner + "services:\n"
                        "  - {name: s, owner: a, class: interactive, concurrency: 4, queue: 2, "
                        "timeout: 1.5s}\n"
                        "jobs:\n"
                        "  - {name: j, owner: a, class: watcher, processors: 0.25, memory: 1MiB, "
                        "hold: 1h}\n",
            "c.yaml", found);
        CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
        const auto& service = parsed.services.at(service_id{"s"});
        CPPUNIT_ASSERT(service.timeout == std::chrono::milliseconds{1500});
        CPPUNIT_ASSERT(service.latency_objective == service.timeout);
        const auto& job = parsed.jobs.at(job_id{"j"});
        CPPUNIT_ASSERT(job.task_class == work_class::watcher);
        CPPUNIT_ASSERT(job.demand.processors == millicores{250});
        CPPUNIT_ASSERT(job.demand.memory == bytes{1 << 20});
        CPPUNIT_ASSERT(parsed.owners.at(owner_id{"a"}).quota.accelerators == accelerator_count{1});
    }

    void all_problems_are_reported_in_one_pass()
    {
        check_has(problems_of(one_owner +
                              "  - {name: a, quota: {processors: -1, memory: 8GB}, rate: fast, "
                              "concurrency: 1.5, weight: 0}\n"
                              "services:\n"
                              "  - {name: s, owner: nobody, class: urgent, concurrency: 0, "
                              "queue: 1, timeout: 0s, idempotent: yes}\n"
                              "jobs:\n"
                              "  - {name: j, owner: a, class: batch, processors: 1, memory: 1GiB, "
                              "hold: 25h, max_attempts: 0, hold: 1s}\n"
                              "extra: 1\n"),
                  {"'processors' is '-1'", "'memory' is '8GB'", "'rate' is 'fast'",
                   "'concurrency' is '1.5'", "'weight' is '0'", "owner 'a' is declared twice",
                   "unknown owner 'nobody'", "'class' is 'urgent'; write one of interactive",
                   "'concurrency' is '0'", "'timeout' is not above zero",
                   "'idempotent' is 'yes'; write true or false", "longer than 24h",
                   "'max_attempts' is '0'", "'hold' is declared twice", "unknown key 'extra'"});
    }

    void job_larger_than_its_owners_quota_is_rejected()
    {
        check_has(problems_of(one_owner + "jobs:\n"
                                          "  - {name: j, owner: a, class: batch, processors: 5, "
                                          "memory: 1GiB, hold: 1s}\n"),
                  {"c.yaml:7:12: job 'j' is larger than its owner's quota"});
    }

    void documents_of_the_wrong_structure_are_rejected()
    {
        for (const auto* text :
             {"", "[]", "owners: 1\n", "owners: [a]\n", "jobs: {}\n", "a: [\n", "owners: [{}]\n"})
            CPPUNIT_ASSERT_MESSAGE(text, !problems_of(text).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{}, problems_of("owners: []\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_test);

} // namespace galenaturn
