#include <galenaturn/core.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn {

class units_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(units_test);
    CPPUNIT_TEST(demand_fits_only_if_every_resource_fits);
    CPPUNIT_TEST(amounts_with_units_are_parsed);
    CPPUNIT_TEST(amounts_with_missing_or_wrong_units_are_rejected);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(units_test);

} // namespace galenaturn
