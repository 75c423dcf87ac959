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
    CPPUNIT_TEST(effects_are_learned_for_each_pair_and_lose_certainty_with_age);
    CPPUNIT_TEST(batch_work_beside_a_slow_service_is_throttled_then_evicted);
    CPPUNIT_TEST(measurements_made_before_a_reaction_cause_no_second_one);
    CPPUNIT_TEST(batch_work_is_not_colocated_with_a_service_that_it_slows);
    CPPUNIT_TEST(urgent_tasks_preempt_the_batch_task_that_loses_least_work);
    CPPUNIT_TEST(an_out_of_memory_kill_raises_the_next_reservation);
    CPPUNIT_TEST(a_task_larger_than_every_worker_is_returned_and_then_parked);
    CPPUNIT_TEST(a_worker_on_which_different_jobs_fail_is_quarantined_and_probed);
    CPPUNIT_TEST(a_job_that_fails_everywhere_quarantines_no_worker);
    CPPUNIT_TEST(no_more_workers_are_quarantined_than_the_cap);
    CPPUNIT_TEST(a_large_task_gets_a_worker_reserved);
    CPPUNIT_TEST(tasks_are_evicted_from_a_leaving_worker);
    CPPUNIT_TEST(ten_thousand_cancellations_do_not_block_starts);
    CPPUNIT_TEST(the_reason_of_a_long_wait_is_reported);
    CPPUNIT_TEST_SUITE_END();

    /** A worker with a service and a batch task, both running. */
    struct colocated : steward_fixture {
        colocated()
        {
            steward.latency_objectives[owner_id{"owner"}] = milliseconds{100};
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

        static wire::worker_command start_of(const wire::worker_response& response,
                                             const std::string& name)
        {
            for (const auto& command : response.commands) {
                if (command.id == task_id{name})
                    return command;
            }
            return {};
        }

        wire::worker_response measure(duration latency, duration age)
        {
            wire::worker_announcement announced;
            announced.id = worker_id{"w1"};
            announced.domain = steward.domain;
            announced.incarnation_number = incarnation{1};
            announced.heartbeat = heartbeat_number{++heartbeats[announced.id]};
            announced.capacity = {millicores{4000}, bytes{100'000}, {}};
            announced.tasks = reports;
            announced.service_latency = latency;
            announced.usage_age = age;
            on_announcement(steward, announced, now);
            advance_time(seconds{1});
            return make_worker_response(steward, announced.id, now);
        }

        wire::worker_command service;
        wire::worker_command batch;
        std::vector<wire::worker_task> reports;
    };

    void effects_are_learned_for_each_pair_and_lose_certainty_with_age()
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

    void batch_work_beside_a_slow_service_is_throttled_then_evicted()
    {
        colocated fixture;
        for (int sample = 0; sample < 3; ++sample)
            fixture.measure(milliseconds{150}, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"throttled"}, fixture.task("batch").state);
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, fixture.task("service").state);
        for (int sample = 0; sample < 4; ++sample)
            fixture.measure(milliseconds{150}, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"checkpointing"}, fixture.task("batch").state);
        fixture.reports[1].checkpoint = checkpoint_id{"c1"};
        const auto response = fixture.measure(milliseconds{150}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(response, worker_command_kind::stop));
        const auto service_tail_index = static_cast<std::size_t>(eviction_reason::service_tail);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             fixture.steward.counters.evictions[service_tail_index]);
    }

    void measurements_made_before_a_reaction_cause_no_second_one()
    {
        colocated fixture;
        for (int sample = 0; sample < 12; ++sample)
            fixture.measure(milliseconds{50}, seconds{10});
        // All measurements that arrive within ten seconds after the first reaction were made before
        // it.
        for (int sample = 0; sample < 12; ++sample)
            fixture.measure(milliseconds{150}, seconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"throttled"}, fixture.task("batch").state);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.steward.counters.throttles);
    }

    void batch_work_is_not_colocated_with_a_service_that_it_slows()
    {
        colocated fixture;
        for (int sample = 0; sample < 60; ++sample)
            learn_latency(fixture.steward.interference, job_id{"service"},
                          {{job_id{"noisy"}, 0.25}}, 1.6, fixture.now);
        fixture.add_task("noisy", 1000, work_class::batch, "noisy");
        fixture.measure(milliseconds{50}, {});
        CPPUNIT_ASSERT(fixture.task("noisy").blocking_reason == wait_reason::would_slow_service);
        fixture.beat("w2");
        CPPUNIT_ASSERT(fixture.task("noisy").worker == worker_id{"w2"});
    }

    void urgent_tasks_preempt_the_batch_task_that_loses_least_work()
    {
        steward_fixture fixture;
        fixture.add_task("old", 2000);
        const auto old = fixture.beat("w1", {}, 4000).commands.front();
        fixture.beat("w1", {fixture.report(old, worker_task_state::running)});
        fixture.advance_time(seconds{2});
        fixture.add_task("young", 2000);
        fixture.beat("w1", {fixture.report(old, worker_task_state::running)});
        auto& urgent = fixture.add_task("urgent", 2000);
        urgent.urgent = true;
        on_task_record(fixture.steward, urgent.id, nullptr, false, fixture.now);
        on_task_record(fixture.steward, urgent.id, &urgent, false, fixture.now);
        fixture.advance_time(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::string{"evicting"}, fixture.task("young").state);
        CPPUNIT_ASSERT_EQUAL(std::string{"running"}, fixture.task("old").state);
        auto stopped = fixture.report(old, worker_task_state::stopped);
        stopped.id = task_id{"young"};
        stopped.assignment = fixture.task("young").placement;
        fixture.beat("w1", {fixture.report(old, worker_task_state::running), stopped});
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, fixture.task("urgent").state);
    }

    void an_out_of_memory_kill_raises_the_next_reservation()
    {
        steward_fixture fixture;
        fixture.add_task("t1");
        const auto start = fixture.beat("w1").commands.front();
        CPPUNIT_ASSERT(start.demand.memory == bytes{1000});
        fixture.beat("w1", {fixture.report(start, worker_task_state::out_of_memory)});
        fixture.advance_time(seconds{2});
        const auto again = fixture.beat("w1").commands.front();
        CPPUNIT_ASSERT(again.demand.memory == bytes{1500});
        CPPUNIT_ASSERT(fixture.task("t1").failures == 0);
    }

    void a_task_larger_than_every_worker_is_returned_and_then_parked()
    {
        steward_fixture fixture;
        fixture.steward.domain_count = 2;
        fixture.beat("w1");
        auto& record = fixture.add_task("huge", 5000);
        fixture.add_task("small");
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, fixture.task("small").state);
        fixture.advance_time(seconds{1});
        fixture.advance_time(seconds{11});
        CPPUNIT_ASSERT(next_reports(fixture.steward, 9).front().released);
        record.assignment = epoch{2};
        record.attempts = 2;
        on_task_record(fixture.steward, record.id, &record, false, fixture.now);
        fixture.advance_time(seconds{1});
        fixture.advance_time(seconds{11});
        CPPUNIT_ASSERT(next_reports(fixture.steward, 9).front().outcome == task_outcome::parked);
    }

    /** Makes `count` tasks of different jobs fail on one worker. */
    static void fail_tasks_on(steward_fixture& fixture, const std::string& worker, int count,
                              const std::string& prefix)
    {
        for (int number = 0; number < count; ++number) {
            const auto name = prefix + std::to_string(number);
            fixture.add_task(name, 4000, work_class::batch, name);
            const auto start = fixture.beat(worker).commands;
            if (start.empty())
                return;
            fixture.beat(worker, {fixture.report(start.front(), worker_task_state::failed)});
            on_task_record(fixture.steward, task_id{name}, nullptr, false, fixture.now);
        }
    }

    void a_worker_on_which_different_jobs_fail_is_quarantined_and_probed()
    {
        steward_fixture fixture;
        fail_tasks_on(fixture, "bad", 3, "a");
        CPPUNIT_ASSERT(fixture.steward.workers.at(worker_id{"bad"}).health.quarantined);
        fixture.add_task("later");
        fixture.beat("bad");
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, fixture.task("later").state);
        fixture.advance_time(seconds{61});
        const auto probe = fixture.beat("bad").commands.front();
        CPPUNIT_ASSERT(probe.kind == worker_command_kind::start);
        fixture.beat("bad", {fixture.report(probe, worker_task_state::succeeded)});
        CPPUNIT_ASSERT(!fixture.steward.workers.at(worker_id{"bad"}).health.quarantined);
    }

    void a_job_that_fails_everywhere_quarantines_no_worker()
    {
        steward_fixture fixture;
        for (int number = 0; number < 12; ++number) {
            const auto worker = "w" + std::to_string(number % 4);
            const auto name = "t" + std::to_string(number);
            fixture.add_task(name, 4000);
            const auto start = fixture.beat(worker).commands;
            if (!start.empty())
                fixture.beat(worker, {fixture.report(start.front(), worker_task_state::failed)});
            on_task_record(fixture.steward, task_id{name}, nullptr, false, fixture.now);
            fixture.advance_time(seconds{7});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.steward.counters.quarantines);
    }

    void no_more_workers_are_quarantined_than_the_cap()
    {
        steward_fixture fixture;
        fail_tasks_on(fixture, "w1", 3, "a");
        fail_tasks_on(fixture, "w2", 6, "b");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.steward.counters.quarantines);
        CPPUNIT_ASSERT(fixture.steward.counters.quarantines_over_cap > 0);
    }

    void a_large_task_gets_a_worker_reserved()
    {
        steward_fixture fixture;
        fixture.add_task("first", 2000);
        const auto first = fixture.beat("w1").commands.front();
        fixture.add_task("large", 4000);
        for (int second = 0; second < 32; ++second) {
            fixture.beat("w1", {fixture.report(first, worker_task_state::running)});
            fixture.advance_time(seconds{1});
        }
        CPPUNIT_ASSERT(fixture.steward.workers.at(worker_id{"w1"}).reserved_for_task ==
                       task_id{"large"});
        fixture.add_task("small");
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting"}, fixture.task("small").state);
        fixture.beat("w1", {fixture.report(first, worker_task_state::succeeded)});
        CPPUNIT_ASSERT_EQUAL(std::string{"starting"}, fixture.task("large").state);
    }

    void tasks_are_evicted_from_a_leaving_worker()
    {
        steward_fixture fixture;
        fixture.add_task("t1");
        const auto start = fixture.beat("w1").commands.front();
        wire::worker_announcement leaving;
        leaving.id = worker_id{"w1"};
        leaving.incarnation_number = incarnation{1};
        leaving.heartbeat = heartbeat_number{50};
        leaving.capacity = {millicores{4000}, bytes{100'000}, {}};
        leaving.tasks = {fixture.report(start, worker_task_state::running)};
        leaving.leaving = true;
        on_announcement(fixture.steward, leaving, fixture.now);
        fixture.advance_time(seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::string{"checkpointing"}, fixture.task("t1").state);
    }

    void ten_thousand_cancellations_do_not_block_starts()
    {
        steward_fixture fixture;
        for (int number = 0; number < 10'000; ++number)
            fixture.add_task("c" + std::to_string(number), 3000).cancel_requested = true;
        for (auto& [id, record] : fixture.records)
            on_task_record(fixture.steward, id, &record, false, fixture.now);
        fixture.add_task("t1", 3000);
        const auto response = fixture.beat("w1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.count(response, worker_command_kind::start));
        std::size_t batches = 0;
        while (!fixture.steward.pending_reports.empty()) {
            on_reports_accepted(fixture.steward, next_reports(fixture.steward, 1000));
            ++batches;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, batches);
    }

    void the_reason_of_a_long_wait_is_reported()
    {
        steward_fixture fixture;
        fixture.add_task("t1");
        fixture.advance_time(seconds{1});
        fixture.advance_time(seconds{6});
        CPPUNIT_ASSERT_EQUAL(std::string{"waits: its failure domain has no worker"},
                             next_reports(fixture.steward, 1).front().reason);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_test);

} // namespace galenaturn::schedule
