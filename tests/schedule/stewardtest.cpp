#include "stewardfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

using wire::task_outcome;
using wire::worker_command_kind;
using wire::worker_task_state;

class steward_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(steward_test);
    CPPUNIT_TEST(a_task_is_started_renewed_and_reported_once);
    CPPUNIT_TEST(granted_work_counts_before_the_worker_reports_it);
    CPPUNIT_TEST(a_start_is_repeated_until_the_worker_lists_it);
    CPPUNIT_TEST(late_and_repeated_heartbeats_change_nothing);
    CPPUNIT_TEST(a_silent_workers_task_resumes_once_after_its_lease);
    CPPUNIT_TEST(a_cancelled_task_ends_when_its_worker_has_stopped_it);
    CPPUNIT_TEST(a_cut_off_steward_grants_no_lease_beyond_the_hold);
    CPPUNIT_TEST(a_new_steward_waits_for_its_predecessors_leases);
    CPPUNIT_TEST(a_new_steward_goes_on_with_what_its_workers_run);
    CPPUNIT_TEST(a_task_moved_by_the_ledger_is_stopped_without_a_report);
    CPPUNIT_TEST(a_failing_task_ends_after_its_attempts);
    CPPUNIT_TEST_SUITE_END();

    void a_task_is_started_renewed_and_reported_once()
    {
        steward_fixture at;
        at.beat("w1");
        at.add_task("t1");
        const auto started = answer_worker(at.steward, worker_id{"w1"}, at.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(started, worker_command_kind::start));
        const auto& start = started.commands.front();
        const auto renewed = at.beat("w1", {at.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(renewed, worker_command_kind::renew));
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, at.task("t1").state);
        at.beat("w1", {at.report(start, worker_task_state::succeeded)});
        at.beat("w1", {at.report(start, worker_task_state::succeeded)});
        const auto reports = due_reports(at.steward, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
        CPPUNIT_ASSERT(reports.front().outcome == task_outcome::succeeded);
        CPPUNIT_ASSERT(reports.front().assignment == epoch{1});
        CPPUNIT_ASSERT(awaits_ledger(at.steward, worker_id{"w1"}));
        on_reports_accepted(at.steward, reports);
        CPPUNIT_ASSERT(due_reports(at.steward, 10).empty());
    }

    void granted_work_counts_before_the_worker_reports_it()
    {
        steward_fixture at;
        at.beat("w1", {}, 4000);
        at.add_task("t1", 3000);
        at.add_task("t2", 3000);
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, at.task("t1").state);
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, at.task("t2").state);
        CPPUNIT_ASSERT(at.task("t2").waits_for == wait_reason::no_capacity);
        at.add_task("t3", 1000);
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, at.task("t3").state);
    }

    void a_start_is_repeated_until_the_worker_lists_it()
    {
        steward_fixture at;
        at.add_task("t1");
        const auto first = at.beat("w1");
        const auto second = at.beat("w1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(second, worker_command_kind::start));
        CPPUNIT_ASSERT(first.commands.front().assignment == second.commands.front().assignment);
    }

    void late_and_repeated_heartbeats_change_nothing()
    {
        steward_fixture at;
        at.add_task("t1");
        const auto start = at.beat("w1").commands.front();
        at.beat("w1", {at.report(start, worker_task_state::running)});
        wire::worker_announcement late;
        late.id = worker_id{"w1"};
        late.life = incarnation{1};
        late.heartbeat = heartbeat_number{1};
        late.tasks = {at.report(start, worker_task_state::failed)};
        CPPUNIT_ASSERT(on_announcement(at.steward, late, at.now) == announcement_result::late);
        late.heartbeat = heartbeat_number{2};
        CPPUNIT_ASSERT(on_announcement(at.steward, late, at.now) == announcement_result::repeated);
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, at.task("t1").state);
    }

    void a_silent_workers_task_resumes_once_after_its_lease()
    {
        steward_fixture at;
        at.add_task("t1");
        const auto start = at.beat("w1").commands.front();
        auto running = at.report(start, worker_task_state::running);
        running.checkpoint = checkpoint_id{"c1"};
        at.beat("w1", {running});
        at.pass(std::chrono::milliseconds{5900});
        at.beat("w2");
        CPPUNIT_ASSERT(at.task("t1").worker == worker_id{"w1"});
        at.pass(std::chrono::milliseconds{200});
        CPPUNIT_ASSERT(at.task("t1").worker == worker_id{"w2"});
        const auto resumed = at.beat("w2").commands.front();
        CPPUNIT_ASSERT(resumed.checkpoint == checkpoint_id{"c1"});
        CPPUNIT_ASSERT(resumed.assignment > start.assignment);
        // The first worker reconnects. Its report for the old epoch changes nothing.
        const auto answer = at.beat("w1", {at.report(start, worker_task_state::succeeded)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(answer, worker_command_kind::stop));
        CPPUNIT_ASSERT(at.task("t1").outcome == task_outcome::none);
        CPPUNIT_ASSERT(at.task("t1").worker == worker_id{"w2"});
    }

    void a_cancelled_task_ends_when_its_worker_has_stopped_it()
    {
        steward_fixture at;
        auto& record = at.add_task("t1");
        const auto start = at.beat("w1").commands.front();
        record.cancel_requested = true;
        on_record(at.steward, record.id, &record, false, at.now);
        on_record(at.steward, record.id, &record, false, at.now);
        const auto answer = at.beat("w1", {at.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(answer, worker_command_kind::stop));
        CPPUNIT_ASSERT(due_reports(at.steward, 10).empty());
        at.beat("w1", {at.report(start, worker_task_state::stopped)});
        CPPUNIT_ASSERT(due_reports(at.steward, 10).front().outcome == task_outcome::cancelled);
    }

    void a_cut_off_steward_grants_no_lease_beyond_the_hold()
    {
        steward_fixture at;
        at.add_task("t1").hold = std::chrono::seconds{60};
        auto start = at.beat("w1").commands.front();
        const auto cut_off = at.now;
        for (int second = 0; second < 70; ++second) {
            at.pass(std::chrono::seconds{1}, false);
            const auto answer = at.beat("w1", {at.report(start, worker_task_state::running)});
            const bool granted = at.count(answer, worker_command_kind::renew) > 0;
            const bool within = at.now + grantor_span({}, lease_terms{}.worker_lease) <=
                                cut_off + std::chrono::seconds{60};
            CPPUNIT_ASSERT_EQUAL(within, granted);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, at.task("t1").state);
        CPPUNIT_ASSERT(at.task("t1").waits_for == wait_reason::hold_ending);
    }

    void a_new_steward_waits_for_its_predecessors_leases()
    {
        steward_fixture at;
        auto& record = at.add_task("t1");
        begin_stewardship(at.steward, epoch{2}, at.now);
        on_record(at.steward, record.id, &record, true, at.now);
        at.pass(std::chrono::seconds{1});
        at.beat("w2");
        CPPUNIT_ASSERT(at.task("t1").waits_for == wait_reason::predecessor_lease);
        at.pass(std::chrono::seconds{3});
        at.beat("w2");
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, at.task("t1").state);
        at.pass(std::chrono::milliseconds{2100});
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, at.task("t1").state);
    }

    void a_new_steward_goes_on_with_what_its_workers_run()
    {
        steward_fixture at;
        auto& record = at.add_task("t1");
        const auto start = at.beat("w1").commands.front();
        begin_stewardship(at.steward, epoch{2}, at.now);
        on_record(at.steward, record.id, &record, true, at.now);
        at.pass(std::chrono::seconds{1});
        const auto answer = at.beat("w1", {at.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(answer, worker_command_kind::renew));
        at.pass(std::chrono::seconds{5});
        at.beat("w1", {at.report(start, worker_task_state::running)});
        at.pass(std::chrono::seconds{2});
        CPPUNIT_ASSERT(at.task("t1").worker == worker_id{"w1"});
        CPPUNIT_ASSERT(at.task("t1").placement == start.assignment);
    }

    void a_task_moved_by_the_ledger_is_stopped_without_a_report()
    {
        steward_fixture at;
        auto record = at.add_task("t1");
        const auto start = at.beat("w1").commands.front();
        at.beat("w1", {at.report(start, worker_task_state::running)});
        record.domain = failure_domain_id{"hall-b"};
        record.assignment = epoch{2};
        on_record(at.steward, record.id, &record, false, at.now);
        const auto answer = at.beat("w1", {at.report(start, worker_task_state::running)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(answer, worker_command_kind::stop));
        at.beat("w1", {at.report(start, worker_task_state::stopped)});
        CPPUNIT_ASSERT(at.steward.tasks.empty());
        CPPUNIT_ASSERT(due_reports(at.steward, 10).empty());
    }

    void a_failing_task_ends_after_its_attempts()
    {
        steward_fixture at;
        at.add_task("t1");
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto name = "w" + std::to_string(attempt);
            at.pass(std::chrono::seconds{61});
            const auto start = at.beat(name).commands.front();
            CPPUNIT_ASSERT(start.kind == worker_command_kind::start);
            at.beat(name, {at.report(start, worker_task_state::failed)});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due_reports(at.steward, 10).size());
        CPPUNIT_ASSERT(due_reports(at.steward, 10).front().outcome == task_outcome::failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steward_test);

} // namespace galenaturn::schedule
