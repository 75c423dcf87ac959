#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** What one leader has learned reaches the next one whole. */
class tail_model_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tail_model_test);
    CPPUNIT_TEST(a_model_survives_the_way_to_another_process);
    CPPUNIT_TEST(a_changed_neighbour_is_learned_anew);
    CPPUNIT_TEST(a_tail_is_followed_while_its_users_come_and_go);
    CPPUNIT_TEST_SUITE_END();

    static void learn(tail_model& model, double slope, int rounds)
    {
        for (int seen = 0; seen < rounds; ++seen) {
            const auto load = static_cast<double>(seen % 4);
            observe_tail(model, "counter", 1 + slope * load,
                         {{"batch", millicores{std::int64_t{1000} * (seen % 4)}}});
        }
    }

    void a_model_survives_the_way_to_another_process()
    {
        tail_model model;
        learn(model, 0.5, 200);
        const auto read = wire::decode<tail_model>(wire::encode(model)).value();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(tail_slope(model, "counter", "batch"),
                                     tail_slope(read, "counter", "batch"), 1e-9);
        CPPUNIT_ASSERT(is_known_pair(read, "counter", "batch"));
    }

    void a_changed_neighbour_is_learned_anew()
    {
        tail_model model;
        learn(model, 0.2, 1000);
        learn(model, 1.6, 2000);
        CPPUNIT_ASSERT(tail_slope(model, "counter", "batch") > 1.2);
    }

    void a_tail_is_followed_while_its_users_come_and_go()
    {
        own_tail tail;
        time_point now{std::chrono::hours{1}};
        follow_tail(tail, 12, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, tail_to_expect(tail, 45), 1e-9);
        // It rises by 3 ms a second: what begins now meets more than was told last.
        for (int told = 1; told <= 12; ++told) {
            now += std::chrono::milliseconds{500};
            follow_tail(tail, 12 + told * 1.5, now);
        }
        CPPUNIT_ASSERT(tail_to_expect(tail, 45) > 30);
        CPPUNIT_ASSERT(tail_to_expect(tail, 45) < 36);
        CPPUNIT_ASSERT(is_fresh(tail, now));
        CPPUNIT_ASSERT(!is_fresh(tail, now + std::chrono::seconds{3}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tail_model_test);

} // namespace galenaturn::schedule
