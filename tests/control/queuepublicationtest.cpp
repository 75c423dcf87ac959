#include "controld/queuepublication.h"
#include "controld/queuetable.h"

#include <galenaturn/daemon.h>

#include <boost/asio/co_spawn.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::controld {

namespace asio = boost::asio;

/** Tests which process may say what the newest queues are, and which queue a request selects. */
class queue_publication_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(queue_publication_test);
    CPPUNIT_TEST(only_a_leader_that_a_quorum_confirms_answers_from_its_own_state);
    CPPUNIT_TEST(the_longest_prefix_at_the_host_selects_the_queue);
    CPPUNIT_TEST_SUITE_END();

    static process_settings settings_of_one_control()
    {
        process_settings settings;
        settings.self.id = process_id{"control-a"};
        settings.self.role = process_role::control;
        settings.members = {settings.self};
        return settings;
    }

    static wire::queue_settings queue_at(const std::string& host, const std::string& prefix)
    {
        wire::queue_settings queue;
        queue.name = host + prefix;
        queue.host = host;
        queue.path_prefix = prefix;
        return queue;
    }

    void only_a_leader_that_a_quorum_confirms_answers_from_its_own_state()
    {
        daemon::context shared{settings_of_one_control()};
        ledger::ledger_state state;
        state.queues.version = 7;
        control_hub hub;
        bool leads = true;
        bool quorum_confirms = true;
        hub.state = [&]() -> const ledger::ledger_state& { return state; };
        hub.leads = [&] { return leads; };
        hub.confirm_leadership = [&](time_point /*deadline*/) -> asio::awaitable<bool> {
            co_return quorum_confirms;
        };
        hub.lease_left = [] { return std::chrono::milliseconds{100}; };
        hub.leader = [] { return process_id{"control-a"}; };
        hub.current_term = [] { return term{3}; };
        const auto read_version = [&] {
            std::optional<wire::publish_queues> read;
            asio::co_spawn(
                shared.io,
                read_newest_queues(&hub, &shared.ledger,
                                   monotonic_now() + std::chrono::milliseconds{100}),
                [&](const std::exception_ptr& error, std::optional<wire::publish_queues> queues) {
                    CPPUNIT_ASSERT(!error);
                    read = std::move(queues);
                });
            shared.io.restart();
            shared.io.run_for(std::chrono::milliseconds{500});
            return read ? read->version : 0;
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read_version());
        // No leader can be asked.
        leads = false;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, read_version());
        leads = true;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read_version());
        // The lease rests on a clock that stood still.
        quorum_confirms = false;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, read_version());
    }

    void the_longest_prefix_at_the_host_selects_the_queue()
    {
        queue_table table;
        table.queues = {queue_at("a", "/x/"), queue_at("a", "/x/y/"), queue_at("b", "/x/y/z/")};
        for (int order = 0; order < 2; ++order) {
            const auto name_at = [&](const std::string& host, const std::string& path) {
                const auto* found = find_queue(table, host, path);
                return found == nullptr ? std::string{} : found->name;
            };
            CPPUNIT_ASSERT_EQUAL(std::string{"a/x/"}, name_at("a", "/x/1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"a/x/y/"}, name_at("a", "/x/y/1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"a/x/y/"}, name_at("a", "/x/y/z/1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"b/x/y/z/"}, name_at("b", "/x/y/z/"));
            CPPUNIT_ASSERT_EQUAL(std::string{}, name_at("b", "/x/y/1"));
            CPPUNIT_ASSERT_EQUAL(std::string{}, name_at("a", "/x"));
            std::swap(table.queues.front(), table.queues.back());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_publication_test);

} // namespace galenaturn::controld
