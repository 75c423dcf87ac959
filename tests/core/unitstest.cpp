#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn {

class units_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(units_test);
    CPPUNIT_TEST(demand_fits_only_if_every_resource_fits);
    CPPUNIT_TEST(amounts_with_units_are_parsed);
    CPPUNIT_TEST(amounts_with_missing_or_wrong_units_are_rejected);
    CPPUNIT_TEST(a_worker_id_holds_its_name_and_life);
    CPPUNIT_TEST_SUITE_END();

    void demand_fits_only_if_every_resource_fits()
    {
        const resources free{millicores{4000}, bytes{100}, accelerator_count{1}};
        CPPUNIT_ASSERT(fits(free, free));
        CPPUNIT_ASSERT(!fits({millicores{4001}, bytes{1}, {}}, free));
        CPPUNIT_ASSERT(!fits({millicores{1}, bytes{101}, {}}, free));
        CPPUNIT_ASSERT(!fits({millicores{1}, bytes{1}, accelerator_count{2}}, free));
    }

    void amounts_with_units_are_parsed()
    {
        CPPUNIT_ASSERT(parse_duration("1.6s") == duration{1'600'000});
        CPPUNIT_ASSERT(parse_duration("20min") == std::chrono::minutes{20});
        CPPUNIT_ASSERT(parse_bytes("125GiB") == bytes{125LL << 30});
        CPPUNIT_ASSERT(parse_processors("0.5") == millicores{500});
        CPPUNIT_ASSERT(parse_endpoint("[::1]:80").has_value());
    }

    void amounts_with_missing_or_wrong_units_are_rejected()
    {
        CPPUNIT_ASSERT(!parse_duration("10"));
        CPPUNIT_ASSERT(!parse_duration("-1s"));
        CPPUNIT_ASSERT(!parse_bytes("1GB"));
        CPPUNIT_ASSERT(!parse_bytes("1e30TiB"));
        CPPUNIT_ASSERT(!parse_endpoint("localhost:80"));
        CPPUNIT_ASSERT(!parse_endpoint("127.0.0.1:70000"));
    }

    void a_worker_id_holds_its_name_and_life()
    {
        const auto worker = make_worker_id("w@1", incarnation{7});
        CPPUNIT_ASSERT_EQUAL(std::string{"w@1"}, name_of(worker));
        CPPUNIT_ASSERT(incarnation_of(worker) == incarnation{7});
        for (const char* name : {"w1", "w@", "w@x", "w@-1"}) {
            CPPUNIT_ASSERT_EQUAL(std::string{name}, name_of(worker_id{name}));
            CPPUNIT_ASSERT(incarnation_of(make_worker_id(name, {})) == incarnation{});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(units_test);

} // namespace galenaturn
