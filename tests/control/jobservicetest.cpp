#include "testleader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenaturn::controld {

/** Tests the leader's job service with workers in the same process. */
class job_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_service_test);
    CPPUNIT_TEST(stop_of_a_cancelled_job_does_not_wait_for_a_pass);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t jobs = 20;

public:
    /** Stops waited for the next pass, so that tasks of cancelled jobs ran on for seconds. */
    void stop_of_a_cancelled_job_does_not_wait_for_a_pass()
    {
        test_leader leader{4};
        for (std::size_t job = 0; job < jobs; ++job)
            leader.submit(std::to_string(job));
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == jobs; }));
        std::size_t sent_without_pass = 0;
        for (std::size_t job = 0; job < jobs; ++job) {
            CPPUNIT_ASSERT(leader.run_until_pass());
            const auto passes = leader.passes();
            leader.cancel(std::to_string(job));
            CPPUNIT_ASSERT(leader.run_until([&] { return leader.stops().size() == job + 1; }));
            sent_without_pass += leader.stops().back().passes == passes ? 1 : 0;
        }
        // A pass that is due anyway may come first.
        CPPUNIT_ASSERT(sent_without_pass > jobs / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_service_test);

} // namespace galenaturn::controld
