#include "virtualworld.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

class world_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(world_test);
    CPPUNIT_TEST(promises_hold_while_processes_and_the_network_fail);
    CPPUNIT_TEST_SUITE_END();

    void promises_hold_while_processes_and_the_network_fail()
    {
        world_counts sum;
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            world_options options;
            options.seed = seed;
            options.charts_folder = GALENATURN_SOURCE_DIR "/charts";
            const auto counts = virtual_world{options}.run();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{options.tasks}, counts.finished);
            sum.moves += counts.moves;
            sum.steward_crashes += counts.steward_crashes;
            sum.partitions += counts.partitions;
            sum.worker_crashes += counts.worker_crashes;
        }
        // The runs must have exercised the faults.
        CPPUNIT_ASSERT(sum.moves > 0);
        CPPUNIT_ASSERT(sum.steward_crashes > 12);
        CPPUNIT_ASSERT(sum.partitions > 12);
        CPPUNIT_ASSERT(sum.worker_crashes > 12);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(world_test);

} // namespace galenaturn::schedule
