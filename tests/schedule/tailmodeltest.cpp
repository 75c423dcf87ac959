#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** What one leader has learned reaches the next one whole. */
class tail_model_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tail_model_test);
    CPPUNIT_TEST(a_model_survives_the_way_to_another_process);
    CPPUNIT_TEST(a_changed_neighbour_is_learned_anew);
    CPPUNIT_TEST_SUITE_END();

    static void learn(tail_model& model, double slope, int rounds)
    {
        for (int seen = 0; seen < rounds; ++seen) {
            const auto load = static_cast<double>(seen % 4);
            observe_tail(model, "counter", 6 + slope * load,
                         {{"batch", millicores{std::int64_t{1000} * (seen % 4)}}});
        }
    }

    void a_model_survives_the_way_to_another_process()
    {
        tail_model model;
        learn(model, 3, 200);
        const auto read = wire::decode<tail_model>(wire::encode(model)).value();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(tail_slope(model, "counter", "batch"),
                                     tail_slope(read, "counter", "batch"), 1e-9);
        CPPUNIT_ASSERT(is_known_pair(read, "counter", "batch"));
    }

    void a_changed_neighbour_is_learned_anew()
    {
        tail_model model;
        learn(model, 1, 1000);
        learn(model, 8, 2000);
        CPPUNIT_ASSERT(tail_slope(model, "counter", "batch") > 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tail_model_test);

} // namespace galenaturn::schedule
