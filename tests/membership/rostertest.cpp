#include <galenaturn/membership.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::membership {

/** Control processes that find each other through seeds. */
class roster_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(roster_test);
    CPPUNIT_TEST(a_process_learns_of_others_through_one_seed);
    CPPUNIT_TEST(hearsay_makes_nobody_present);
    CPPUNIT_TEST(a_seed_is_never_forgotten_and_another_one_is);
    CPPUNIT_TEST(its_own_name_and_entries_are_no_control_processes);
    CPPUNIT_TEST_SUITE_END();

    static roster_entry entry(const std::string& address)
    {
        const ip_endpoint peer{address, 7000};
        return {process_id{to_string(peer)}, failure_domain_id{"hall-a"}, region_id{"r"}, peer, {}};
    }

    static roster make(const std::string& address, const std::vector<std::string>& seeds)
    {
        process_settings settings;
        settings.self.role = process_role::control;
        settings.self.peer = {address, 7000};
        settings.self.id = process_id{to_string(settings.self.peer)};
        settings.join.emplace();
        for (const auto& seed : seeds)
            settings.join->seeds.push_back({seed, 7000});
        return make_roster(settings, start);
    }

    static roster_message said(const std::string& by, const std::vector<std::string>& controls)
    {
        roster_message message;
        message.self = entry(by);
        message.role = process_role::control;
        for (const auto& control : controls)
            message.controls.push_back(entry(control));
        return message;
    }

    static constexpr time_point start{std::chrono::hours{1}};

    void a_process_learns_of_others_through_one_seed()
    {
        auto known = make("10.0.0.9", {"10.0.0.1"});
        const auto added =
            hear(known, said("10.0.0.1", {"10.0.0.2", "10.0.0.9", "10.0.0.3"}), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, added.size());
        CPPUNIT_ASSERT(is_present(known, entry("10.0.0.1").id, start + std::chrono::seconds{1}));
        CPPUNIT_ASSERT(!is_present(known, entry("10.0.0.1").id, start + std::chrono::seconds{3}));
    }

    void hearsay_makes_nobody_present()
    {
        auto known = make("10.0.0.9", {"10.0.0.1"});
        hear(known, said("10.0.0.1", {"10.0.0.2"}), start);
        CPPUNIT_ASSERT(!is_present(known, entry("10.0.0.2").id, start));
        const auto told = make_message(known, {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.controls.size());
    }

    void a_seed_is_never_forgotten_and_another_one_is()
    {
        auto known = make("10.0.0.9", {"10.0.0.1"});
        hear(known, said("10.0.0.2", {}), start);
        const auto gone = forget_silent(known, start + std::chrono::minutes{5});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gone.size());
        CPPUNIT_ASSERT_EQUAL(entry("10.0.0.2").id.value(), gone.front().value());
        CPPUNIT_ASSERT(known.controls.contains(entry("10.0.0.1").id));
    }

    void its_own_name_and_entries_are_no_control_processes()
    {
        auto known = make("10.0.0.9", {"10.0.0.9"});
        auto message = said("10.0.0.5", {"10.0.0.9"});
        message.role = process_role::entry;
        CPPUNIT_ASSERT(hear(known, message, start).empty());
        CPPUNIT_ASSERT(known.controls.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(roster_test);

} // namespace galenaturn::membership
