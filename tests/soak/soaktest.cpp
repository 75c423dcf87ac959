#include "platform/soak/soak.h"
#include "platform/soak/configrecord.h"
#include "platform/soak/runrecord.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace galenaturn::soak {

using std::chrono::milliseconds;

/** Tests the checks of the soak with real processes, and runs one seed of it. */
class process_soak_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_soak_test);
    CPPUNIT_TEST(two_runs_at_once_are_found);
    CPPUNIT_TEST(start_after_an_acknowledged_end_is_found);
    CPPUNIT_TEST(runs_of_a_lost_life_and_lapsed_ends_are_no_violation);
    CPPUNIT_TEST(older_configuration_is_found);
    CPPUNIT_TEST(configuration_that_goes_back_is_found);
    CPPUNIT_TEST(real_processes_keep_their_promises);
    CPPUNIT_TEST_SUITE_END();

    static std::size_t violations_in(const std::string& journal)
    {
        std::istringstream lines{journal};
        return check_runs(lines).violations.size();
    }

    static time_point at(std::int64_t ms) { return time_point{milliseconds{ms}}; }

    static config_probe probe(std::int64_t ms, int version, shown_version shown)
    {
        return {"entry-1", 1, at(ms), at(ms + 5), version, shown};
    }

    static std::size_t violations_in(const std::vector<config_probe>& probes,
                                     const disruption_log& disruptions)
    {
        const std::vector<config_change> changes{{1, at(0), at(10)}, {3, at(20'000), at(20'100)}};
        return check_configurations(changes, probes, disruptions).size();
    }

public:
    void two_runs_at_once_are_found()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             violations_in("1 w1 up\n2 w2 up\n10 w1 start a.0.0.0 1\n"
                                           "20 w2 start a.0.0.0 2\n"
                                           "21 w1 end a.0.0.0 1 done 1\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_in("10 w1 start a.0.0.0 1\n"
                                                           "20 w1 end a.0.0.0 1 lapsed 1\n"
                                                           "21 w2 start a.0.0.0 2\n"));
    }

    void start_after_an_acknowledged_end_is_found()
    {
        const std::string ended = "10 w1 start a.0.0.0 1\n20 w1 end a.0.0.0 1 done 1\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             violations_in(ended + "25 w1 seen 1\n30 w2 start a.0.0.0 2\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             violations_in(ended + "30 w2 start a.0.0.0 2\n35 w1 seen 1\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_in(ended + "30 w2 start a.0.0.0 2\n"));
    }

    void runs_of_a_lost_life_and_lapsed_ends_are_no_violation()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_in("10 w1 start a.0.0.0 1\n15 w1 still\n"
                                                           "20 w2 start a.0.0.0 2\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             violations_in("10 w1 start a.0.0.0 1\n20 w1 end a.0.0.0 1 done 1\n"
                                           "22 w1 lapse\n25 w1 seen 1\n30 w2 start a.0.0.0 2\n"));
    }

    void older_configuration_is_found()
    {
        disruption_log calm;
        using enum shown_version;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_in({probe(22'090, 3, not_in_force)}, calm));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_in({probe(22'110, 3, not_in_force)}, calm));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_in({probe(22'110, 1, in_force)}, calm));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_in({probe(22'110, 1, read)}, calm));
        disruption_log control_killed;
        control_killed.begin("control-1", true, false, at(19'500));
        control_killed.end("control-1", at(20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             violations_in({probe(22'110, 1, in_force)}, control_killed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             violations_in({probe(22'610, 1, in_force)}, control_killed));
        disruption_log entry_killed;
        entry_killed.begin("entry-1", false, false, at(20'500));
        entry_killed.end("entry-1", at(20'800));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             violations_in({probe(22'110, 1, in_force)}, entry_killed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations_in({probe(22'110, 1, read)}, entry_killed));
    }

    void configuration_that_goes_back_is_found()
    {
        disruption_log calm;
        using enum shown_version;
        const auto shows_new = probe(20'200, 3, in_force);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             violations_in({shows_new, probe(20'400, 1, in_force)}, calm));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             violations_in({shows_new, probe(20'500, 1, in_force)}, calm));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             violations_in({shows_new, probe(20'500, 3, not_in_force)}, calm));
        auto next_life = probe(20'500, 1, in_force);
        next_life.life = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, violations_in({shows_new, next_life}, calm));
    }

    void real_processes_keep_their_promises()
    {
        soak_options options;
        options.seed = 1;
        options.disturbed = std::chrono::seconds{15};
        options.programs = GALENATURN_BINARY_DIR;
        options.logs = options.programs / "soak";
        const auto result = run_soak(options);
        std::string failures;
        for (const auto& violation : result.violations)
            failures += violation + "\n";
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(options.seed) + "\n" + failures +
                                   result.folder.string(),
                               result.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_soak_test);

} // namespace galenaturn::soak
