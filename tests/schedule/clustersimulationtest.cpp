#include "clustersimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

class cluster_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cluster_simulation_test);
    CPPUNIT_TEST(invariants_hold_under_process_and_network_faults);
    CPPUNIT_TEST_SUITE_END();

    void invariants_hold_under_process_and_network_faults()
    {
        simulation_counts sum;
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            simulation_options options;
            options.seed = seed;
            options.charts_folder = GALENATURN_SOURCE_DIR "/charts";
            const auto counts = cluster_simulation{options}.run();
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

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_simulation_test);

} // namespace galenaturn::schedule
