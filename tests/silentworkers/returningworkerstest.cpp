#include "control/departingworker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

/** Counts the polls of one worker that are in flight at the same time. */
class polled_workers : public restarting_workers {
public:
    using restarting_workers::restarting_workers;

    asio::awaitable<poll_reply> poll(worker_target worker, std::uint64_t acknowledged,
                                     std::chrono::milliseconds wait, command_header header) override
    {
        const bool counts = name_of(worker.id) == "b";
        in_flight_ += counts ? 1 : 0;
        most_ = std::max(most_, in_flight_);
        auto polled = co_await restarting_workers::poll(worker, acknowledged, wait, header);
        in_flight_ -= counts ? 1 : 0;
        co_return polled;
    }

    void forget_most() { most_ = in_flight_; }
    [[nodiscard]] int most() const { return most_; }

private:
    int in_flight_{0};
    int most_{0};
};

} // namespace

/** Tests workers that come back just after they were retired for their silence. */
class returning_workers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(returning_workers_test);
    CPPUNIT_TEST(a_worker_that_returns_at_once_has_one_poll_at_a_time);
    CPPUNIT_TEST_SUITE_END();

    /** Its last poll was still in flight, and went on beside the polls of the new connection. */
    void a_worker_that_returns_at_once_has_one_poll_at_a_time()
    {
        polled_workers* workers = nullptr;
        test_leader leader{
            short_leases(), {{make_worker("a"), make_worker("b")}, {}}, [&](asio::io_context& io) {
                auto made = std::make_unique<polled_workers>(io, lease_limit);
                made->begin_life("a", incarnation{});
                made->begin_life("b", incarnation{});
                workers = made.get();
                return made;
            }};
        leader.run_for(std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(1, workers->most());
        workers->cut_off("b", true);
        CPPUNIT_ASSERT(
            leader.run_until([&] { return !leader.knows(worker_id{"b"}); },
                             max_announcement_age + std::chrono::seconds{2} + lease_limit));
        workers->cut_off("b", false);
        leader.announce(make_worker("b"));
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.knows(worker_id{"b"}); }));
        // All polls from before its return have ended.
        leader.run_for(std::chrono::seconds{3});
        workers->forget_most();
        leader.run_for(std::chrono::seconds{5});
        CPPUNIT_ASSERT_EQUAL(1, workers->most());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(returning_workers_test);

} // namespace galenaturn::controld
