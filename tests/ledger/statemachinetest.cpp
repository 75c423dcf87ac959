#include <galenaturn/ledger.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::ledger {

using wire::command_status;

class statemachine_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(statemachine_test);
    CPPUNIT_TEST(one_of_two_writes_at_a_version_wins_and_a_resend_gets_its_outcome);
    CPPUNIT_TEST(a_start_is_idempotent_by_its_id);
    CPPUNIT_TEST(a_report_for_an_old_assignment_is_ignored);
    CPPUNIT_TEST(a_cancelled_task_is_not_assigned_again);
    CPPUNIT_TEST(a_finished_task_is_not_started_again_after_its_removal);
    CPPUNIT_TEST(a_task_that_finished_before_the_first_expiry_is_kept);
    CPPUNIT_TEST(a_key_is_reserved_once_and_its_recorded_answer_is_returned);
    CPPUNIT_TEST(one_owner_cannot_use_up_the_keys_of_other_owners);
    CPPUNIT_TEST_SUITE_END();

    ledger_state state_;
    applied_change change_;
    std::uint64_t index_{0};

    static constexpr wall_time start_time{std::chrono::hours{1'000}};

    wire::command_response run(const std::string& id, wire::command body)
    {
        return apply_command(state_, {request_id{id}, std::move(body)}, log_index{++index_},
                             change_);
    }

    wire::command_response write(const std::string& id, std::uint64_t expected,
                                 const std::string& author)
    {
        const std::string document =
            "owners:\n"
            "  - {name: o, quota: {processors: 9, memory: 9GiB}, rate: 1, concurrency: 1}\n"
            "jobs:\n"
            "  - {name: j, owner: o, class: batch, processors: 1, memory: 1GiB, hold: 3s}\n"
            "# " +
            author + "\n";
        return run(id, wire::write_catalogue{catalogue_version{expected}, document,
                                             wire::content_digest(document), author});
    }

    wire::command_response begin(const std::string& task, wall_time submitted = start_time)
    {
        return run("start-" + task,
                   wire::start_task{task_id{task}, job_id{"j"}, submitted, {}, {}});
    }

    command_status assign(const std::string& task, const std::string& domain,
                          std::uint64_t expected)
    {
        wire::assign_tasks body;
        body.items.push_back({task_id{task}, failure_domain_id{domain}, epoch{expected}, {}});
        return run("assign", body).status;
    }

    command_status report(const std::string& task, std::uint64_t assignment,
                          wire::task_outcome outcome)
    {
        wire::report_tasks body;
        body.items.push_back(
            {task_id{task}, epoch{assignment}, outcome, false, {}, "", worker_id{"w"}});
        return run("report", body).status;
    }

    void one_of_two_writes_at_a_version_wins_and_a_resend_gets_its_outcome()
    {
        CPPUNIT_ASSERT(write("a", 0, "first").status == command_status::accepted);
        const auto lost = write("b", 0, "second");
        CPPUNIT_ASSERT(lost.status == command_status::conflict);
        CPPUNIT_ASSERT_EQUAL(catalogue_version{1}, lost.version);
        CPPUNIT_ASSERT_EQUAL(catalogue_in_force(state_).digest, lost.digest);
        CPPUNIT_ASSERT(write("c", 1, "third").status == command_status::accepted);
        const auto resent = write("a", 0, "first");
        CPPUNIT_ASSERT(resent.status == command_status::accepted);
        CPPUNIT_ASSERT_EQUAL(catalogue_version{1}, resent.version);
        CPPUNIT_ASSERT_EQUAL(catalogue_version{2}, catalogue_in_force(state_).version);
        CPPUNIT_ASSERT(write("a", 2, "fourth").status == command_status::rejected);
    }

    void a_start_is_idempotent_by_its_id()
    {
        write("a", 0, "x");
        CPPUNIT_ASSERT(begin("t").status == command_status::accepted);
        CPPUNIT_ASSERT(begin("t").status == command_status::duplicate);
        const auto other =
            run("other", wire::start_task{task_id{"t"}, job_id{"j"}, start_time, start_time, {}});
        CPPUNIT_ASSERT(other.status == command_status::rejected);
        const auto unknown =
            run("unknown", wire::start_task{task_id{"u"}, job_id{"k"}, start_time, {}, {}});
        CPPUNIT_ASSERT(unknown.status == command_status::rejected);
        const auto& task = state_.tasks.at(task_id{"t"});
        CPPUNIT_ASSERT(task.owner == owner_id{"o"});
        CPPUNIT_ASSERT(task.hold == std::chrono::seconds{3});
    }

    /** Until the first expire_records the clock is unset: the task must not count as expired. */
    void a_task_that_finished_before_the_first_expiry_is_kept()
    {
        write("a", 0, "x");
        begin("t");
        assign("t", "d1", 0);
        CPPUNIT_ASSERT(report("t", 1, wire::task_outcome::succeeded) == command_status::accepted);
        run("expire", wire::expire_records{start_time + std::chrono::minutes{1}});
        CPPUNIT_ASSERT(state_.tasks.contains(task_id{"t"}));
        const auto later = start_time + std::chrono::minutes{2};
        const auto again = run("again", wire::start_task{task_id{"t"}, job_id{"j"}, later, {}, {}});
        CPPUNIT_ASSERT(again.status == command_status::duplicate);
        CPPUNIT_ASSERT(state_.tasks.at(task_id{"t"}).outcome == wire::task_outcome::succeeded);
    }

    void a_report_for_an_old_assignment_is_ignored()
    {
        write("a", 0, "x");
        begin("t");
        CPPUNIT_ASSERT(assign("t", "d1", 0) == command_status::accepted);
        CPPUNIT_ASSERT(assign("t", "d2", 0) == command_status::duplicate);
        CPPUNIT_ASSERT(assign("t", "d2", 1) == command_status::accepted);
        CPPUNIT_ASSERT(report("t", 1, wire::task_outcome::failed) == command_status::duplicate);
        CPPUNIT_ASSERT(report("t", 2, wire::task_outcome::succeeded) == command_status::accepted);
        CPPUNIT_ASSERT(report("t", 2, wire::task_outcome::failed) == command_status::duplicate);
        CPPUNIT_ASSERT(state_.tasks.at(task_id{"t"}).outcome == wire::task_outcome::succeeded);
    }

    void a_cancelled_task_is_not_assigned_again()
    {
        write("a", 0, "x");
        begin("t");
        assign("t", "d1", 0);
        run("cancel", wire::cancel_task{task_id{"t"}});
        CPPUNIT_ASSERT(state_.tasks.at(task_id{"t"}).phase == wire::task_phase::assigned);
        assign("t", "d2", 1);
        CPPUNIT_ASSERT(state_.tasks.at(task_id{"t"}).outcome == wire::task_outcome::cancelled);
    }

    void a_finished_task_is_not_started_again_after_its_removal()
    {
        write("a", 0, "x");
        const auto max_tasks = state_limits{}.max_finished_tasks;
        for (std::size_t number = 0; number <= max_tasks; ++number) {
            const auto name = "t" + std::to_string(number);
            begin(name, start_time + std::chrono::milliseconds{number});
            run("cancel", wire::cancel_task{task_id{name}});
        }
        CPPUNIT_ASSERT_EQUAL(max_tasks, state_.tasks.size());
        CPPUNIT_ASSERT(begin("t0").status == command_status::rejected);
        CPPUNIT_ASSERT(begin("t1", start_time + std::chrono::milliseconds{1}).status ==
                       command_status::duplicate);
        run("expire", wire::expire_records{start_time});
        run("expire", wire::expire_records{start_time + std::chrono::hours{25}});
        CPPUNIT_ASSERT(state_.tasks.empty());
    }

    wire::command_response reserve(const std::string& id, const std::string& digest)
    {
        return run(id, wire::reserve_key{owner_id{"o"}, service_id{"s"}, idempotency_key{"k"},
                                         digest, process_id{"e"}, start_time});
    }

    void a_key_is_reserved_once_and_its_recorded_answer_is_returned()
    {
        CPPUNIT_ASSERT(reserve("r1", "d").status == command_status::accepted);
        CPPUNIT_ASSERT(reserve("r1", "d").status == command_status::accepted);
        CPPUNIT_ASSERT(reserve("r2", "d").status == command_status::duplicate);
        CPPUNIT_ASSERT(reserve("r3", "other").status == command_status::rejected);
        const wire::recorded_response answer{200, "text/plain", "paid"};
        const wire::complete_key done{owner_id{"o"}, service_id{"s"}, idempotency_key{"k"},
                                      request_id{"r1"}, answer};
        CPPUNIT_ASSERT(run("done", done).status == command_status::accepted);
        CPPUNIT_ASSERT(reserve("r4", "d").answer == answer);
        run("expire", wire::expire_records{start_time});
        CPPUNIT_ASSERT(state_.keys.empty() && state_.keys_per_owner.empty());
    }

    void one_owner_cannot_use_up_the_keys_of_other_owners()
    {
        const auto max_keys = state_limits{}.max_keys_per_owner;
        auto last = command_status::accepted;
        for (std::size_t number = 0; number <= max_keys; ++number)
            last = run("r", wire::reserve_key{owner_id{"big"}, service_id{"s"},
                                              idempotency_key{std::to_string(number)}, "d",
                                              process_id{"e"}, start_time})
                       .status;
        CPPUNIT_ASSERT(last == command_status::rejected);
        CPPUNIT_ASSERT(reserve("small", "d").status == command_status::accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statemachine_test);

} // namespace galenaturn::ledger
