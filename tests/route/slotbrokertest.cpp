#include "entryd/slotbroker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::entryd {

/** Tests the slots and the health of upstreams at one entry, without requests. */
class slot_broker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_broker_test);
    CPPUNIT_TEST(failures_of_an_earlier_incarnation_do_not_eject_the_new_one);
    CPPUNIT_TEST_SUITE_END();

    static wire::upstream_announcement make_announcement(int number, std::uint64_t started)
    {
        wire::upstream_announcement announcement;
        announcement.id = upstream_id{"runner-" + std::to_string(number)};
        announcement.service = service_id{"charge"};
        announcement.domain = failure_domain_id{"hall-a"};
        announcement.incarnation_number = incarnation{started};
        announcement.sequence = 1;
        announcement.slots = 8;
        announcement.connections = 8;
        return announcement;
    }

    void failures_of_an_earlier_incarnation_do_not_eject_the_new_one()
    {
        boost::asio::io_context io;
        metrics_registry registry;
        request_metrics metrics{registry};
        slot_broker broker{io, {process_id{"a"}, failure_domain_id{"hall-a"}, 1}, metrics};
        for (int number = 0; number < 4; ++number) {
            broker.on_announcement(make_announcement(number, 1));
            auto idle = make_announcement(number, 1);
            idle.sequence = 2;
            broker.on_announcement(idle);
        }
        std::vector<slot_grant> taken;
        const std::vector<upstream_id> others{upstream_id{"runner-1"}, upstream_id{"runner-2"},
                                              upstream_id{"runner-3"}};
        for (int request = 0; request < 5; ++request) {
            auto grant = broker.acquire_other(0, others);
            CPPUNIT_ASSERT(grant);
            taken.push_back(*grant);
        }
        // The host restarts without resetting its connections: the requests time out later.
        broker.on_announcement(make_announcement(0, 2));
        for (const auto& grant : taken)
            broker.release_slot(grant, route::attempt_outcome::timed_out, std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, metrics.ejections.value());
        CPPUNIT_ASSERT(broker.acquire_other(0, others));
        for (int request = 0; request < 5; ++request) {
            const auto grant = broker.acquire_other(0, others);
            CPPUNIT_ASSERT(grant);
            broker.release_slot(*grant, route::attempt_outcome::timed_out, {});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, metrics.ejections.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_broker_test);

} // namespace galenaturn::entryd
