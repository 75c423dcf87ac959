#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** Tests that the tail model adapts to changes and reaches the next leader unchanged. */
class tail_model_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tail_model_test);
    CPPUNIT_TEST(model_survives_serialization);
    CPPUNIT_TEST(changed_interference_is_learned);
    CPPUNIT_TEST(baseline_follows_a_changing_load);
    CPPUNIT_TEST_SUITE_END();

    static void learn_interference(tail_model& model, double slope, int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            const auto load = static_cast<double>(round % 4);
            observe_tail(model, "counter", 1 + slope * load,
                         {{"batch", millicores{std::int64_t{1000} * (round % 4)}}});
        }
    }

    void model_survives_serialization()
    {
        tail_model model;
        learn_interference(model, 0.5, 200);
        const auto decoded = wire::decode<tail_model>(wire::encode(model)).value();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(tail_slope(model, "counter", "batch"),
                                     tail_slope(decoded, "counter", "batch"), 1e-9);
        CPPUNIT_ASSERT(is_trusted_pair(decoded, "counter", "batch"));
    }

    void changed_interference_is_learned()
    {
        tail_model model;
        learn_interference(model, 0.2, 1000);
        learn_interference(model, 1.6, 2000);
        CPPUNIT_ASSERT(tail_slope(model, "counter", "batch") > 1.2);
    }

    void baseline_follows_a_changing_load()
    {
        baseline_latency baseline;
        time_point now{std::chrono::hours{1}};
        update_baseline(baseline, 12, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, expected_baseline(baseline, 45), 1e-9);
        // The baseline rises by 3 ms per second, so work that starts now meets a longer tail than
        // the last sample.
        for (int sample = 1; sample <= 12; ++sample) {
            now += std::chrono::milliseconds{500};
            update_baseline(baseline, 12 + sample * 1.5, now);
        }
        CPPUNIT_ASSERT(expected_baseline(baseline, 45) > 30);
        CPPUNIT_ASSERT(expected_baseline(baseline, 45) < 36);
        CPPUNIT_ASSERT(is_fresh(baseline, now));
        CPPUNIT_ASSERT(!is_fresh(baseline, now + std::chrono::seconds{3}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tail_model_test);

} // namespace galenaturn::schedule
