#include "stewardfixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::task_outcome;
using wire::worker_command_kind;
using wire::worker_task_state;

class policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(policy_test);
    CPPUNIT_TEST(effects_are_learned_for_each_pair_and_fade);
    CPPUNIT_TEST(a_slow_service_gets_its_neighbour_throttled_then_evicted);
    CPPUNIT_TEST(late_measurements_cause_no_second_reaction);
    CPPUNIT_TEST(batch_work_does_not_go_beside_a_service_that_it_slows);
    CPPUNIT_TEST(urgent_work_displaces_the_batch_task_that_loses_least);
    CPPUNIT_TEST(a_kill_for_memory_raises_the_next_reservation);
    CPPUNIT_TEST(a_task_larger_than_every_worker_is_handed_back_and_then_parked);
    CPPUNIT_TEST(a_worker_that_fails_what_runs_elsewhere_is_set_aside_and_probed);
    CPPUNIT_TEST(a_job_that_fails_everywhere_sets_no_worker_aside);
    CPPUNIT_TEST(no_more_workers_are_set_aside_than_the_cap);
    CPPUNIT_TEST(a_large_task_gets_a_worker_kept_for_it);
    CPPUNIT_TEST(tasks_leave_a_worker_that_leaves);
    CPPUNIT_TEST(ten_thousand_cancellations_do_not_stop_starts);
    CPPUNIT_TEST(a_long_wait_is_explained_in_the_record);
    CPPUNIT_TEST_SUITE_END();

    /** A worker with a service and a batch task, both running. */
    struct colocated : steward_fixture {
        colocated()
        {
            steward.objectives[owner_id{"owner"}] = milliseconds{100};
            service = run("service", work_class::interactive);
            batch = run("batch", work_class::batch);
            reports = {report(service, worker_task_state::running),
                       report(batch, worker_task_state::running)};
        }

        wire::worker_command run(const std::string& name, work_class task_class)
        {
            add_task(name, 1000, task_class, name);
            return start_of(measure({}, {}), name);
        }

        static wire::worker_command start_of(const wire::worker_answer& answer,
                                             const std::string& name)
        {
            for (const auto& command : answer.commands) {
                if (command.id == task_id{name})
                    return command;
            }
            return {};
        }

        wire::worker_answer measure(duration latency, duration age)
        {
            wire::worker_announcement announced;
            announced.id = worker_id{"w1"};
            announced.domain = steward.domain;
            announced.life = incarnation{1};
            announced.heartbeat = heartbeat_number{++heartbeats[announced.id]};
            announced.capacity = {millicores{4000}, bytes{100'000}, {}};
            announced.tasks = reports;
            announced.service_latency = latency;
            announced.usage_age = age;
            on_announcement(steward, announced, now);
            pass(seconds{1});
            return answer_worker(steward, announced.id, now);
        }

        wire::worker_command service;
        wire::worker_command batch;
        std::vector<wire::worker_task> reports;
    };

    void effects_are_learned_for_each_pair_and_fade()
    {
        interference_model model;
        time_point now{std::chrono::hours{1}};
        const job_id service{"s"};
        for (int sample = 0; sample < 200; ++sample) {
            now += seconds{1};
            const bool noisy = sample % 2 == 0;
            learn_latency(model, service, {{job_id{noisy ? "noisy" : "quiet"}, 0.5}},
                          noisy ? 1.5 : 0.55, now);
        }
        const auto noisy = effect_of(model, service, job_id{"noisy"}, now);
        const auto quiet = effect_of(model, service, job_id{"quiet"}, now);
        CPPUNIT_ASSERT(noisy.mean > quiet.mean + 1.0);
        const auto later = effect_of(model, service, job_id{"noisy"}, now + std::chrono::hours{1});
        CPPUNIT_ASSERT(later.variance > noisy.variance);
    }

    void a_slow_service_gets_its_neighbour_throttled_then_evicted()
    {
        colocated at;
        for (int sample = 0; sample < 3; ++sample)
            at.measure(milliseconds{150}, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"throttled"}, at.task("batch").state);
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, at.task("service").state);
        for (int sample = 0; sample < 4; ++sample)
            at.measure(milliseconds{150}, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"checkpointing"}, at.task("batch").state);
        at.reports[1].checkpoint = checkpoint_id{"c1"};
        const auto answer = at.measure(milliseconds{150}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(answer, worker_command_kind::stop));
        const auto tail = static_cast<std::size_t>(eviction_reason::service_tail);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, at.steward.counters.evictions[tail]);
    }

    void late_measurements_cause_no_second_reaction()
    {
        colocated at;
        for (int sample = 0; sample < 12; ++sample)
            at.measure(milliseconds{50}, seconds{10});
        // All measurements that arrive within ten seconds after the first reaction were made before
        // it.
        for (int sample = 0; sample < 12; ++sample)
            at.measure(milliseconds{150}, seconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"throttled"}, at.task("batch").state);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, at.steward.counters.throttles);
    }

    void batch_work_does_not_go_beside_a_service_that_it_slows()
    {
        colocated at;
        for (int sample = 0; sample < 60; ++sample)
            learn_latency(at.steward.interference, job_id{"service"}, {{job_id{"noisy"}, 0.25}},
                          1.6, at.now);
        at.add_task("noisy", 1000, work_class::batch, "noisy");
        at.measure(milliseconds{50}, {});
        CPPUNIT_ASSERT(at.task("noisy").waits_for == wait_reason::would_slow_service);
        at.beat("w2");
        CPPUNIT_ASSERT(at.task("noisy").worker == worker_id{"w2"});
    }

    void urgent_work_displaces_the_batch_task_that_loses_least()
    {
        steward_fixture at;
        at.add_task("old", 2000);
        const auto old = at.beat("w1", {}, 4000).commands.front();
        at.beat("w1", {at.report(old, worker_task_state::running)});
        at.pass(seconds{2});
        at.add_task("young", 2000);
        at.beat("w1", {at.report(old, worker_task_state::running)});
        auto& urgent = at.add_task("urgent", 2000);
        urgent.urgent = true;
        on_record(at.steward, urgent.id, nullptr, false, at.now);
        on_record(at.steward, urgent.id, &urgent, false, at.now);
        at.pass(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::string{"evicting"}, at.task("young").state);
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, at.task("old").state);
        auto stopped = at.report(old, worker_task_state::stopped);
        stopped.id = task_id{"young"};
        stopped.assignment = at.task("young").placement;
        at.beat("w1", {at.report(old, worker_task_state::running), stopped});
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, at.task("urgent").state);
    }

    void a_kill_for_memory_raises_the_next_reservation()
    {
        steward_fixture at;
        at.add_task("t1");
        const auto start = at.beat("w1").commands.front();
        CPPUNIT_ASSERT(start.demand.memory == bytes{1000});
        at.beat("w1", {at.report(start, worker_task_state::out_of_memory)});
        at.pass(seconds{2});
        const auto again = at.beat("w1").commands.front();
        CPPUNIT_ASSERT(again.demand.memory == bytes{1500});
        CPPUNIT_ASSERT(at.task("t1").failures == 0);
    }

    void a_task_larger_than_every_worker_is_handed_back_and_then_parked()
    {
        steward_fixture at;
        at.steward.domain_count = 2;
        at.beat("w1");
        auto& record = at.add_task("huge", 5000);
        at.add_task("small");
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, at.task("small").state);
        at.pass(seconds{1});
        at.pass(seconds{11});
        CPPUNIT_ASSERT(due_reports(at.steward, 9).front().released);
        record.assignment = epoch{2};
        record.attempts = 2;
        on_record(at.steward, record.id, &record, false, at.now);
        at.pass(seconds{1});
        at.pass(seconds{11});
        CPPUNIT_ASSERT(due_reports(at.steward, 9).front().outcome == task_outcome::parked);
    }

    /** Makes `count` tasks of different jobs fail on one worker. */
    static void fail_on(steward_fixture& at, const std::string& worker, int count,
                        const std::string& prefix)
    {
        for (int number = 0; number < count; ++number) {
            const auto name = prefix + std::to_string(number);
            at.add_task(name, 4000, work_class::batch, name);
            const auto start = at.beat(worker).commands;
            if (start.empty())
                return;
            at.beat(worker, {at.report(start.front(), worker_task_state::failed)});
            on_record(at.steward, task_id{name}, nullptr, false, at.now);
        }
    }

    void a_worker_that_fails_what_runs_elsewhere_is_set_aside_and_probed()
    {
        steward_fixture at;
        fail_on(at, "bad", 3, "a");
        CPPUNIT_ASSERT(at.steward.workers.at(worker_id{"bad"}).health.quarantined);
        at.add_task("later");
        at.beat("bad");
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, at.task("later").state);
        at.pass(seconds{61});
        const auto probe = at.beat("bad").commands.front();
        CPPUNIT_ASSERT(probe.kind == worker_command_kind::start);
        at.beat("bad", {at.report(probe, worker_task_state::succeeded)});
        CPPUNIT_ASSERT(!at.steward.workers.at(worker_id{"bad"}).health.quarantined);
    }

    void a_job_that_fails_everywhere_sets_no_worker_aside()
    {
        steward_fixture at;
        for (int number = 0; number < 12; ++number) {
            const auto worker = "w" + std::to_string(number % 4);
            const auto name = "t" + std::to_string(number);
            at.add_task(name, 4000);
            const auto start = at.beat(worker).commands;
            if (!start.empty())
                at.beat(worker, {at.report(start.front(), worker_task_state::failed)});
            on_record(at.steward, task_id{name}, nullptr, false, at.now);
            at.pass(seconds{7});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, at.steward.counters.quarantines);
    }

    void no_more_workers_are_set_aside_than_the_cap()
    {
        steward_fixture at;
        fail_on(at, "w1", 3, "a");
        fail_on(at, "w2", 6, "b");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, at.steward.counters.quarantines);
        CPPUNIT_ASSERT(at.steward.counters.quarantines_capped > 0);
    }

    void a_large_task_gets_a_worker_kept_for_it()
    {
        steward_fixture at;
        at.add_task("first", 2000);
        const auto first = at.beat("w1").commands.front();
        at.add_task("large", 4000);
        for (int second = 0; second < 32; ++second) {
            at.beat("w1", {at.report(first, worker_task_state::running)});
            at.pass(seconds{1});
        }
        CPPUNIT_ASSERT(at.steward.workers.at(worker_id{"w1"}).held_for == task_id{"large"});
        at.add_task("small");
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, at.task("small").state);
        at.beat("w1", {at.report(first, worker_task_state::succeeded)});
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, at.task("large").state);
    }

    void tasks_leave_a_worker_that_leaves()
    {
        steward_fixture at;
        at.add_task("t1");
        const auto start = at.beat("w1").commands.front();
        wire::worker_announcement leaving;
        leaving.id = worker_id{"w1"};
        leaving.life = incarnation{1};
        leaving.heartbeat = heartbeat_number{50};
        leaving.capacity = {millicores{4000}, bytes{100'000}, {}};
        leaving.tasks = {at.report(start, worker_task_state::running)};
        leaving.leaving = true;
        on_announcement(at.steward, leaving, at.now);
        at.pass(seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::string{"checkpointing"}, at.task("t1").state);
    }

    void ten_thousand_cancellations_do_not_stop_starts()
    {
        steward_fixture at;
        for (int number = 0; number < 10'000; ++number)
            at.add_task("c" + std::to_string(number), 3000).cancel_requested = true;
        for (auto& [id, record] : at.records)
            on_record(at.steward, id, &record, false, at.now);
        at.add_task("t1", 3000);
        const auto answer = at.beat("w1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, at.count(answer, worker_command_kind::start));
        std::size_t batches = 0;
        while (!at.steward.reports.empty()) {
            on_reports_accepted(at.steward, due_reports(at.steward, 1000));
            ++batches;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, batches);
    }

    void a_long_wait_is_explained_in_the_record()
    {
        steward_fixture at;
        at.add_task("t1");
        at.pass(seconds{1});
        at.pass(seconds{6});
        CPPUNIT_ASSERT_EQUAL(std::string{"waits: its failure domain has no worker"},
                             due_reports(at.steward, 1).front().reason);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_test);

} // namespace galenaturn::schedule
