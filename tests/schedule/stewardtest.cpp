#include "stewardfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

using wire::task_outcome;
using wire::worker_command_kind;
using wire::worker_task_state;

class steward_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(steward_test);
    CPPUNIT_TEST(a_task_is_started_renewed_and_its_outcome_reported_once);
    CPPUNIT_TEST(placements_reserve_resources_before_the_worker_reports_them);
    CPPUNIT_TEST(a_start_command_is_repeated_until_the_worker_reports_the_task);
    CPPUNIT_TEST(late_and_repeated_announcements_are_ignored);
    CPPUNIT_TEST(a_silent_workers_task_resumes_elsewhere_after_its_lease);
    CPPUNIT_TEST(a_cancelled_task_is_reported_only_after_its_worker_stopped_it);
    CPPUNIT_TEST(a_partitioned_steward_grants_no_lease_beyond_the_hold);
    CPPUNIT_TEST(a_new_steward_places_nothing_before_earlier_leases_expire);
    CPPUNIT_TEST(a_new_steward_adopts_running_placements);
    CPPUNIT_TEST(a_task_reassigned_by_the_ledger_is_stopped_without_a_report);
    CPPUNIT_TEST(a_failing_task_ends_after_its_last_attempt);
    CPPUNIT_TEST_SUITE_END();

    void a_task_is_started_renewed_and_its_outcome_reported_once()
    {
        steward_fixture fixture;
        fixture.beat("w1");
        fixture.add_task("t1");
        const auto started = make_worker_response(fixture.steward, worker_id{"w1"}, fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(started, worker_command_kind::start));
        const auto& start = started.commands.front();
        const auto renewed =
            fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(renewed, worker_command_kind::renew));
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, fixture.task("t1").state);
        fixture.beat("w1", {fixture.report(start, worker_task_state::succeeded)});
        fixture.beat("w1", {fixture.report(start, worker_task_state::succeeded)});
        const auto reports = next_reports(fixture.steward, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
        CPPUNIT_ASSERT(reports.front().outcome == task_outcome::succeeded);
        CPPUNIT_ASSERT(reports.front().assignment == epoch{1});
        CPPUNIT_ASSERT(has_unacknowledged_outcome(fixture.steward, worker_id{"w1"}));
        on_reports_accepted(fixture.steward, reports);
        CPPUNIT_ASSERT(next_reports(fixture.steward, 10).empty());
    }

    void placements_reserve_resources_before_the_worker_reports_them()
    {
        steward_fixture fixture;
        fixture.beat("w1", {}, 4000);
        fixture.add_task("t1", 3000);
        fixture.add_task("t2", 3000);
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, fixture.task("t1").state);
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, fixture.task("t2").state);
        CPPUNIT_ASSERT(fixture.task("t2").blocking_reason == wait_reason::no_capacity);
        fixture.add_task("t3", 1000);
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, fixture.task("t3").state);
    }

    void a_start_command_is_repeated_until_the_worker_reports_the_task()
    {
        steward_fixture fixture;
        fixture.add_task("t1");
        const auto first = fixture.beat("w1");
        const auto second = fixture.beat("w1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(second, worker_command_kind::start));
        CPPUNIT_ASSERT(first.commands.front().assignment == second.commands.front().assignment);
    }

    void late_and_repeated_announcements_are_ignored()
    {
        steward_fixture fixture;
        fixture.add_task("t1");
        const auto start = fixture.beat("w1").commands.front();
        fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
        wire::worker_announcement late;
        late.id = worker_id{"w1"};
        late.incarnation_number = incarnation{1};
        late.heartbeat = heartbeat_number{1};
        late.tasks = {fixture.report(start, worker_task_state::failed)};
        CPPUNIT_ASSERT(on_announcement(fixture.steward, late, fixture.now) ==
                       announcement_result::outdated);
        late.heartbeat = heartbeat_number{2};
        CPPUNIT_ASSERT(on_announcement(fixture.steward, late, fixture.now) ==
                       announcement_result::repeated);
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, fixture.task("t1").state);
    }

    void a_silent_workers_task_resumes_elsewhere_after_its_lease()
    {
        steward_fixture fixture;
        fixture.add_task("t1");
        const auto start = fixture.beat("w1").commands.front();
        auto running = fixture.report(start, worker_task_state::running);
        running.checkpoint = checkpoint_id{"c1"};
        fixture.beat("w1", {running});
        fixture.advance_time(std::chrono::milliseconds{5900});
        fixture.beat("w2");
        CPPUNIT_ASSERT(fixture.task("t1").worker == worker_id{"w1"});
        fixture.advance_time(std::chrono::milliseconds{200});
        CPPUNIT_ASSERT(fixture.task("t1").worker == worker_id{"w2"});
        const auto resumed = fixture.beat("w2").commands.front();
        CPPUNIT_ASSERT(resumed.checkpoint == checkpoint_id{"c1"});
        CPPUNIT_ASSERT(resumed.assignment > start.assignment);
        // The first worker reconnects. Its report for the old epoch changes nothing.
        const auto reply =
            fixture.beat("w1", {fixture.report(start, worker_task_state::succeeded)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(reply, worker_command_kind::stop));
        CPPUNIT_ASSERT(fixture.task("t1").outcome == task_outcome::none);
        CPPUNIT_ASSERT(fixture.task("t1").worker == worker_id{"w2"});
    }

    void a_cancelled_task_is_reported_only_after_its_worker_stopped_it()
    {
        steward_fixture fixture;
        auto& record = fixture.add_task("t1");
        const auto start = fixture.beat("w1").commands.front();
        record.cancel_requested = true;
        on_task_record(fixture.steward, record.id, &record, false, fixture.now);
        on_task_record(fixture.steward, record.id, &record, false, fixture.now);
        const auto reply = fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(reply, worker_command_kind::stop));
        CPPUNIT_ASSERT(next_reports(fixture.steward, 10).empty());
        fixture.beat("w1", {fixture.report(start, worker_task_state::stopped)});
        CPPUNIT_ASSERT(next_reports(fixture.steward, 10).front().outcome ==
                       task_outcome::cancelled);
    }

    void a_partitioned_steward_grants_no_lease_beyond_the_hold()
    {
        steward_fixture fixture;
        fixture.add_task("t1").hold = std::chrono::seconds{60};
        auto start = fixture.beat("w1").commands.front();
        const auto partitioned_at = fixture.now;
        for (int second = 0; second < 70; ++second) {
            fixture.advance_time(std::chrono::seconds{1}, false);
            const auto reply =
                fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
            const bool granted = fixture.count(reply, worker_command_kind::renew) > 0;
            const bool within_hold = fixture.now + grantor_span({}, lease_terms{}.worker_lease) <=
                                     partitioned_at + std::chrono::seconds{60};
            CPPUNIT_ASSERT_EQUAL(within_hold, granted);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, fixture.task("t1").state);
        CPPUNIT_ASSERT(fixture.task("t1").blocking_reason == wait_reason::hold_ending);
    }

    void a_new_steward_places_nothing_before_earlier_leases_expire()
    {
        steward_fixture fixture;
        auto& record = fixture.add_task("t1");
        begin_stewardship(fixture.steward, epoch{2}, fixture.now);
        on_task_record(fixture.steward, record.id, &record, true, fixture.now);
        fixture.advance_time(std::chrono::seconds{1});
        fixture.beat("w2");
        CPPUNIT_ASSERT(fixture.task("t1").blocking_reason == wait_reason::predecessor_lease);
        fixture.advance_time(std::chrono::seconds{3});
        fixture.beat("w2");
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, fixture.task("t1").state);
        fixture.advance_time(std::chrono::milliseconds{2100});
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, fixture.task("t1").state);
    }

    void a_new_steward_adopts_running_placements()
    {
        steward_fixture fixture;
        auto& record = fixture.add_task("t1");
        const auto start = fixture.beat("w1").commands.front();
        begin_stewardship(fixture.steward, epoch{2}, fixture.now);
        on_task_record(fixture.steward, record.id, &record, true, fixture.now);
        fixture.advance_time(std::chrono::seconds{1});
        const auto reply = fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(reply, worker_command_kind::renew));
        fixture.advance_time(std::chrono::seconds{5});
        fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
        fixture.advance_time(std::chrono::seconds{2});
        CPPUNIT_ASSERT(fixture.task("t1").worker == worker_id{"w1"});
        CPPUNIT_ASSERT(fixture.task("t1").placement == start.assignment);
    }

    void a_task_reassigned_by_the_ledger_is_stopped_without_a_report()
    {
        steward_fixture fixture;
        auto record = fixture.add_task("t1");
        const auto start = fixture.beat("w1").commands.front();
        fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
        record.domain = failure_domain_id{"hall-b"};
        record.assignment = epoch{2};
        on_task_record(fixture.steward, record.id, &record, false, fixture.now);
        const auto reply = fixture.beat("w1", {fixture.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(reply, worker_command_kind::stop));
        fixture.beat("w1", {fixture.report(start, worker_task_state::stopped)});
        CPPUNIT_ASSERT(fixture.steward.tasks.empty());
        CPPUNIT_ASSERT(next_reports(fixture.steward, 10).empty());
    }

    void a_failing_task_ends_after_its_last_attempt()
    {
        steward_fixture fixture;
        fixture.add_task("t1");
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto name = "w" + std::to_string(attempt);
            fixture.advance_time(std::chrono::seconds{61});
            const auto start = fixture.beat(name).commands.front();
            CPPUNIT_ASSERT(start.kind == worker_command_kind::start);
            fixture.beat(name, {fixture.report(start, worker_task_state::failed)});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next_reports(fixture.steward, 10).size());
        CPPUNIT_ASSERT(next_reports(fixture.steward, 10).front().outcome == task_outcome::failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steward_test);

} // namespace galenaturn::schedule
