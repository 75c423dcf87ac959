#include "membership/gossipsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::membership {

/** Runs gossip nodes on a virtual clock with loss, delay, duplication, partitions and restarts. */
class gossip_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gossip_test);
    CPPUNIT_TEST(every_entry_knows_a_leaving_upstream_within_two_seconds_at_ten_percent_loss);
    CPPUNIT_TEST(a_silent_upstream_expires_at_every_entry);
    CPPUNIT_TEST(upstreams_stay_announced_when_the_entry_that_hosts_them_stops);
    CPPUNIT_TEST(a_restarted_entry_knows_all_upstreams_within_an_announcement_interval);
    CPPUNIT_TEST(a_restart_with_the_wall_clock_set_back_is_recognised);
    CPPUNIT_TEST(a_stopped_process_is_declared_dead_and_a_reachable_one_never);
    CPPUNIT_TEST(a_failure_domain_rejoins_after_a_partition);
    CPPUNIT_TEST(an_upstream_that_alternates_between_two_entries_stays_announced);
    CPPUNIT_TEST(mutated_messages_decode_or_are_rejected_without_a_crash);
    CPPUNIT_TEST(all_views_recover_after_random_faults);
    CPPUNIT_TEST_SUITE_END();

    static simulation_settings make_settings(std::uint64_t seed, double loss)
    {
        simulation_settings settings;
        settings.seed = seed;
        settings.faults.loss = loss;
        settings.faults.duplication = loss / 2;
        settings.faults.max_delay = std::chrono::milliseconds{20};
        settings.charts_folder = std::string{GALENATURN_SOURCE_DIR} + "/charts";
        return settings;
    }

    static std::string seed_message(std::uint64_t seed) { return "seed " + std::to_string(seed); }

    void every_entry_knows_a_leaving_upstream_within_two_seconds_at_ten_percent_loss()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            gossip_simulation simulation{make_settings(seed, 0.1)};
            simulation.run_for(std::chrono::seconds{10});
            for (std::size_t index = 0; index < 20; ++index) {
                simulation.announce_leaving(index);
                simulation.run_for(std::chrono::milliseconds{2000});
                CPPUNIT_ASSERT_MESSAGE(seed_message(seed),
                                       simulation.known_everywhere(index, {"leaving", "lapsed"}));
            }
        }
    }

    void a_silent_upstream_expires_at_every_entry()
    {
        gossip_simulation simulation{make_settings(3, 0.1)};
        simulation.run_for(std::chrono::seconds{10});
        for (std::size_t index = 0; index < 10; ++index)
            simulation.upstreams()[index].running = false;
        // The time to live of an announcement, and two seconds for the change to reach every entry.
        simulation.run_for(announcement_ttl + std::chrono::milliseconds{2000});
        for (std::size_t index = 0; index < 10; ++index)
            CPPUNIT_ASSERT(simulation.known_everywhere(index, {"lapsed"}));
        for (std::size_t index = 10; index < 65; ++index)
            CPPUNIT_ASSERT(simulation.known_everywhere(index, {"announced"}));
    }

    void upstreams_stay_announced_when_the_entry_that_hosts_them_stops()
    {
        gossip_simulation simulation{make_settings(4, 0.01)};
        simulation.run_for(std::chrono::seconds{10});
        const auto expiries = simulation.expiries();
        simulation.stop(0);
        simulation.run_for(std::chrono::seconds{10});
        CPPUNIT_ASSERT_EQUAL(expiries, simulation.expiries());
        for (std::size_t index = 0; index < 65; ++index)
            CPPUNIT_ASSERT(simulation.known_everywhere(index, {"announced"}));
    }

    void a_restarted_entry_knows_all_upstreams_within_an_announcement_interval()
    {
        gossip_simulation simulation{make_settings(5, 0)};
        simulation.run_for(std::chrono::seconds{10});
        const auto expected = simulation.announced_at(0);
        simulation.stop(0);
        simulation.run_for(std::chrono::seconds{5});
        simulation.start(0);
        simulation.run_for(announcement_interval);
        CPPUNIT_ASSERT_EQUAL(expected, simulation.announced_at(0));
    }

    void a_restart_with_the_wall_clock_set_back_is_recognised()
    {
        gossip_simulation simulation{make_settings(11, 0)};
        simulation.run_for(std::chrono::seconds{10});
        simulation.stop(0);
        simulation.run_for(std::chrono::seconds{1});
        simulation.start(0, std::chrono::seconds{60});
        simulation.stop(3);
        simulation.run_for(std::chrono::seconds{3});
        simulation.start(3);
        simulation.run_for(std::chrono::seconds{5});
        CPPUNIT_ASSERT(simulation.status_of(0, 3) == member_status::alive);
        for (std::size_t index = 0; index < 65; index += 3)
            CPPUNIT_ASSERT(simulation.known_everywhere(index, {"announced"}));
    }

    void a_stopped_process_is_declared_dead_and_a_reachable_one_never()
    {
        gossip_simulation simulation{make_settings(6, 0.05)};
        simulation.run_for(std::chrono::seconds{10});
        simulation.stop(4);
        std::size_t steps_declared_dead = 0;
        for (int step = 0; step < 300; ++step) {
            simulation.run_for(std::chrono::milliseconds{100});
            for (std::size_t observed = 0; observed < 9; ++observed) {
                if (observed != 4)
                    steps_declared_dead +=
                        simulation.status_of(observed, 0) == member_status::dead ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, steps_declared_dead);
        for (std::size_t observer = 0; observer < 9; ++observer) {
            if (observer != 4)
                CPPUNIT_ASSERT(simulation.status_of(4, observer) == member_status::dead);
        }
    }

    void a_failure_domain_rejoins_after_a_partition()
    {
        gossip_simulation simulation{make_settings(7, 0.01)};
        simulation.run_for(std::chrono::seconds{10});
        const std::set<std::size_t> isolated{0, 3, 6};
        simulation.isolate(isolated);
        simulation.run_for(std::chrono::seconds{60});
        CPPUNIT_ASSERT(simulation.status_of(1, 0) == member_status::dead);
        CPPUNIT_ASSERT(simulation.status_of(0, 1) == member_status::dead);
        CPPUNIT_ASSERT(simulation.status_of(3, 0) == member_status::alive);
        simulation.isolate({});
        simulation.run_for(std::chrono::seconds{30});
        for (std::size_t index = 0; index < 9; ++index) {
            for (std::size_t observer = 0; observer < 9; ++observer)
                CPPUNIT_ASSERT(simulation.status_of(index, observer) == member_status::alive);
        }
    }

    void an_upstream_that_alternates_between_two_entries_stays_announced()
    {
        gossip_simulation simulation{make_settings(8, 0.1)};
        simulation.run_for(std::chrono::seconds{10});
        const auto expiries = simulation.expiries();
        auto& moving = simulation.upstreams()[0];
        for (int turn = 0; turn < 60; ++turn) {
            moving.entry = moving.entry == 0 ? 3 : 0;
            simulation.run_for(std::chrono::milliseconds{250 + 50 * (turn % 13)});
        }
        simulation.run_for(std::chrono::seconds{10});
        CPPUNIT_ASSERT(simulation.known_everywhere(0, {"announced"}));
        CPPUNIT_ASSERT_EQUAL(expiries, simulation.expiries());
    }

    void mutated_messages_decode_or_are_rejected_without_a_crash()
    {
        gossip_simulation simulation{make_settings(9, 0)};
        simulation.run_for(std::chrono::seconds{3});
        auto& node = *simulation.processes()[0].node;
        gossip_effects effects;
        node.tick(simulation.now() + std::chrono::seconds{2}, effects);
        CPPUNIT_ASSERT(!effects.send.empty());
        const auto bytes = wire::encode(effects.send.front().message);
        int rejected = 0;
        for (int round = 0; round < 5000; ++round) {
            auto mutated = bytes;
            mutated[simulation.random()() % mutated.size()] =
                static_cast<char>(simulation.random()());
            rejected += wire::decode<gossip_message>(mutated) ? 0 : 1;
        }
        CPPUNIT_ASSERT(rejected > 0);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!wire::decode<gossip_message>(bytes.substr(0, size)));
    }

    static void apply_random_fault(gossip_simulation& simulation)
    {
        auto& random = simulation.random();
        const auto entry = random() % 6;
        switch (random() % 5) {
        case 0:
            if (simulation.processes()[entry].running)
                simulation.stop(entry);
            break;
        case 1:
            if (!simulation.processes()[entry].running)
                simulation.start(entry);
            break;
        case 2:
            simulation.isolate({entry});
            break;
        case 3:
            simulation.isolate({});
            break;
        default:
            simulation.faults().loss = static_cast<double>(random() % 20) / 100;
        }
    }

    /** Thirty seconds after the last fault, every process sees all upstreams and members again. */
    void all_views_recover_after_random_faults()
    {
        for (std::uint64_t seed = 100; seed < 140; ++seed) {
            gossip_simulation simulation{make_settings(seed, 0.05)};
            for (int step = 0; step < 20; ++step) {
                simulation.run_for(std::chrono::milliseconds{simulation.random()() % 3000});
                apply_random_fault(simulation);
            }
            simulation.faults().loss = 0;
            simulation.isolate({});
            for (std::size_t entry = 0; entry < 6; ++entry) {
                if (!simulation.processes()[entry].running)
                    simulation.start(entry);
            }
            simulation.run_for(std::chrono::seconds{30});
            for (std::size_t index = 0; index < 65; ++index)
                CPPUNIT_ASSERT_MESSAGE(seed_message(seed),
                                       simulation.known_everywhere(index, {"announced"}));
            for (std::size_t index = 0; index < 9; ++index) {
                for (std::size_t observer = 0; observer < 9; ++observer)
                    CPPUNIT_ASSERT_MESSAGE(seed_message(seed),
                                           simulation.status_of(index, observer) ==
                                               member_status::alive);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_test);

} // namespace galenaturn::membership
