#include <galenaturn/daemon.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::daemon {

/** Tests what the peer directory knows of the control processes. */
class roster_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(roster_service_test);
    CPPUNIT_TEST(the_failure_domain_of_a_seed_is_known_after_its_first_message);
    CPPUNIT_TEST_SUITE_END();

    /** Without it the leader cannot spread the voters of the ledger over the failure domains. */
    void the_failure_domain_of_a_seed_is_known_after_its_first_message()
    {
        const ip_endpoint seed{"127.0.0.1", 7001};
        process_settings settings;
        settings.self.peer = {"127.0.0.1", 7000};
        settings.self.id = process_id{to_string(settings.self.peer)};
        settings.self.domain = failure_domain_id{"hall-a"};
        settings.self.role = process_role::control;
        settings.join.emplace();
        settings.join->seeds.push_back(seed);
        context shared{settings};
        roster_service service{shared};
        const process_id sender{to_string(seed)};
        membership::roster_message message;
        message.self = {sender, failure_domain_id{"hall-b"}, region_id{"r"}, seed, {}};
        message.role = process_role::control;
        CPPUNIT_ASSERT(shared.frames.dispatch({sender, failure_domain_id{"hall-b"}},
                                              {wire::frame_kind::roster, 1, wire::encode(message)},
                                              [](const std::string& /*payload*/) {}));
        const auto& known = service.current_roster().controls.at(sender);
        CPPUNIT_ASSERT_EQUAL(failure_domain_id{"hall-b"}, known.entry.domain);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shared.peers.members().size());
        CPPUNIT_ASSERT_EQUAL(failure_domain_id{"hall-b"}, shared.peers.members().front().domain);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(roster_service_test);

} // namespace galenaturn::daemon
