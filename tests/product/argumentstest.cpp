#include "galenaturn/commands.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace galenaturn::command_line {

class arguments_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(arguments_test);
    CPPUNIT_TEST(flags_may_precede_follow_or_separate_operands);
    CPPUNIT_TEST(all_invalid_flags_are_reported_together);
    CPPUNIT_TEST(flags_of_one_call_do_not_affect_the_next);
    CPPUNIT_TEST(the_entries_flag_overrides_the_environment);
    CPPUNIT_TEST(unknown_commands_and_wrong_operand_counts_exit_with_bad_usage);
    CPPUNIT_TEST(the_usage_text_lists_every_flag);
    CPPUNIT_TEST_SUITE_END();

    static arguments parse(const std::vector<std::string>& words, findings& found)
    {
        const wall_time now{std::chrono::hours{24 * 365}};
        return parse_arguments(words, "10.0.0.9:80", now, found);
    }

    void flags_may_precede_follow_or_separate_operands()
    {
        findings found;
        const auto given =
            parse({"--json", "task", "start", "--job", "run", "id-1", "--deadline=2h"}, found);
        CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
        CPPUNIT_ASSERT(given.words == (std::vector<std::string>{"task", "start", "id-1"}));
        CPPUNIT_ASSERT(given.flags.json);
        CPPUNIT_ASSERT_EQUAL(std::string{"run"}, given.flags.job);
        CPPUNIT_ASSERT_EQUAL(std::string{"2h"}, given.flags.deadline);
    }

    void all_invalid_flags_are_reported_together()
    {
        findings found;
        parse({"task", "list", "--limit=many", "--timeout=10", "--entries=localhost:80", "--wrong",
               "--deadline=1970-01-01T00:00:00Z", "--expect=-3", "--json=maybe", "--owner"},
              found);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, found.items().size());
    }

    void flags_of_one_call_do_not_affect_the_next()
    {
        findings found;
        parse({"task", "list", "--owner=a", "--json"}, found);
        const auto given = parse({"task", "list"}, found);
        CPPUNIT_ASSERT(given.flags.owner.empty());
        CPPUNIT_ASSERT(!given.flags.json);
    }

    void the_entries_flag_overrides_the_environment()
    {
        findings found;
        const auto given = parse({"status", "--entries", "10.0.0.1:80,[::1]:81"}, found);
        CPPUNIT_ASSERT(given.flags.entries ==
                       (std::vector<ip_endpoint>{{"10.0.0.1", 80}, {"::1", 81}}));
        CPPUNIT_ASSERT(parse({"status"}, found).flags.entries ==
                       (std::vector<ip_endpoint>{{"10.0.0.9", 80}}));
        CPPUNIT_ASSERT(found.empty());
    }

    void unknown_commands_and_wrong_operand_counts_exit_with_bad_usage()
    {
        for (const auto& words : std::vector<std::vector<std::string>>{{"tasks"},
                                                                       {"task"},
                                                                       {"task", "start"},
                                                                       {"task", "show", "a", "b"},
                                                                       {"status", "x"}}) {
            findings found;
            std::ostringstream results;
            std::ostringstream problems;
            CPPUNIT_ASSERT(run_command(parse(words, found), {results, problems}) ==
                           exit_code::bad_usage);
            CPPUNIT_ASSERT(problems.str().find("--help") != std::string::npos);
            CPPUNIT_ASSERT(results.str().empty());
        }
    }

    void the_usage_text_lists_every_flag()
    {
        const auto usage = usage_text();
        for (const auto* flag : {"--entries", "--json", "--timeout", "--expect", "--version_number",
                                 "--job", "--deadline", "--owner", "--author", "--request_id",
                                 "--limit", "--help", "--version"})
            CPPUNIT_ASSERT_MESSAGE(flag, usage.find(flag) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(arguments_test);

} // namespace galenaturn::command_line
