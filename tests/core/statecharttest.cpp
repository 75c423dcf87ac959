#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn {

class statechart_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(statechart_test);
    CPPUNIT_TEST(all_problems_of_a_chart_are_reported_in_one_pass);
    CPPUNIT_TEST(unknown_event_leaves_the_state_unchanged);
    CPPUNIT_TEST_SUITE_END();

    void all_problems_of_a_chart_are_reported_in_one_pass()
    {
        findings found;
        parse_chart("chart: broken\n"
                    "initial: a\n"
                    "events: [go, unused]\n"
                    "states:\n"
                    "  a: {on: {go: {to: nowhere, do: [missing]}}}\n"
                    "  island: {final: true}\n"
                    "  stuck: {}\n",
                    "broken.yaml", {"known"}, found);
        const auto text = found.text();
        for (const auto* problem :
             {"unknown action 'missing'", "unknown state 'nowhere'", "'island' cannot be reached",
              "has no exit", "'unused' does nothing"})
            CPPUNIT_ASSERT_MESSAGE(problem, text.find(problem) != std::string::npos);
        CPPUNIT_ASSERT(text.find("broken.yaml:5:") != std::string::npos);
    }

    void unknown_event_leaves_the_state_unchanged()
    {
        findings found;
        const auto chart = parse_chart("chart: small\n"
                                       "initial: a\n"
                                       "events: [go]\n"
                                       "states:\n"
                                       "  a: {on: {go: {to: b, do: [count]}}}\n"
                                       "  b: {final: true}\n",
                                       "small.yaml", {"count"}, found);
        CPPUNIT_ASSERT_EQUAL(std::string{}, found.text());
        const chart_actions<int> actions{{"count", [](int& number) { ++number; }}};
        int number = 0;
        std::string state = chart.initial;
        CPPUNIT_ASSERT(!apply_event(chart, actions, state, "stop", number));
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, state);
        CPPUNIT_ASSERT(apply_event(chart, actions, state, "go", number));
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, state);
        CPPUNIT_ASSERT_EQUAL(1, number);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statechart_test);

} // namespace galenaturn
