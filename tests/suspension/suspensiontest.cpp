#include "suspendabledeployment.h"

#include "platform/soak/soak.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <thread>

namespace galenaturn::suspension {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Suspends VMs of a deployment of real processes. */
class suspension_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(suspension_test);
    CPPUNIT_TEST(reads_at_a_leader_that_was_suspended_are_no_older_than_what_was_acknowledged);
    CPPUNIT_TEST(reads_at_a_leader_that_stood_still_are_no_older_than_what_was_acknowledged);
    CPPUNIT_TEST(reads_at_a_leader_whose_clocks_all_stood_still_are_no_older_than_acknowledged);
    CPPUNIT_TEST(random_suspensions_break_no_promise);
    CPPUNIT_TEST(overlapping_cuts_suspensions_and_lost_disks_break_no_promise);
    CPPUNIT_TEST_SUITE_END();

    /** From when on after its acknowledgement a change is in force everywhere. */
    static constexpr milliseconds config_applied{2500};
    /** Longer than any lease of a leader. */
    static constexpr milliseconds observed_after_resume{1500};

    /** Returns the versions that the process answers after a resume. */
    static std::vector<int> versions_read(const soak::soak_process& process, soak::http_socket kept)
    {
        std::vector<int> versions;
        const auto end = monotonic_now() + observed_after_resume;
        for (int read = 0; monotonic_now() < end; ++read) {
            soak::http_socket opened;
            const bool uses_kept = read % 2 == 0 && kept.is_open();
            if (!uses_kept && !opened.connect(process.address, observed_after_resume))
                continue;
            const auto version = soak::read_version(uses_kept ? kept : opened);
            if (version > 0)
                versions.push_back(version);
            std::this_thread::sleep_for(milliseconds{10});
        }
        return versions;
    }

    static void read_after_a_change_elsewhere(clocks_left_behind clocks)
    {
        const std::filesystem::path binaries{GALENATURN_BINARY_DIR};
        suspendable_deployment processes{SUSPENDABLE_PROGRAMS, binaries / "suspension", {3, 0, 0}};
        CPPUNIT_ASSERT(processes.start(1));
        for (int round = 0; round < 2; ++round) {
            auto* const leader = processes.await_leader();
            CPPUNIT_ASSERT(leader != nullptr);
            soak::http_socket kept;
            CPPUNIT_ASSERT(kept.connect(leader->address, seconds{1}));
            CPPUNIT_ASSERT(soak::read_version(kept) > 0);
            processes.suspend(*leader);
            CPPUNIT_ASSERT(processes.publish());
            std::this_thread::sleep_for(config_applied);
            processes.resume(*leader, clocks);
            const auto versions = versions_read(*leader, std::move(kept));
            const auto acknowledged = processes.acknowledged_version();
            const auto is_older = [&](int version) { return version < acknowledged; };
            const auto message = leader->name + ", logs in " + processes.folder().string();
            CPPUNIT_ASSERT_MESSAGE(message, !versions.empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::ptrdiff_t{0},
                                         std::count_if(versions.begin(), versions.end(), is_older));
        }
    }

public:
    /** A lease on a clock that leaves suspensions out outlasts the term of the leader. */
    void reads_at_a_leader_that_was_suspended_are_no_older_than_what_was_acknowledged()
    {
        read_after_a_change_elsewhere(clocks_left_behind::steady);
    }

    void reads_at_a_leader_that_stood_still_are_no_older_than_what_was_acknowledged()
    {
        read_after_a_change_elsewhere(clocks_left_behind::none);
    }

    /** No clock of a VM that its host paused shows the pause, so no lease ends by it. */
    void reads_at_a_leader_whose_clocks_all_stood_still_are_no_older_than_acknowledged()
    {
        read_after_a_change_elsewhere(clocks_left_behind::steady_and_boot);
    }

    void random_suspensions_break_no_promise() { run_soak_with_suspensions(make_soak_options()); }

    /** Several faults at once, with more control processes than voters. */
    void overlapping_cuts_suspensions_and_lost_disks_break_no_promise()
    {
        auto options = make_soak_options();
        options.sizes.controls = 8;
        options.disturbed = seconds{15};
        run_soak_with_suspensions(options, true);
    }

private:
    static soak::soak_options make_soak_options()
    {
        soak::soak_options options;
        options.seed = 1;
        options.disturbed = seconds{8};
        options.programs = SUSPENDABLE_PROGRAMS;
        options.logs = std::filesystem::path{GALENATURN_BINARY_DIR} / "suspension";
        return options;
    }

    static void run_soak_with_suspensions(soak::soak_options options, bool cuts = false)
    {
        const auto suspensions = std::make_shared<vm_suspensions>(options.logs);
        options.on_suspension = suspends_like_vms(suspensions);
        if (cuts)
            options.cutter = cuts_links(suspensions);
        const auto result = soak::run_soak(options);
        std::string failures;
        for (const auto& violation : result.violations)
            failures += violation + "\n";
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(options.seed) + "\n" + failures +
                                   result.folder.string(),
                               result.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspension_test);

} // namespace galenaturn::suspension
