#include "restartingworkers.h"
#include "testleader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::controld {

namespace {

constexpr duration lease = std::chrono::milliseconds{4500};
constexpr duration lease_limit = std::chrono::milliseconds{6500};
constexpr millicores processors_per_task{20'000};
constexpr std::uint32_t tasks = 3;
/** What the clock of a first life shows at its first call: far ahead of that of the next life. */
constexpr std::chrono::milliseconds first_clock = std::chrono::minutes{2};

constexpr duration start_delay_limit = std::chrono::milliseconds{6000};
/** A start without a reply can be carried out, and its run last, until then. */
constexpr duration last_end_of_start = start_delay_limit + lease_limit;

job_settings short_leases()
{
    job_settings settings;
    settings.lease = lease;
    settings.lease_limit = lease_limit;
    settings.start_delay_limit = start_delay_limit;
    return settings;
}

wire::worker_record make_worker(const std::string& name, std::uint64_t life)
{
    wire::worker_record worker;
    worker.id = make_worker_id(name, incarnation{life});
    worker.service = service_id{"desk"};
    worker.address = {"127.0.0.1", 1};
    worker.capacity = {millicores{64'000}, bytes{std::int64_t{256} << 30}, {}};
    return worker;
}

/** A leader with the workers a and b, each in its first life. At first b cannot be reached. */
struct two_workers {
    restarting_workers* workers{nullptr};
    test_leader leader;

    two_workers()
        : leader{short_leases(),
                 {{make_worker("a", 1), make_worker("b", 1)}, {}},
                 [this](boost::asio::io_context& io) {
                     auto made = std::make_unique<restarting_workers>(io, lease_limit);
                     made->begin_life("a", incarnation{1}, first_clock);
                     made->begin_life("b", incarnation{1}, first_clock);
                     workers = made.get();
                     return made;
                 }}
    {
        workers->cut_off("b", true);
        leader.run_for(std::chrono::milliseconds{300});
    }

    bool run_until_one_runs_on_a()
    {
        return leader.run_until([&] { return workers->running("a") > 0; }, std::chrono::seconds{2});
    }

    bool run_until_all_run_on_a()
    {
        return leader.run_until([&] { return workers->running("a") == tasks; },
                                std::chrono::seconds{2});
    }

    /**
     * Cuts a off, whose runs go on, and makes b reachable. Returns once all tasks have started
     * there, or long after the longest lease.
     */
    bool run_until_all_start_on_b()
    {
        workers->cut_off("a", true);
        workers->cut_off("b", false);
        return leader.run_until([&] { return workers->starts("b") == tasks; },
                                last_end_of_start + lease_limit);
    }

    /**
     * Tasks are sent to a, which does not carry them out any more; its next life begins cut off.
     * From then on b can be reached.
     */
    void lose_starts_on_a()
    {
        workers->hold_calls("a", true);
        leader.submit_tasks("job", tasks, processors_per_task);
        leader.run_for(std::chrono::milliseconds{200});
        workers->begin_life("a", incarnation{2});
        workers->cut_off("a", true);
        workers->hold_calls("a", false);
        workers->cut_off("b", false);
    }

    /** Lets the next life of a carry the starts out. Returns once each task has a run. */
    bool run_until_all_run_after_the_cut(incarnation life = incarnation{2})
    {
        workers->cut_off("a", false);
        workers->carry_out_held_calls("a");
        leader.announce(make_worker("a", life.value()));
        return leader.run_until(
            [&] { return workers->running("a") + workers->running("b") == tasks; },
            std::chrono::seconds{5});
    }
};

} // namespace

/** Tests calls that reach another life of a worker than the one that they are meant for. */
class worker_lives_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_lives_test);
    CPPUNIT_TEST(no_task_runs_twice_after_the_next_life_has_accepted_its_start);
    CPPUNIT_TEST(no_task_runs_twice_after_the_next_life_has_carried_out_a_late_start);
    CPPUNIT_TEST(no_task_runs_twice_where_the_next_leader_knows_the_former_life_only);
    CPPUNIT_TEST(no_task_runs_twice_where_the_next_leader_knows_the_next_life);
    CPPUNIT_TEST(no_task_runs_twice_where_the_next_life_carries_out_a_start_after_all_leases);
    CPPUNIT_TEST(no_task_runs_twice_where_the_start_is_one_of_the_former_leader);
    CPPUNIT_TEST(no_task_runs_twice_where_two_lives_begin_within_one_cut);
    CPPUNIT_TEST(no_task_runs_twice_where_the_next_leader_has_heard_of_the_next_life);
    CPPUNIT_TEST(no_task_runs_twice_where_a_later_command_extends_the_lease_of_a_late_start);
    CPPUNIT_TEST(no_task_runs_twice_where_a_start_is_carried_out_after_its_stop_in_the_former_life);
    CPPUNIT_TEST(tasks_of_a_worker_that_never_returns_start_elsewhere);
    CPPUNIT_TEST(a_late_poll_for_the_former_life_forgets_no_ends_of_the_next_one);
    CPPUNIT_TEST(a_late_poll_forgets_no_ends_of_a_late_start);
    CPPUNIT_TEST_SUITE_END();

    static void assert_none_doubled(const two_workers& test)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.workers->doubled().size());
    }

    /**
     * Guards against counting a lease by the clock of the former life: the next life accepts it as
     * the longest that there is.
     */
    void no_task_runs_twice_after_the_next_life_has_accepted_its_start()
    {
        two_workers test;
        test.workers->begin_life("a", incarnation{2});
        test.leader.submit_tasks("job", tasks, processors_per_task);
        CPPUNIT_ASSERT(test.run_until_one_runs_on_a());
        test.leader.run_for(std::chrono::milliseconds{200});
        CPPUNIT_ASSERT(test.run_until_all_start_on_b());
        assert_none_doubled(test);
    }

    /** The same where the start gets no reply, because it arrives late. */
    void no_task_runs_twice_after_the_next_life_has_carried_out_a_late_start()
    {
        two_workers test;
        test.workers->hold_calls("a", true);
        test.leader.submit_tasks("job", tasks, processors_per_task);
        test.leader.run_for(std::chrono::milliseconds{200});
        test.workers->begin_life("a", incarnation{2});
        test.workers->carry_out_held_calls("a");
        CPPUNIT_ASSERT(test.workers->running("a") > 0);
        CPPUNIT_ASSERT(test.run_until_all_start_on_b());
        assert_none_doubled(test);
    }

    /** The same where the leader that sent the start is lost, and the next one cannot ask. */
    void no_task_runs_twice_where_the_next_leader_knows_the_former_life_only()
    {
        two_workers test;
        test.workers->begin_life("a", incarnation{2});
        test.leader.submit_tasks("job", tasks, processors_per_task);
        CPPUNIT_ASSERT(test.run_until_one_runs_on_a());
        test.leader.begin_next_term();
        CPPUNIT_ASSERT(test.run_until_all_start_on_b());
        assert_none_doubled(test);
    }

    /** Guards against a time in which the ledger has neither life of a worker. */
    void no_task_runs_twice_where_the_next_leader_knows_the_next_life()
    {
        two_workers test;
        test.workers->begin_life("a", incarnation{2});
        test.leader.submit_tasks("job", tasks, processors_per_task);
        CPPUNIT_ASSERT(test.run_until_one_runs_on_a());
        test.leader.run_for(std::chrono::milliseconds{200});
        test.leader.begin_next_term();
        CPPUNIT_ASSERT(test.run_until_all_start_on_b());
        assert_none_doubled(test);
    }

    /** Guards against taking the end of the last lease for the end of a start without a reply. */
    void no_task_runs_twice_where_the_next_life_carries_out_a_start_after_all_leases()
    {
        two_workers test;
        test.lose_starts_on_a();
        test.leader.run_for(last_end_of_start - std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(test.run_until_all_run_after_the_cut());
        assert_none_doubled(test);
    }

    /** The same where the leader that sent the start is lost. */
    void no_task_runs_twice_where_the_start_is_one_of_the_former_leader()
    {
        two_workers test;
        test.lose_starts_on_a();
        test.leader.begin_next_term();
        test.leader.run_for(last_end_of_start - std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(test.run_until_all_run_after_the_cut());
        assert_none_doubled(test);
    }

    /** Guards against settling a start with the life that nobody has heard of. */
    void no_task_runs_twice_where_two_lives_begin_within_one_cut()
    {
        two_workers test;
        test.lose_starts_on_a();
        test.leader.run_for(start_delay_limit);
        test.workers->begin_life("a", incarnation{3});
        test.workers->cut_off("a", true);
        test.leader.run_for(lease_limit - std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(test.run_until_all_run_after_the_cut(incarnation{3}));
        assert_none_doubled(test);
    }

    /** Guards against taking a life that was followed by another for one that has left. */
    void no_task_runs_twice_where_the_next_leader_has_heard_of_the_next_life()
    {
        two_workers test;
        test.leader.announce(make_worker("a", 1));
        test.lose_starts_on_a();
        test.leader.begin_next_term();
        test.leader.announce(make_worker("a", 2));
        test.leader.run_for(std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, test.workers->starts("b"));
        CPPUNIT_ASSERT(test.run_until_all_run_after_the_cut());
        assert_none_doubled(test);
    }

    /**
     * Guards against counting the lease of a late start alone: each command with a lease that is
     * carried out after it extends the lease of all runs.
     */
    void no_task_runs_twice_where_a_later_command_extends_the_lease_of_a_late_start()
    {
        two_workers test;
        test.workers->hold_calls("a", true);
        test.leader.submit_tasks("job", tasks, processors_per_task);
        test.leader.run_for(std::chrono::milliseconds{3500});
        test.workers->begin_life("a", incarnation{2});
        test.workers->cut_off("a", true);
        test.workers->hold_calls("a", false);
        test.workers->cut_off("b", false);
        const auto all_start = [&] {
            constexpr duration delay = start_delay_limit - std::chrono::milliseconds{100};
            test.workers->carry_out_held_calls("a", monotonic_now() - delay);
            return test.workers->starts("b") == tasks;
        };
        CPPUNIT_ASSERT(test.leader.run_until(all_start, last_end_of_start + lease_limit));
        CPPUNIT_ASSERT(test.workers->starts("a") > 1);
        assert_none_doubled(test);
    }

    /** Guards against taking a stop that one life has confirmed for one of its next life. */
    void no_task_runs_twice_where_a_start_is_carried_out_after_its_stop_in_the_former_life()
    {
        two_workers test;
        constexpr millicores small{10'000};
        constexpr std::size_t others = 4;
        test.leader.submit_tasks("first", others, small);
        CPPUNIT_ASSERT(test.leader.run_until([&] { return test.workers->running("a") == others; }));
        test.workers->hold_starts("a", true);
        test.leader.submit_tasks("second", 1, processors_per_task);
        test.leader.run_for(std::chrono::seconds{1});
        const auto sent_until = monotonic_now();
        // The task does not fit there any more.
        auto smaller = make_worker("a", 1);
        smaller.capacity.processors = millicores{1};
        test.leader.announce(smaller);
        test.workers->cut_off("b", false);
        // The worker replies to a poll at once when a run has ended.
        auto next_end = sent_until;
        const auto carried_out_at =
            sent_until + start_delay_limit - std::chrono::milliseconds{1500};
        const auto is_time = [&] {
            if (monotonic_now() >= next_end) {
                test.workers->end_runs("a", 1);
                next_end += std::chrono::milliseconds{400};
            }
            return monotonic_now() >= carried_out_at;
        };
        CPPUNIT_ASSERT(test.leader.run_until(is_time, start_delay_limit));
        test.workers->begin_life("a", incarnation{2});
        test.workers->cut_off("a", true);
        test.workers->carry_out_held_calls("a", sent_until);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.workers->running("a"));
        assert_none_doubled(test);
        // It starts elsewhere once the lease that the start has brought is over.
        CPPUNIT_ASSERT(test.leader.run_until([&] { return test.workers->starts("b") > 0; },
                                             last_end_of_start + lease_limit));
        assert_none_doubled(test);
    }

    void tasks_of_a_worker_that_never_returns_start_elsewhere()
    {
        two_workers test;
        test.lose_starts_on_a();
        CPPUNIT_ASSERT(test.run_until_all_start_on_b());
        assert_none_doubled(test);
    }

    /** Guards against numbers of one life that acknowledge ends of the next one. */
    void a_late_poll_for_the_former_life_forgets_no_ends_of_the_next_one()
    {
        two_workers test;
        test.leader.submit_tasks("first", tasks, processors_per_task);
        CPPUNIT_ASSERT(test.run_until_all_run_on_a());
        test.workers->end_runs("a");
        CPPUNIT_ASSERT(test.leader.run_until([&] { return test.leader.has_succeeded("first"); }));
        // The next poll acknowledges these ends. It arrives in the next life.
        test.leader.run_for(std::chrono::milliseconds{100});
        test.workers->hold_calls("a", true);
        test.leader.run_for(std::chrono::milliseconds{2500});
        test.workers->begin_life("a", incarnation{2});
        test.leader.announce(make_worker("a", 2));
        test.leader.submit_tasks("second", tasks, processors_per_task);
        CPPUNIT_ASSERT(test.run_until_all_run_on_a());
        test.workers->end_runs("a");
        test.workers->carry_out_held_calls("a");
        test.leader.run_for(std::chrono::seconds{1});
        assert_none_doubled(test);
        CPPUNIT_ASSERT(test.leader.has_succeeded("second"));
    }

    /** The same where the next life has not received any command with its own token. */
    void a_late_poll_forgets_no_ends_of_a_late_start()
    {
        two_workers test;
        test.leader.submit_tasks("first", tasks, processors_per_task);
        CPPUNIT_ASSERT(test.run_until_all_run_on_a());
        test.workers->end_runs("a");
        CPPUNIT_ASSERT(test.leader.run_until([&] { return test.leader.has_succeeded("first"); }));
        // These ends are acknowledged and forgotten before the worker stands still.
        test.leader.run_for(std::chrono::milliseconds{500});
        test.workers->hold_starts("a", true);
        test.leader.submit_tasks("second", 1, processors_per_task);
        test.leader.run_for(std::chrono::milliseconds{2200});
        const auto start_sent = monotonic_now();
        test.workers->hold_calls("a", true);
        test.leader.run_for(std::chrono::milliseconds{2500});
        test.workers->begin_life("a", incarnation{2});
        test.workers->cut_off("a", true);
        test.workers->carry_out_held_calls("a", start_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.workers->running("a"));
        test.workers->end_runs("a");
        test.workers->carry_out_held_calls("a");
        test.workers->hold_starts("a", false);
        test.workers->hold_calls("a", false);
        test.workers->cut_off("a", false);
        test.workers->cut_off("b", false);
        test.leader.run_until([&] { return test.leader.has_succeeded("second"); },
                              std::chrono::seconds{5});
        assert_none_doubled(test);
        CPPUNIT_ASSERT(test.leader.has_succeeded("second"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_lives_test);

} // namespace galenaturn::controld
