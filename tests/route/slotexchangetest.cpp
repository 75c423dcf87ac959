#include "fakeupstream.h"
#include "testentry.h"

#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenaturn {

/** Loans of slots between entries over loopback, and callers that disconnect. */
class slot_exchange_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_exchange_test);
    CPPUNIT_TEST(an_entry_without_upstreams_borrows_slots_within_their_limit);
    CPPUNIT_TEST(a_failure_on_a_borrowed_slot_counts_at_the_lending_entry);
    CPPUNIT_TEST(a_service_without_any_upstream_is_refused_at_once);
    CPPUNIT_TEST(a_caller_that_disconnects_frees_its_slot);
    CPPUNIT_TEST_SUITE_END();

    std::vector<std::unique_ptr<test_entry>> entries_;
    std::vector<std::unique_ptr<fake_upstream>> upstreams_;

    static std::uint16_t free_port()
    {
        boost::asio::io_context io;
        const boost::asio::ip::tcp::acceptor probe{io,
                                                   {boost::asio::ip::make_address("127.0.0.1"), 0}};
        return probe.local_endpoint().port();
    }

public:
    void setUp() override
    {
        const std::vector members{
            test_member("entry-1", process_role::entry, "hall-a", free_port()),
            test_member("entry-2", process_role::entry, "hall-a", free_port()),
            test_member("entry-3", process_role::entry, "hall-b", free_port())};
        for (const auto& member : members) {
            entries_.push_back(
                std::make_unique<test_entry>(test_settings(member.id.value(), members)));
            entries_.back()->apply_catalogue(test_catalogue());
        }
        const std::vector<entryd::live_entry> live{{process_id{"entry-1"}, incarnation{1}},
                                                   {process_id{"entry-2"}, incarnation{1}}};
        entryd::publish(entries_[0]->hub.entries_changed, live);
        entryd::publish(entries_[1]->hub.entries_changed, live);
        CPPUNIT_ASSERT(run([this] { return all_connected(); }));
    }

    void tearDown() override
    {
        upstreams_.clear();
        for (auto& entry : entries_)
            entry->shared.io.poll();
        entries_.clear();
    }

private:
    bool all_connected()
    {
        for (auto& entry : entries_) {
            for (const auto& member : entry->shared.settings.members) {
                auto* link = entry->shared.peers.find(member.id);
                if (link != nullptr && !link->connected())
                    return false;
            }
        }
        return true;
    }

    bool run(const std::function<bool()>& done)
    {
        return run_until(
            {&entries_[0]->shared.io, &entries_[1]->shared.io, &entries_[2]->shared.io}, done);
    }

    fake_upstream& add_upstream(std::uint32_t slots)
    {
        upstreams_.push_back(std::make_unique<fake_upstream>(entries_[0]->shared.io));
        auto& upstream = *upstreams_.back();
        upstream.slots = slots;
        const auto announcement =
            upstream.announcement("runner-" + std::to_string(upstreams_.size()), 1);
        entryd::publish(entries_[0]->hub.upstream_announced, announcement, monotonic_now());
        entryd::publish(entries_[1]->hub.upstream_announced, announcement, monotonic_now());
        return upstream;
    }

    std::vector<std::shared_ptr<pending_call>> call_all_entries(int rounds)
    {
        std::vector<std::shared_ptr<pending_call>> calls;
        for (int round = 0; round < rounds; ++round) {
            for (auto& entry : entries_) {
                call_options options;
                options.body = std::to_string(calls.size());
                calls.push_back(send_call(*entry, options));
            }
        }
        CPPUNIT_ASSERT(run([&] {
            return std::all_of(calls.begin(), calls.end(),
                               [](auto& call) { return call->response; });
        }));
        return calls;
    }

    void an_entry_without_upstreams_borrows_slots_within_their_limit()
    {
        for (int number = 0; number < 3; ++number)
            add_upstream(2).delay = std::chrono::milliseconds{3};
        const auto calls = call_all_entries(10);
        for (std::size_t number = 0; number < calls.size(); ++number) {
            CPPUNIT_ASSERT_EQUAL(200U, calls[number]->status());
            CPPUNIT_ASSERT_EQUAL("answer to " + std::to_string(number),
                                 calls[number]->response->value().body());
        }
        for (const auto& upstream : upstreams_)
            CPPUNIT_ASSERT(upstream->max_busy <= 2);
        CPPUNIT_ASSERT(entries_[2]->metric_value("galenaturn_slot_loans_taken_total") >= 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             entries_[0]->metric_value("galenaturn_slot_loans_expired_total"));
    }

    void a_failure_on_a_borrowed_slot_counts_at_the_lending_entry()
    {
        for (int number = 0; number < 4; ++number)
            add_upstream(2);
        auto& failing_upstream = *upstreams_[1];
        failing_upstream.behaviour = fake_behaviour::fail;
        for (int round = 0; round < 12; ++round)
            call_all_entries(2);
        const auto ejections = entries_[0]->metric_value("galenaturn_upstream_ejections_total") +
                               entries_[1]->metric_value("galenaturn_upstream_ejections_total");
        CPPUNIT_ASSERT(ejections >= 1);
        const auto before = failing_upstream.received;
        call_all_entries(5);
        CPPUNIT_ASSERT_EQUAL(before, failing_upstream.received);
    }

    void a_service_without_any_upstream_is_refused_at_once()
    {
        const auto call = send_call(*entries_[2]);
        CPPUNIT_ASSERT(run([&] { return call->response.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(std::string{"no_upstream"}, call->reason());
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, call->header("Galenaturn-Not-Run"));
    }

    void a_caller_that_disconnects_frees_its_slot()
    {
        auto& upstream = add_upstream(1);
        upstream.behaviour = fake_behaviour::never_respond;
        {
            boost::asio::io_context io;
            boost::asio::ip::tcp::socket caller{io};
            caller.connect(
                {boost::asio::ip::make_address("127.0.0.1"), entries_[0]->server->port()});
            const std::string message = "GET /v1/services/forecast/x HTTP/1.1\r\nHost: h\r\n"
                                        "Galenaturn-Owner: grid\r\n\r\n";
            boost::asio::write(caller, boost::asio::buffer(message));
            CPPUNIT_ASSERT(run([&] { return upstream.busy == 1; }));
        }
        CPPUNIT_ASSERT(run([&] { return entries_[0]->refusals("caller_gone") == 1; }));
        upstream.behaviour = fake_behaviour::respond;
        const auto next = send_call(*entries_[0]);
        CPPUNIT_ASSERT(run([&] { return next->response.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(200U, next->status());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             entries_[0]->metric_value("galenaturn_upstream_ejections_total"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_exchange_test);

} // namespace galenaturn
