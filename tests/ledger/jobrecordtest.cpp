#include <galenaturn/ledger.h>

#include <cereal/types/deque.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::ledger {

/** Tests the records of jobs in the replicated state. */
class job_record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_record_test);
    CPPUNIT_TEST(a_job_is_accepted_once);
    CPPUNIT_TEST(a_job_succeeds_when_all_its_tasks_have_succeeded);
    CPPUNIT_TEST(a_completion_reported_twice_counts_once);
    CPPUNIT_TEST(a_failure_read_after_that_of_a_later_run_counts);
    CPPUNIT_TEST(a_failure_that_an_earlier_version_counted_counts_once);
    CPPUNIT_TEST(an_older_run_does_not_replace_the_checkpoint_of_a_newer_one);
    CPPUNIT_TEST(a_job_fails_when_its_last_attempt_fails);
    CPPUNIT_TEST(a_gang_fails_and_succeeds_as_a_whole);
    CPPUNIT_TEST(an_ended_job_is_not_changed);
    CPPUNIT_TEST(only_a_higher_version_of_the_queues_is_accepted);
    CPPUNIT_TEST(a_snapshot_restores_jobs_queues_and_workers);
    CPPUNIT_TEST(an_ended_job_is_removed_after_its_retention);
    CPPUNIT_TEST(two_crashes_under_a_task_fail_its_job_if_nothing_else_explains_the_second);
    CPPUNIT_TEST(a_task_among_other_suspects_fails_its_job_after_four_crashes);
    CPPUNIT_TEST(a_crash_recorded_twice_counts_once);
    CPPUNIT_TEST(crashes_that_a_task_survived_the_start_of_do_not_count);
    CPPUNIT_TEST(crashes_under_a_task_that_has_succeeded_do_not_count);
    CPPUNIT_TEST(a_snapshot_restores_crashes);
    CPPUNIT_TEST(a_snapshot_restores_failed_runs);
    CPPUNIT_TEST(a_snapshot_of_version_2_is_read);
    CPPUNIT_TEST(a_snapshot_of_version_3_is_read);
    CPPUNIT_TEST(a_snapshot_of_version_4_is_read);
    CPPUNIT_TEST(a_submission_after_the_cancelling_of_its_job_is_refused);
    CPPUNIT_TEST(cancelling_of_unknown_jobs_removes_no_ended_job);
    CPPUNIT_TEST(a_cancelling_that_cannot_be_recorded_is_not_answered_as_no_such_job);
    CPPUNIT_TEST(a_cancelled_submission_is_forgotten_after_its_retention);
    CPPUNIT_TEST(a_snapshot_restores_cancelled_submissions);
    CPPUNIT_TEST_SUITE_END();

    ledger_state state_;
    std::uint64_t index_{0};

    wire::command_response run(wire::command body)
    {
        applied_change change;
        const wire::command_request request{request_id{"r" + std::to_string(++index_)},
                                            std::move(body)};
        return apply_command(state_, request, log_index{index_}, change);
    }

    static wire::submit_job job(std::uint32_t tasks, bool gang = false)
    {
        wire::submit_job body;
        body.id = submission_id{"0123456789abcdef"};
        body.queue.max_attempts = 2;
        wire::job_step step;
        step.count = tasks;
        step.gang = gang;
        body.spec.steps.push_back(step);
        return body;
    }

    wire::command_response end(std::uint32_t index, std::uint32_t run_number, bool succeeded,
                               const std::string& checkpoint = "saved")
    {
        wire::record_completions body;
        body.items.push_back(
            {{submission_id{"0123456789abcdef"}, 0, 0, index}, run_number, succeeded, checkpoint});
        return run(body);
    }

    void crash(std::uint32_t run_number, wire::crash_suspicion suspicion)
    {
        wire::record_crash body;
        body.items.push_back({{submission_id{"0123456789abcdef"}, 0, 0, 0}, run_number, suspicion});
        run(body);
    }

    const wire::job_record& record() { return state_.jobs.begin()->second; }

    void a_job_is_accepted_once()
    {
        CPPUNIT_ASSERT(run(job(2)).status == wire::command_status::accepted);
        end(0, 1, true);
        CPPUNIT_ASSERT(run(job(2)).status == wire::command_status::duplicate);
        CPPUNIT_ASSERT(record().tasks[0].succeeded);
    }

    void a_job_succeeds_when_all_its_tasks_have_succeeded()
    {
        run(job(2));
        end(0, 1, true);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
        end(1, 1, true);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::succeeded);
    }

    void a_completion_reported_twice_counts_once()
    {
        run(job(2));
        end(0, 1, false);
        end(0, 1, false);
        CPPUNIT_ASSERT_EQUAL(1U, record().tasks[0].failures);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
        CPPUNIT_ASSERT_EQUAL(std::string{"saved"}, record().tasks[0].checkpoint);
    }

    /** It was taken for a duplicate, so that the task started once more than it may. */
    void a_failure_read_after_that_of_a_later_run_counts()
    {
        run(job(2));
        end(0, 2, false);
        end(0, 1, false);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::failed);
    }

    void a_failure_that_an_earlier_version_counted_counts_once()
    {
        auto submitted = job(2);
        submitted.queue.max_attempts = 3;
        run(submitted);
        end(0, 1, false);
        state_.jobs.begin()->second.failed_runs.clear();
        end(0, 1, false);
        end(0, 2, false);
        end(0, 2, false);
        CPPUNIT_ASSERT_EQUAL(2U, record().tasks[0].failures);
    }

    void an_older_run_does_not_replace_the_checkpoint_of_a_newer_one()
    {
        auto submitted = job(2);
        submitted.queue.max_attempts = 3;
        run(submitted);
        end(0, 2, false, "newer");
        end(0, 1, false, "older");
        CPPUNIT_ASSERT_EQUAL(std::string{"newer"}, record().tasks[0].checkpoint);
    }

    void a_job_fails_when_its_last_attempt_fails()
    {
        run(job(2));
        end(0, 1, false);
        end(0, 2, false);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::failed);
    }

    void a_gang_fails_and_succeeds_as_a_whole()
    {
        run(job(3, true));
        end(1, 1, false);
        end(2, 1, false);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
        end(2, 2, true);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::succeeded);
    }

    void an_ended_job_is_not_changed()
    {
        run(job(1));
        wire::cancel_job cancelled;
        cancelled.id = submission_id{"0123456789abcdef"};
        run(cancelled);
        end(0, 1, true);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::cancelled);
        CPPUNIT_ASSERT(run(cancelled).status == wire::command_status::duplicate);
    }

    void only_a_higher_version_of_the_queues_is_accepted()
    {
        run(wire::publish_queues{4, "four"});
        CPPUNIT_ASSERT(run(wire::publish_queues{4, "other"}).status ==
                       wire::command_status::duplicate);
        CPPUNIT_ASSERT(run(wire::publish_queues{3, "three"}).status ==
                       wire::command_status::duplicate);
        CPPUNIT_ASSERT_EQUAL(std::string{"four"}, state_.queues.document);
        run(wire::publish_queues{9, "nine"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, state_.queues.version);
    }

    void a_snapshot_restores_jobs_queues_and_workers()
    {
        run(job(2));
        end(1, 3, true);
        run(wire::publish_queues{4, "four"});
        wire::record_workers admission;
        admission.admitted.emplace_back();
        admission.admitted.back().id = worker_id{"w1"};
        run(admission);
        const auto read = decode_snapshot(encode_snapshot(state_)).value();
        CPPUNIT_ASSERT_EQUAL(3U, read.jobs.begin()->second.tasks[1].last_run);
        CPPUNIT_ASSERT_EQUAL(std::string{"four"}, read.queues.document);
        CPPUNIT_ASSERT(read.workers.contains(worker_id{"w1"}));
    }

    void an_ended_job_is_removed_after_its_retention()
    {
        run(job(1));
        end(0, 1, true);
        run(wire::expire_records{wall_time{std::chrono::minutes{9}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.jobs.size());
        run(wire::expire_records{wall_time{std::chrono::minutes{11}}});
        CPPUNIT_ASSERT(state_.jobs.empty());
    }

    void two_crashes_under_a_task_fail_its_job_if_nothing_else_explains_the_second()
    {
        run(job(2));
        crash(1, wire::crash_suspicion::only_suspect);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
        crash(2, wire::crash_suspicion::only_suspect);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::failed);
    }

    void a_task_among_other_suspects_fails_its_job_after_four_crashes()
    {
        run(job(2));
        for (std::uint32_t number = 1; number <= 3; ++number)
            crash(number, wire::crash_suspicion::suspect);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
        crash(4, wire::crash_suspicion::suspect);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::failed);
    }

    void a_crash_recorded_twice_counts_once()
    {
        run(job(2));
        crash(1, wire::crash_suspicion::only_suspect);
        crash(1, wire::crash_suspicion::only_suspect);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
        CPPUNIT_ASSERT_EQUAL(1U, record().crashes.at(0).count);
    }

    void crashes_that_a_task_survived_the_start_of_do_not_count()
    {
        run(job(2));
        crash(1, wire::crash_suspicion::suspect);
        crash(2, wire::crash_suspicion::cleared);
        crash(3, wire::crash_suspicion::only_suspect);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
    }

    void crashes_under_a_task_that_has_succeeded_do_not_count()
    {
        run(job(2));
        end(0, 1, true);
        for (std::uint32_t number = 2; number <= 6; ++number)
            crash(number, wire::crash_suspicion::only_suspect);
        CPPUNIT_ASSERT(record().phase == wire::job_phase::open);
    }

    void a_snapshot_restores_crashes()
    {
        run(job(2));
        crash(1, wire::crash_suspicion::suspect);
        run(wire::record_suspect_start{
            {submission_id{"0123456789abcdef"}, 0, 0, 0}, 2, worker_id{"w2"}});
        const auto read = decode_snapshot(encode_snapshot(state_)).value();
        CPPUNIT_ASSERT(read.jobs.begin()->second.crashes == record().crashes);
        CPPUNIT_ASSERT_EQUAL(2U, record().crashes.at(0).started_run);
    }

    void a_snapshot_restores_failed_runs()
    {
        run(job(2));
        end(1, 3, false);
        const auto read = decode_snapshot(encode_snapshot(state_)).value();
        CPPUNIT_ASSERT(read.jobs.begin()->second.failed_runs == record().failed_runs);
        CPPUNIT_ASSERT_EQUAL(3U, record().failed_runs.at(1).front());
    }

    /** Returns a snapshot of one job without the last bytes of its record. */
    std::string snapshot_without(std::size_t last_bytes, std::uint32_t version)
    {
        auto snapshot = encode_snapshot(state_);
        const auto after_jobs = wire::encode(state_.ended_jobs) + wire::encode(state_.queues) +
                                wire::encode(std::vector<wire::worker_record>{});
        // Only version 5 has cancelled submissions.
        snapshot.resize(snapshot.size() - wire::encode(state_.cancelled_submissions).size());
        snapshot.erase(snapshot.size() - after_jobs.size() - last_bytes, last_bytes);
        snapshot.replace(0, sizeof(std::uint32_t), wire::encode(version));
        return snapshot;
    }

    void a_snapshot_of_version_2_is_read()
    {
        run(job(2));
        end(1, 3, true);
        run(wire::publish_queues{4, "four"});
        // Version 2 has neither crashes nor failed runs at the end of each job.
        const auto last_bytes =
            wire::encode(record().crashes).size() + wire::encode(record().failed_runs).size();
        const auto read = decode_snapshot(snapshot_without(last_bytes, 2)).value();
        CPPUNIT_ASSERT_EQUAL(3U, read.jobs.begin()->second.tasks[1].last_run);
        CPPUNIT_ASSERT_EQUAL(std::string{"four"}, read.queues.document);
    }

    void a_snapshot_of_version_3_is_read()
    {
        run(job(2));
        end(1, 3, false);
        crash(1, wire::crash_suspicion::suspect);
        const auto last_bytes = wire::encode(record().failed_runs).size();
        const auto read = decode_snapshot(snapshot_without(last_bytes, 3)).value();
        CPPUNIT_ASSERT_EQUAL(1U, read.jobs.begin()->second.tasks[1].failures);
        CPPUNIT_ASSERT(read.jobs.begin()->second.crashes == record().crashes);
    }

    void a_snapshot_of_version_4_is_read()
    {
        run(job(2));
        end(1, 3, false);
        const auto read = decode_snapshot(snapshot_without(0, 4)).value();
        CPPUNIT_ASSERT(read.jobs.begin()->second.failed_runs == record().failed_runs);
        CPPUNIT_ASSERT(read.cancelled_submissions.empty());
    }

    wire::command_response cancel(const std::string& id, std::int64_t minute = 0)
    {
        return run(wire::cancel_job{submission_id{id}, wall_time{std::chrono::minutes{minute}}});
    }

    /** The job ran, although its caller had been told that there was none. */
    void a_submission_after_the_cancelling_of_its_job_is_refused()
    {
        const auto submitted = job(1);
        for (int repeated = 0; repeated < 2; ++repeated) {
            CPPUNIT_ASSERT(cancel(submitted.id.value()).status == wire::command_status::rejected);
            CPPUNIT_ASSERT(run(submitted).status == wire::command_status::conflict);
        }
        CPPUNIT_ASSERT(state_.jobs.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.cancelled_submissions.size());
        auto other = submitted;
        other.id = submission_id{"other"};
        CPPUNIT_ASSERT(run(other).status == wire::command_status::accepted);
        CPPUNIT_ASSERT(cancel("other").status == wire::command_status::accepted);
        // A submission that is repeated after its cancelling stays the same job.
        CPPUNIT_ASSERT(run(other).status == wire::command_status::duplicate);
    }

    void cancelling_of_unknown_jobs_removes_no_ended_job()
    {
        run(job(1));
        end(0, 1, true);
        for (std::size_t number = 0; number < state_limits{}.max_ended_jobs + 1; ++number)
            cancel(std::to_string(number));
        run(wire::expire_records{wall_time{std::chrono::minutes{1}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.jobs.size());
        CPPUNIT_ASSERT(record().phase == wire::job_phase::succeeded);
    }

    void a_cancelling_that_cannot_be_recorded_is_not_answered_as_no_such_job()
    {
        const auto most = state_limits{}.max_cancelled_submissions;
        for (std::size_t number = 0; number < most; ++number)
            CPPUNIT_ASSERT(cancel(std::to_string(number)).status == wire::command_status::rejected);
        CPPUNIT_ASSERT(!can_cancel_unknown_job(state_));
        CPPUNIT_ASSERT(cancel("one more").status == wire::command_status::unavailable);
        CPPUNIT_ASSERT_EQUAL(most, state_.cancelled_submissions.size());
        // Those that are recorded stay so.
        CPPUNIT_ASSERT(cancel("0").status == wire::command_status::rejected);
        auto submitted = job(1);
        submitted.id = submission_id{"0"};
        CPPUNIT_ASSERT(run(submitted).status == wire::command_status::conflict);
    }

    void a_cancelled_submission_is_forgotten_after_its_retention()
    {
        const auto retention = state_limits{}.cancelled_submission_retention;
        const wall_time cancelled{std::chrono::minutes{100}};
        cancel("0123456789abcdef", 100);
        run(wire::expire_records{cancelled + retention});
        CPPUNIT_ASSERT(run(job(1)).status == wire::command_status::conflict);
        run(wire::expire_records{cancelled + retention + std::chrono::seconds{1}});
        CPPUNIT_ASSERT(state_.cancelled_submissions.empty());
        CPPUNIT_ASSERT(run(job(1)).status == wire::command_status::accepted);
    }

    void a_snapshot_restores_cancelled_submissions()
    {
        cancel("0123456789abcdef", 100);
        state_ = decode_snapshot(encode_snapshot(state_)).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.cancelled_submissions.size());
        CPPUNIT_ASSERT(run(job(1)).status == wire::command_status::conflict);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_record_test);

} // namespace galenaturn::ledger
