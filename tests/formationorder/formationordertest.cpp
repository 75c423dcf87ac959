#include "simulation/votergroup.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace galenaturn::ledger {

/** Tests the formation of a ledger under many seeds. */
class formation_order_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(formation_order_test);
    CPPUNIT_TEST(one_ledger_forms_in_any_order_of_starts_losses_and_cuts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seeds = 200;
    static constexpr std::uint64_t first_seed = 1 + (FORMATION_HALF - 1) * seeds;

    static std::string at(std::uint64_t seed) { return "seed " + std::to_string(seed); }

    static void disturb(voter_group& group, const process_id& process, std::mt19937_64& random)
    {
        const std::chrono::milliseconds span{random() % 1500};
        switch (random() % 3) {
        case 0:
            return group.restart(process, span);
        case 1:
            return group.freeze(process, span);
        default:
            return group.cut_incoming(process, span);
        }
    }

    /** The group itself asserts that no index is committed with two contents. */
    void one_ledger_forms_in_any_order_of_starts_losses_and_cuts()
    {
        for (auto seed = first_seed; seed < first_seed + seeds; ++seed) {
            auto options = formation_options(seed);
            options.lost = seed % 5 == 0 ? 200 : options.lost;
            options.start_spread = std::chrono::milliseconds{seed % 3 == 0 ? 3000 : 300};
            voter_group group{options};
            std::mt19937_64 random{seed};
            const auto founders = group.processes();
            const auto first = random() % founders.size();
            const auto losses = 1 + random() % (founders.size() / 2);
            for (std::size_t step = 0; step < 20; ++step) {
                group.run_for(std::chrono::milliseconds{random() % 250});
                const auto number = random() % founders.size();
                // Consecutive founders lose their disks, the others are disturbed.
                const auto place = (number + founders.size() - first) % founders.size();
                if (place >= losses)
                    disturb(group, founders[number], random);
                else if (random() % 4 == 0)
                    group.wipe(founders[number], std::chrono::milliseconds{random() % 1500});
            }
            group.run_for(std::chrono::seconds{12});
            CPPUNIT_ASSERT_MESSAGE(at(seed), !group.leader().empty());
            CPPUNIT_ASSERT_MESSAGE(at(seed),
                                   group.held_commands() >= group.acknowledged_commands());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(formation_order_test);

} // namespace galenaturn::ledger
