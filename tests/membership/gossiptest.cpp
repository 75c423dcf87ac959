#include "membership/gossipsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::membership {

/** Runs gossip nodes on a virtual clock under loss, delay, duplication, partitions, restarts. */
class gossip_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gossip_test);
    CPPUNIT_TEST(a_leaving_upstream_is_known_everywhere_in_two_seconds_at_a_tenth_lost);
    CPPUNIT_TEST(a_silent_upstream_lapses_everywhere);
    CPPUNIT_TEST(upstreams_survive_the_loss_of_the_entry_that_hosts_them);
    CPPUNIT_TEST(a_restarted_entry_knows_its_upstreams_within_an_interval);
    CPPUNIT_TEST(an_entry_whose_wall_clock_was_set_back_is_believed);
    CPPUNIT_TEST(a_dead_process_is_found_and_a_reachable_one_is_never_held_dead);
    CPPUNIT_TEST(a_domain_that_was_cut_off_is_found_again);
    CPPUNIT_TEST(an_upstream_that_changes_its_entry_back_and_forth_stays_known);
    CPPUNIT_TEST(mutated_datagrams_are_refused_or_taken_without_harm);
    CPPUNIT_TEST(randomised_faults_keep_the_promises);
    CPPUNIT_TEST_SUITE_END();

    static simulation_shape shape(std::uint64_t seed, double loss)
    {
        simulation_shape made;
        made.seed = seed;
        made.faults.loss = loss;
        made.faults.duplication = loss / 2;
        made.faults.most_delay = std::chrono::milliseconds{20};
        made.charts_folder = std::string{GALENATURN_SOURCE_DIR} + "/charts";
        return made;
    }

    static std::string context(std::uint64_t seed) { return "seed " + std::to_string(seed); }

    void a_leaving_upstream_is_known_everywhere_in_two_seconds_at_a_tenth_lost()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            gossip_simulation simulation{shape(seed, 0.1)};
            simulation.run_for(std::chrono::seconds{10});
            for (std::size_t index = 0; index < 20; ++index) {
                simulation.leave(index);
                simulation.run_for(std::chrono::milliseconds{2000});
                CPPUNIT_ASSERT_MESSAGE(context(seed),
                                       simulation.known_everywhere(index, {"leaving", "lapsed"}));
            }
        }
    }

    void a_silent_upstream_lapses_everywhere()
    {
        gossip_simulation simulation{shape(3, 0.1)};
        simulation.run_for(std::chrono::seconds{10});
        for (std::size_t index = 0; index < 10; ++index)
            simulation.upstreams()[index].running = false;
        // The time to live of an announcement, and two seconds until every entry knows.
        simulation.run_for(announcement_ttl + std::chrono::milliseconds{2000});
        for (std::size_t index = 0; index < 10; ++index)
            CPPUNIT_ASSERT(simulation.known_everywhere(index, {"lapsed"}));
        for (std::size_t index = 10; index < 65; ++index)
            CPPUNIT_ASSERT(simulation.known_everywhere(index, {"announced"}));
    }

    void upstreams_survive_the_loss_of_the_entry_that_hosts_them()
    {
        gossip_simulation simulation{shape(4, 0.01)};
        simulation.run_for(std::chrono::seconds{10});
        const auto lapses = simulation.lapses();
        simulation.stop(0);
        simulation.run_for(std::chrono::seconds{10});
        CPPUNIT_ASSERT_EQUAL(lapses, simulation.lapses());
        for (std::size_t index = 0; index < 65; ++index)
            CPPUNIT_ASSERT(simulation.known_everywhere(index, {"announced"}));
    }

    void a_restarted_entry_knows_its_upstreams_within_an_interval()
    {
        gossip_simulation simulation{shape(5, 0)};
        simulation.run_for(std::chrono::seconds{10});
        const auto expected = simulation.announced_at(0);
        simulation.stop(0);
        simulation.run_for(std::chrono::seconds{5});
        simulation.start(0);
        simulation.run_for(announcement_interval);
        CPPUNIT_ASSERT_EQUAL(expected, simulation.announced_at(0));
    }

    void an_entry_whose_wall_clock_was_set_back_is_believed()
    {
        gossip_simulation simulation{shape(11, 0)};
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

    void a_dead_process_is_found_and_a_reachable_one_is_never_held_dead()
    {
        gossip_simulation simulation{shape(6, 0.05)};
        simulation.run_for(std::chrono::seconds{10});
        simulation.stop(4);
        std::size_t steps_held_dead = 0;
        for (int step = 0; step < 300; ++step) {
            simulation.run_for(std::chrono::milliseconds{100});
            for (std::size_t seen = 0; seen < 9; ++seen) {
                if (seen != 4)
                    steps_held_dead += simulation.status_of(seen, 0) == member_status::dead ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, steps_held_dead);
        for (std::size_t by = 0; by < 9; ++by) {
            if (by != 4)
                CPPUNIT_ASSERT(simulation.status_of(4, by) == member_status::dead);
        }
    }

    void a_domain_that_was_cut_off_is_found_again()
    {
        gossip_simulation simulation{shape(7, 0.01)};
        simulation.run_for(std::chrono::seconds{10});
        const std::set<std::size_t> domain{0, 3, 6};
        simulation.cut_off(domain);
        simulation.run_for(std::chrono::seconds{60});
        CPPUNIT_ASSERT(simulation.status_of(1, 0) == member_status::dead);
        CPPUNIT_ASSERT(simulation.status_of(0, 1) == member_status::dead);
        CPPUNIT_ASSERT(simulation.status_of(3, 0) == member_status::alive);
        simulation.cut_off({});
        simulation.run_for(std::chrono::seconds{30});
        for (std::size_t index = 0; index < 9; ++index) {
            for (std::size_t by = 0; by < 9; ++by)
                CPPUNIT_ASSERT(simulation.status_of(index, by) == member_status::alive);
        }
    }

    void an_upstream_that_changes_its_entry_back_and_forth_stays_known()
    {
        gossip_simulation simulation{shape(8, 0.1)};
        simulation.run_for(std::chrono::seconds{10});
        const auto lapses = simulation.lapses();
        auto& moving = simulation.upstreams()[0];
        for (int turn = 0; turn < 60; ++turn) {
            moving.entry = moving.entry == 0 ? 3 : 0;
            simulation.run_for(std::chrono::milliseconds{250 + 50 * (turn % 13)});
        }
        simulation.run_for(std::chrono::seconds{10});
        CPPUNIT_ASSERT(simulation.known_everywhere(0, {"announced"}));
        CPPUNIT_ASSERT_EQUAL(lapses, simulation.lapses());
    }

    void mutated_datagrams_are_refused_or_taken_without_harm()
    {
        gossip_simulation simulation{shape(9, 0)};
        simulation.run_for(std::chrono::seconds{3});
        auto& node = *simulation.processes()[0].node;
        gossip_effects effects;
        node.tick(simulation.now() + std::chrono::seconds{2}, effects);
        CPPUNIT_ASSERT(!effects.send.empty());
        const auto bytes = wire::encode(effects.send.front().message);
        int refused = 0;
        for (int round = 0; round < 5000; ++round) {
            auto mutated = bytes;
            mutated[simulation.random()() % mutated.size()] =
                static_cast<char>(simulation.random()());
            refused += wire::decode<gossip_message>(mutated) ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 0);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!wire::decode<gossip_message>(bytes.substr(0, size)));
    }

    static void disturb(gossip_simulation& simulation)
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
            simulation.cut_off({entry});
            break;
        case 3:
            simulation.cut_off({});
            break;
        default:
            simulation.faults().loss = static_cast<double>(random() % 20) / 100;
        }
    }

    /** After any faults, thirty quiet seconds make every view right again. */
    void randomised_faults_keep_the_promises()
    {
        for (std::uint64_t seed = 100; seed < 140; ++seed) {
            gossip_simulation simulation{shape(seed, 0.05)};
            for (int step = 0; step < 20; ++step) {
                simulation.run_for(std::chrono::milliseconds{simulation.random()() % 3000});
                disturb(simulation);
            }
            simulation.faults().loss = 0;
            simulation.cut_off({});
            for (std::size_t entry = 0; entry < 6; ++entry) {
                if (!simulation.processes()[entry].running)
                    simulation.start(entry);
            }
            simulation.run_for(std::chrono::seconds{30});
            for (std::size_t index = 0; index < 65; ++index)
                CPPUNIT_ASSERT_MESSAGE(context(seed),
                                       simulation.known_everywhere(index, {"announced"}));
            for (std::size_t index = 0; index < 9; ++index) {
                for (std::size_t by = 0; by < 9; ++by)
                    CPPUNIT_ASSERT_MESSAGE(context(seed),
                                           simulation.status_of(index, by) == member_status::alive);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gossip_test);

} // namespace galenaturn::membership
