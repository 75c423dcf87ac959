#include <galenaturn/route.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>

namespace galenaturn::route {

/** Order of requests, limits and refusals in admission, without a real clock. */
class admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(slots_are_shared_by_owner_weight);
    CPPUNIT_TEST(a_returning_owner_starts_first);
    CPPUNIT_TEST(requests_of_one_owner_start_by_deadline);
    CPPUNIT_TEST(an_owner_at_its_concurrency_limit_does_not_block_others);
    CPPUNIT_TEST(a_full_queue_evicts_from_the_owner_with_the_most_waiting);
    CPPUNIT_TEST(a_request_that_would_miss_its_deadline_is_refused_on_arrival);
    CPPUNIT_TEST(watchers_are_shed_first_and_interactive_requests_last);
    CPPUNIT_TEST_SUITE_END();

    static constexpr time_point start{std::chrono::hours{1}};
    admission_state state_;

public:
    void setUp() override
    {
        state_ = {};
        state_.max_admitted = 1000;
        state_.owners.resize(2);
        state_.owners[0].limits = {3.0, 1e6, 100};
        state_.owners[1].limits = {1.0, 1e6, 100};
        state_.services.resize(1);
        state_.services[0].limits = {work_class::interactive, 100, 60,
                                     std::chrono::milliseconds{10}};
    }

private:
    admission_decision submit(std::uint32_t owner, duration timeout = std::chrono::seconds{10})
    {
        return submit_request(state_, {owner, 0, start + timeout}, start);
    }

    void slots_are_shared_by_owner_weight()
    {
        for (int number = 0; number < 24; ++number) {
            submit(0);
            submit(1);
        }
        std::array<int, 2> started{};
        for (int number = 0; number < 24; ++number)
            ++started.at(start_next(state_, 0)->owner);
        CPPUNIT_ASSERT_EQUAL(18, started[0]);
        CPPUNIT_ASSERT_EQUAL(6, started[1]);
    }

    void a_returning_owner_starts_first()
    {
        for (int number = 0; number < 30; ++number)
            submit(0);
        for (int number = 0; number < 20; ++number)
            start_next(state_, 0);
        submit(1);
        CPPUNIT_ASSERT_EQUAL(1U, start_next(state_, 0)->owner);
    }

    void requests_of_one_owner_start_by_deadline()
    {
        submit(0, std::chrono::seconds{3});
        const auto urgent = submit(0, std::chrono::seconds{1});
        submit(0, std::chrono::seconds{2});
        CPPUNIT_ASSERT(urgent.ticket == start_next(state_, 0)->request.ticket);
    }

    void an_owner_at_its_concurrency_limit_does_not_block_others()
    {
        state_.owners[0].limits.concurrency = 1;
        submit(0);
        submit(0);
        submit(1);
        CPPUNIT_ASSERT_EQUAL(0U, start_next(state_, 0)->owner);
        CPPUNIT_ASSERT_EQUAL(1U, start_next(state_, 0)->owner);
        CPPUNIT_ASSERT(!start_next(state_, 0));
        finish_request(state_, 0, 0, std::chrono::milliseconds{5});
        CPPUNIT_ASSERT_EQUAL(0U, start_next(state_, 0)->owner);
    }

    void a_full_queue_evicts_from_the_owner_with_the_most_waiting()
    {
        admission_decision last;
        for (int number = 0; number < 60; ++number)
            last = submit(0);
        CPPUNIT_ASSERT(submit(0).refused == refusal_reason::queue_full);
        const auto admitted = submit(1);
        CPPUNIT_ASSERT(!admitted.refused);
        CPPUNIT_ASSERT(admitted.evicted_ticket.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{60}, state_.services[0].queue.waiting);
    }

    void a_request_that_would_miss_its_deadline_is_refused_on_arrival()
    {
        state_.services[0].slots = 1;
        state_.services[0].mean_time_us = 100'000;
        // The ninth request waits 900 ms and takes at least 50 ms more; the tenth would wait 1 s.
        for (int number = 0; number < 9; ++number)
            CPPUNIT_ASSERT(!submit(0, std::chrono::seconds{1}).refused);
        const auto late = submit(0, std::chrono::seconds{1});
        CPPUNIT_ASSERT(late.refused == refusal_reason::deadline_unreachable);
        CPPUNIT_ASSERT(late.retry_after > duration::zero());
        CPPUNIT_ASSERT(!submit(0, std::chrono::seconds{2}).refused);
    }

    bool admits(work_class shed_class)
    {
        state_.services[0].limits.shed_class = shed_class;
        return !check_request(state_, {0, 0, start + std::chrono::seconds{1}}, start);
    }

    void watchers_are_shed_first_and_interactive_requests_last()
    {
        state_.admitted = 700;
        CPPUNIT_ASSERT(!admits(work_class::watcher));
        CPPUNIT_ASSERT(admits(work_class::batch));
        state_.admitted = 900;
        CPPUNIT_ASSERT(!admits(work_class::batch));
        CPPUNIT_ASSERT(admits(work_class::interactive));
        state_.admitted = 1000;
        CPPUNIT_ASSERT(!admits(work_class::interactive));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

/** Slots, home entries and ejection in the table of upstreams. */
class upstream_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(upstream_table_test);
    CPPUNIT_TEST(handed_out_slots_never_exceed_the_slots_in_a_seeded_run);
    CPPUNIT_TEST(a_new_home_entry_withholds_slots_that_are_still_busy);
    CPPUNIT_TEST(outdated_announcements_are_ignored);
    CPPUNIT_TEST(ejections_are_capped_and_end_after_successful_probes);
    CPPUNIT_TEST(attempts_from_before_an_ejection_do_not_renew_it);
    CPPUNIT_TEST_SUITE_END();

    static wire::upstream_announcement make_announcement(int number, std::uint64_t sequence,
                                                         std::uint32_t busy = 0)
    {
        wire::upstream_announcement announcement;
        announcement.id = upstream_id{"runner-" + std::to_string(number)};
        announcement.incarnation_number = incarnation{1};
        announcement.sequence = sequence;
        announcement.slots = 4;
        announcement.connections = 8;
        announcement.busy_slots = busy;
        return announcement;
    }

    static upstream_table make_table(int upstreams)
    {
        upstream_table table;
        for (int number = 0; number < upstreams; ++number) {
            announce_upstream(table, 0, make_announcement(number, 1));
            set_home(table, static_cast<upstream_index>(number), true);
            withhold_slots(table, static_cast<upstream_index>(number), 0);
        }
        return table;
    }

    /** Expired announcements, changes of home entry and failed attempts, in a seeded order. */
    void handed_out_slots_never_exceed_the_slots_in_a_seeded_run()
    {
        std::mt19937_64 random{23}; // NOLINT: a fixed seed makes the test repeatable
        auto table = make_table(6);
        std::vector<upstream_index> taken;
        time_point now{std::chrono::hours{1}};
        std::size_t max_taken = 0;
        for (std::uint64_t step = 2; step < 20'000; ++step) {
            now += std::chrono::milliseconds{10};
            const auto number = static_cast<int>(random() % 6);
            const auto index = static_cast<upstream_index>(number);
            const auto action = random() % 40;
            if (action == 0)
                expire_upstream(table, table.records[index].id);
            else if (action == 1)
                set_home(table, index, random() % 4 != 0);
            else if (action < 6)
                announce_upstream(table, 0,
                                  make_announcement(number, step, table.records[index].handed_out));
            else if (action < 24) {
                if (const auto chosen = choose_upstream(table, 0, {})) {
                    CPPUNIT_ASSERT(table.records[*chosen].present && table.records[*chosen].home);
                    take_slot(table, *chosen);
                    taken.push_back(*chosen);
                }
            }
            else if (!taken.empty()) {
                record_attempt(table, taken.back(), random() % 5 == 0, std::chrono::milliseconds{9},
                               now);
                return_slot(table, taken.back());
                taken.pop_back();
            }
            end_ejections(table, 0, now);
            max_taken = std::max(max_taken, taken.size());
            for (const auto& record : table.records)
                CPPUNIT_ASSERT(record.handed_out <= record.slots);
        }
        CPPUNIT_ASSERT(max_taken > 8);
    }

    void a_new_home_entry_withholds_slots_that_are_still_busy()
    {
        upstream_table table;
        announce_upstream(table, 0, make_announcement(0, 1));
        set_home(table, 0, true);
        CPPUNIT_ASSERT(!choose_upstream(table, 0, {}));
        announce_upstream(table, 0, make_announcement(0, 2, 3));
        CPPUNIT_ASSERT_EQUAL(1U, free_slots(table.records[0]));
        announce_upstream(table, 0, make_announcement(0, 3, 0));
        CPPUNIT_ASSERT_EQUAL(4U, free_slots(table.records[0]));
    }

    void outdated_announcements_are_ignored()
    {
        auto table = make_table(1);
        auto leaving = make_announcement(0, 5);
        leaving.leaving = true;
        CPPUNIT_ASSERT(announce_upstream(table, 0, leaving));
        CPPUNIT_ASSERT(!announce_upstream(table, 0, make_announcement(0, 4)));
        CPPUNIT_ASSERT(!announce_upstream(table, 0, leaving));
        CPPUNIT_ASSERT(!choose_upstream(table, 0, {}));
    }

    void ejections_are_capped_and_end_after_successful_probes()
    {
        auto table = make_table(10);
        time_point now{std::chrono::hours{1}};
        for (upstream_index index = 0; index < 10; ++index) {
            for (int failure = 0; failure < 5; ++failure)
                record_attempt(table, index, true, {}, now);
        }
        CPPUNIT_ASSERT_EQUAL(3U, table.pools[0].ejected);
        now += std::chrono::seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, end_ejections(table, 0, now));
        CPPUNIT_ASSERT_EQUAL(1U, free_slots(table.records[0]));
        take_slot(table, 0);
        CPPUNIT_ASSERT_EQUAL(0U, free_slots(table.records[0]));
        for (int probe = 0; probe < 3; ++probe)
            record_attempt(table, 0, false, std::chrono::milliseconds{1}, now);
        return_slot(table, 0);
        CPPUNIT_ASSERT_EQUAL(4U, free_slots(table.records[0]));
    }

    /** An upstream stalls, then runs again; requests from the stall time out one after the other.
     */
    void attempts_from_before_an_ejection_do_not_renew_it()
    {
        auto table = make_table(10);
        time_point now{std::chrono::hours{1}};
        for (int failure = 0; failure < 5; ++failure)
            record_attempt(table, 0, true, std::chrono::seconds{10}, now);
        now += std::chrono::milliseconds{1100};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, end_ejections(table, 0, now));
        record_attempt(table, 0, true, std::chrono::seconds{10}, now);
        CPPUNIT_ASSERT(table.records[0].health.state == health_state::probing);
        for (int probe = 0; probe < 3; ++probe)
            record_attempt(table, 0, false, std::chrono::milliseconds{1}, now);
        CPPUNIT_ASSERT(table.records[0].health.state == health_state::healthy);
        for (int failure = 0; failure < 5; ++failure)
            record_attempt(table, 0, true, std::chrono::seconds{10}, now);
        CPPUNIT_ASSERT(table.records[0].health.state == health_state::healthy);
        // Failures of requests that were sent since then count as before.
        for (int failure = 0; failure < 5; ++failure)
            record_attempt(table, 0, true, std::chrono::milliseconds{1}, now);
        CPPUNIT_ASSERT(table.records[0].health.state == health_state::ejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_table_test);

} // namespace galenaturn::route
