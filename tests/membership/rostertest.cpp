#include <galenaturn/membership.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::membership {

/** Tests the discovery of control processes through seeds. */
class roster_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(roster_test);
    CPPUNIT_TEST(a_process_discovers_others_through_one_seed);
    CPPUNIT_TEST(a_process_reported_only_by_others_is_not_present);
    CPPUNIT_TEST(a_silent_process_is_forgotten_unless_it_is_a_seed);
    CPPUNIT_TEST(the_process_itself_and_entries_are_not_added);
    CPPUNIT_TEST_SUITE_END();

    static roster_entry entry(const std::string& address)
    {
        const ip_endpoint peer{address, 7000};
        return {process_id{to_string(peer)}, failure_domain_id{"hall-a"}, region_id{"r"}, peer, {}};
    }

    static roster make_test_roster(const std::string& address,
                                   const std::vector<std::string>& seeds)
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

    static roster_message message_from(const std::string& sender,
                                       const std::vector<std::string>& controls)
    {
        roster_message message;
        message.self = entry(sender);
        message.role = process_role::control;
        for (const auto& control : controls)
            message.controls.push_back(entry(control));
        return message;
    }

    static constexpr time_point start{std::chrono::hours{1}};

    void a_process_discovers_others_through_one_seed()
    {
        auto state = make_test_roster("10.0.0.9", {"10.0.0.1"});
        const auto added = on_roster_message(
            state, message_from("10.0.0.1", {"10.0.0.2", "10.0.0.9", "10.0.0.3"}), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, added.size());
        CPPUNIT_ASSERT(is_present(state, entry("10.0.0.1").id, start + std::chrono::seconds{1}));
        CPPUNIT_ASSERT(!is_present(state, entry("10.0.0.1").id, start + std::chrono::seconds{3}));
    }

    void a_process_reported_only_by_others_is_not_present()
    {
        auto state = make_test_roster("10.0.0.9", {"10.0.0.1"});
        on_roster_message(state, message_from("10.0.0.1", {"10.0.0.2"}), start);
        CPPUNIT_ASSERT(!is_present(state, entry("10.0.0.2").id, start));
        const auto message = make_message(state, {}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, message.controls.size());
    }

    void a_silent_process_is_forgotten_unless_it_is_a_seed()
    {
        auto state = make_test_roster("10.0.0.9", {"10.0.0.1"});
        on_roster_message(state, message_from("10.0.0.2", {}), start);
        const auto forgotten = forget_silent(state, start + std::chrono::minutes{5});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forgotten.size());
        CPPUNIT_ASSERT_EQUAL(entry("10.0.0.2").id.value(), forgotten.front().value());
        CPPUNIT_ASSERT(state.controls.contains(entry("10.0.0.1").id));
    }

    void the_process_itself_and_entries_are_not_added()
    {
        auto state = make_test_roster("10.0.0.9", {"10.0.0.9"});
        auto message = message_from("10.0.0.5", {"10.0.0.9"});
        message.role = process_role::entry;
        CPPUNIT_ASSERT(on_roster_message(state, message, start).empty());
        CPPUNIT_ASSERT(state.controls.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(roster_test);

} // namespace galenaturn::membership
