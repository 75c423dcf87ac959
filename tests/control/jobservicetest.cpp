#include "testleader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <utility>

namespace galenaturn::controld {

/** Tests the leader's job service with workers in the same process. */
class job_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_service_test);
    CPPUNIT_TEST(stop_of_a_cancelled_job_does_not_wait_for_a_pass);
    CPPUNIT_TEST(lease_is_extended_while_the_ledger_does_not_record_a_completion);
    CPPUNIT_TEST(worker_is_not_polled_continuously_while_a_completion_is_recorded);
    CPPUNIT_TEST(completion_is_acknowledged_once_it_is_recorded);
    CPPUNIT_TEST(queued_commands_outlast_a_lapse_of_the_lease);
    CPPUNIT_TEST(queued_starts_wait_while_the_lease_of_the_leader_has_lapsed);
    CPPUNIT_TEST(workers_get_no_leases_while_the_lease_of_the_leader_has_lapsed);
    CPPUNIT_TEST(stops_to_one_worker_do_not_wait_for_each_others_replies);
    CPPUNIT_TEST(stop_waits_for_the_reply_to_its_start);
    CPPUNIT_TEST(event_loop_goes_on_during_a_pass);
    CPPUNIT_TEST(tasks_do_not_start_again_when_more_of_them_end_than_a_report_lists);
    CPPUNIT_TEST(an_answer_names_the_version_that_decided_only_while_the_lease_is_valid);
    CPPUNIT_TEST(an_answer_that_a_later_leader_may_contradict_needs_a_quorum);
    CPPUNIT_TEST(a_submission_that_waits_for_the_disk_does_not_outlive_its_cancelling);
    CPPUNIT_TEST(a_submission_after_the_cancelling_of_its_job_does_not_run);
    CPPUNIT_TEST(a_cancelling_is_answered_only_once_it_is_recorded);
    CPPUNIT_TEST(cancelling_of_unknown_jobs_of_one_queue_leaves_room_for_others);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t jobs = 20;

    /** A leader whose clock stood still showed a cancelled job as running, and denied new ones. */
    void an_answer_that_a_later_leader_may_contradict_needs_a_quorum()
    {
        test_leader leader{1};
        leader.publish(1);
        leader.run_for(std::chrono::milliseconds{50});
        leader.submit("open");
        leader.submit("ended");
        leader.cancel("ended");
        const auto status_of = [&](wire::job_verb verb, const std::string& job) {
            const auto answer = leader.request(verb, job);
            CPPUNIT_ASSERT(leader.run_until([&] { return answer->has_value(); }));
            return answer->value().status;
        };
        const auto ok = wire::job_response_status::ok;
        const auto unavailable = wire::job_response_status::unavailable;
        CPPUNIT_ASSERT(status_of(wire::job_verb::show, "open") == ok);
        CPPUNIT_ASSERT(status_of(wire::job_verb::show, "other") ==
                       wire::job_response_status::unknown_job);
        leader.set_quorum_confirms(false);
        CPPUNIT_ASSERT(status_of(wire::job_verb::show, "open") == unavailable);
        CPPUNIT_ASSERT(status_of(wire::job_verb::show, "other") == unavailable);
        const auto confirmations = leader.confirmations();
        CPPUNIT_ASSERT(status_of(wire::job_verb::show, "ended") == ok);
        CPPUNIT_ASSERT_EQUAL(confirmations, leader.confirmations());
        CPPUNIT_ASSERT(status_of(wire::job_verb::count, "") == unavailable);
        // A queue that this leader does not know.
        const auto refused = leader.count_jobs();
        CPPUNIT_ASSERT(refused.status == unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, refused.queues_version);
        leader.set_quorum_confirms(true);
        CPPUNIT_ASSERT(leader.count_jobs().status == wire::job_response_status::unknown_queue);
    }

    /** The cancelling was answered as "no such job" at once, and the job ran after that. */
    void a_submission_that_waits_for_the_disk_does_not_outlive_its_cancelling()
    {
        test_leader leader{1};
        leader.publish(1);
        leader.run_for(std::chrono::milliseconds{50});
        leader.hold_commands(true);
        const auto submitted = leader.request(wire::job_verb::submit, "late");
        leader.run_ready_handlers();
        const auto cancelled = leader.request(wire::job_verb::cancel, "late");
        leader.run_for(std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(!submitted->has_value() && !cancelled->has_value());
        leader.hold_commands(false);
        CPPUNIT_ASSERT(leader.run_until([&] { return submitted->has_value(); }));
        CPPUNIT_ASSERT(leader.run_until([&] { return cancelled->has_value(); }));
        CPPUNIT_ASSERT((*cancelled)->status == wire::job_response_status::ok);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 0; }));
        const auto shown = leader.request(wire::job_verb::show, "late");
        CPPUNIT_ASSERT(leader.run_until([&] { return shown->has_value(); }));
        CPPUNIT_ASSERT((*shown)->phase == wire::job_phase::cancelled);
    }

    void a_submission_after_the_cancelling_of_its_job_does_not_run()
    {
        test_leader leader{1};
        leader.publish(1);
        leader.run_for(std::chrono::milliseconds{50});
        for (int repeated = 0; repeated < 2; ++repeated) {
            const auto cancelled = leader.request(wire::job_verb::cancel, "late");
            CPPUNIT_ASSERT(leader.run_until([&] { return cancelled->has_value(); }));
            CPPUNIT_ASSERT((*cancelled)->status == wire::job_response_status::unknown_job);
            const auto submitted = leader.request(wire::job_verb::submit, "late");
            CPPUNIT_ASSERT(leader.run_until([&] { return submitted->has_value(); }));
            // Not accepted and never run, as the caller is told.
            CPPUNIT_ASSERT((*submitted)->status == wire::job_response_status::unavailable);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, leader.refused("cancelled_before"));
        leader.run_for(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(leader.starts().empty());
        // Nobody's job is shown.
        const auto shown = leader.request(wire::job_verb::show, "late");
        CPPUNIT_ASSERT(leader.run_until([&] { return shown->has_value(); }));
        CPPUNIT_ASSERT((*shown)->status == wire::job_response_status::unknown_job);
    }

    void a_cancelling_is_answered_only_once_it_is_recorded()
    {
        test_leader leader{1};
        leader.publish(1);
        leader.run_for(std::chrono::milliseconds{50});
        leader.hold_commands(true);
        const auto cancelled = leader.request(wire::job_verb::cancel, "late");
        leader.run_ready_handlers();
        const auto submitted = leader.request(wire::job_verb::submit, "late");
        leader.run_for(std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(!cancelled->has_value());
        leader.hold_commands(false);
        CPPUNIT_ASSERT(leader.run_until([&] { return submitted->has_value(); }));
        CPPUNIT_ASSERT((*cancelled)->status == wire::job_response_status::unknown_job);
        CPPUNIT_ASSERT((*submitted)->status == wire::job_response_status::unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, leader.refused("cancelled_before"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leader.refused("cancel_limit"));
    }

    /** One queue could use up the limit, and cancellations of all others were refused. */
    void cancelling_of_unknown_jobs_of_one_queue_leaves_room_for_others()
    {
        constexpr std::size_t left = 8;
        test_leader leader{1};
        leader.publish(1);
        leader.run_for(std::chrono::milliseconds{50});
        const auto recorded = ledger::state_limits{}.max_cancelled_submissions - left;
        for (std::size_t job = 0; job < recorded; ++job)
            leader.cancel("elsewhere" + std::to_string(job));
        std::vector<wire::job_response_status> statuses;
        for (std::size_t job = 0; job < left; ++job) {
            const auto cancelled = leader.request(wire::job_verb::cancel, std::to_string(job));
            CPPUNIT_ASSERT(leader.run_until([&] { return cancelled->has_value(); }));
            statuses.push_back((*cancelled)->status);
        }
        const auto refused = static_cast<std::size_t>(
            std::count(statuses.begin(), statuses.end(), wire::job_response_status::unavailable));
        CPPUNIT_ASSERT_EQUAL(left / 2, refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{refused}, leader.refused("cancel_limit"));
        CPPUNIT_ASSERT(statuses.front() == wire::job_response_status::unknown_job);
        // One that is recorded needs no room.
        const auto repeated = leader.request(wire::job_verb::cancel, "0");
        CPPUNIT_ASSERT(leader.run_until([&] { return repeated->has_value(); }));
        CPPUNIT_ASSERT((*repeated)->status == wire::job_response_status::unknown_job);
    }

    /** The version held by a process that does not lead counted as a regression at entries. */
    void an_answer_names_the_version_that_decided_only_while_the_lease_is_valid()
    {
        test_leader leader{1};
        leader.publish(7);
        leader.run_for(std::chrono::milliseconds{50});
        const auto decided = leader.count_jobs();
        CPPUNIT_ASSERT(decided.status == wire::job_response_status::unknown_queue);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, decided.queues_version);
        CPPUNIT_ASSERT(decided.queues_term > term{0});
        leader.set_leads(false);
        const auto refused = leader.count_jobs();
        CPPUNIT_ASSERT(refused.status == wire::job_response_status::unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, refused.queues_version);
    }

    /** The runs whose ends were not listed yet counted as lost, and their tasks ran twice. */
    void tasks_do_not_start_again_when_more_of_them_end_than_a_report_lists()
    {
        constexpr std::size_t tasks = 150;
        test_leader leader{4};
        leader.limit_listed_ends(20);
        leader.submit_tasks("job", tasks);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == tasks; }));
        leader.stall_completions();
        leader.end_all_runs();
        // Long enough for further polls and a pass.
        leader.run_for(std::chrono::milliseconds{1500});
        leader.resume_completions();
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.has_succeeded("job"); }));
        leader.run_for(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(tasks, leader.starts().size());
    }

public:
    /** Stops waited for the next pass, so that tasks of cancelled jobs ran on for seconds. */
    void stop_of_a_cancelled_job_does_not_wait_for_a_pass()
    {
        test_leader leader{4};
        for (std::size_t job = 0; job < jobs; ++job)
            leader.submit(std::to_string(job));
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == jobs; }));
        for (std::size_t job = 0; job < jobs; ++job) {
            CPPUNIT_ASSERT(leader.run_until_pass());
            leader.cancel(std::to_string(job));
            // The next pass is not due yet.
            leader.run_ready_handlers();
            CPPUNIT_ASSERT_EQUAL(job + 1, leader.stops().size());
        }
    }

    /** Queued stops were forgotten until their resend, and queued starts were dropped. */
    void queued_commands_outlast_a_lapse_of_the_lease()
    {
        constexpr std::size_t stopped = 8;
        test_leader leader{1};
        for (std::size_t job = 0; job < stopped; ++job)
            leader.submit(std::to_string(job));
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == stopped; }));
        leader.run_for(std::chrono::milliseconds{50});
        leader.hold_stop_replies(true);
        for (std::size_t job = 0; job < stopped; ++job)
            leader.cancel(std::to_string(job));
        leader.submit("next");
        CPPUNIT_ASSERT(leader.run_until([&] { return !leader.stops().empty(); }));
        CPPUNIT_ASSERT(leader.run_until_pass());
        leader.set_leads(false);
        leader.hold_stop_replies(false);
        leader.run_for(std::chrono::milliseconds{100});
        CPPUNIT_ASSERT(leader.stops().size() < stopped);
        leader.set_leads(true);
        // Shorter than the time after which a stop is sent again.
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.stops().size() == stopped; },
                                        std::chrono::milliseconds{400}));
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 1; }));
        CPPUNIT_ASSERT_EQUAL(stopped + 1, leader.starts().size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, leader.starts().back().run);
        CPPUNIT_ASSERT_EQUAL(stopped, leader.stops().size());
    }

    /** Guards against a former leader that goes on with its starts when the one in flight ends. */
    void queued_starts_wait_while_the_lease_of_the_leader_has_lapsed()
    {
        test_leader leader{1};
        leader.submit("first");
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 1; }));
        leader.run_for(std::chrono::milliseconds{50});
        leader.hold_start_replies(true);
        for (const auto* name : {"second", "third", "fourth"})
            leader.submit(name);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.starts().size() == 2; }));
        CPPUNIT_ASSERT(leader.run_until_pass());
        leader.set_leads(false);
        leader.hold_start_replies(false);
        leader.run_for(std::chrono::milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, leader.starts().size());
        leader.set_leads(true);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 4; }));
    }

    /** Guards against a former leader that keeps runs alive which its successor counts as ended. */
    void workers_get_no_leases_while_the_lease_of_the_leader_has_lapsed()
    {
        test_leader leader{1};
        leader.submit("job");
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 1; }));
        leader.end_a_run();
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.leases_since_end() > 0; }));
        leader.set_leads(false);
        leader.run_for(std::chrono::milliseconds{100});
        const auto polls = leader.polls_since_end();
        const auto leases = leader.leases_since_end();
        leader.run_for(std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(polls, leader.polls_since_end());
        CPPUNIT_ASSERT_EQUAL(leases, leader.leases_since_end());
        leader.set_leads(true);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.leases_since_end() > leases; }));
    }

    /** A lost reply delayed the stops behind it by the timeout of 0.8 s each. */
    void stops_to_one_worker_do_not_wait_for_each_others_replies()
    {
        constexpr std::size_t stopped = 6;
        constexpr std::size_t in_flight = 4;
        test_leader leader{1};
        for (std::size_t job = 0; job < stopped; ++job)
            leader.submit(std::to_string(job));
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == stopped; }));
        leader.hold_stop_replies(true);
        for (std::size_t job = 0; job < stopped; ++job)
            leader.cancel(std::to_string(job));
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.stops().size() == in_flight; }));
        // Longer than the time after which a stop is sent again: none of them is sent twice.
        leader.run_for(std::chrono::milliseconds{700});
        CPPUNIT_ASSERT_EQUAL(in_flight, leader.stops().size());
        leader.hold_stop_replies(false);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 0; }));
        leader.run_for(std::chrono::milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(stopped, leader.stops().size());
    }

    void stop_waits_for_the_reply_to_its_start()
    {
        test_leader leader{1};
        leader.submit("first");
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 1; }));
        leader.run_for(std::chrono::milliseconds{50});
        leader.hold_start_replies(true);
        leader.submit("second");
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 2; }));
        leader.cancel("second");
        leader.cancel("first");
        CPPUNIT_ASSERT(leader.run_until([&] { return !leader.stops().empty(); }));
        leader.run_for(std::chrono::milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.stops().size());
        CPPUNIT_ASSERT(leader.stops().front().command.task.job == submission_id{"first"});
        leader.hold_start_replies(false);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.stops().size() == 2; }));
    }

    /** A pass held the thread until all tasks were placed, so heartbeats and votes waited. */
    void event_loop_goes_on_during_a_pass()
    {
        constexpr std::size_t workers = 60;
        constexpr std::size_t submitted = 400;
        test_leader leader{workers};
        leader.run_for(std::chrono::milliseconds{100});
        leader.count_rounds();
        for (std::size_t job = 0; job < submitted; ++job)
            leader.submit(std::to_string(job));
        std::size_t most_in_handler = 0;
        std::size_t starts = 0;
        std::set<std::uint64_t> rounds_with_starts;
        CPPUNIT_ASSERT(leader.run_until([&] {
            const auto added =
                leader.starts().size() - std::exchange(starts, leader.starts().size());
            most_in_handler = std::max(most_in_handler, added);
            if (added > 0)
                rounds_with_starts.insert(leader.rounds());
            return starts == submitted;
        }));
        CPPUNIT_ASSERT(most_in_handler < submitted / 4);
        CPPUNIT_ASSERT(rounds_with_starts.size() > 4);
    }

    /** A worker was not polled until the ledger had answered, and all its runs lapsed. */
    void lease_is_extended_while_the_ledger_does_not_record_a_completion()
    {
        test_leader leader{1};
        start_and_end_a_run(leader);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.leases_since_end() >= 3; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leader.acknowledged());
    }

    /** A worker with completions that it may not forget replies at once. */
    void worker_is_not_polled_continuously_while_a_completion_is_recorded()
    {
        test_leader leader{1};
        start_and_end_a_run(leader);
        leader.run_until([] { return false; }, std::chrono::seconds{1});
        CPPUNIT_ASSERT(leader.polls_since_end() < 10);
    }

    void completion_is_acknowledged_once_it_is_recorded()
    {
        test_leader leader{1};
        start_and_end_a_run(leader);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.polls_since_end() >= 2; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leader.acknowledged());
        leader.resume_completions();
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.acknowledged() == 1; }));
    }

private:
    /** A run ends while the ledger records nothing. */
    static void start_and_end_a_run(test_leader& leader)
    {
        leader.submit("a", false);
        CPPUNIT_ASSERT(leader.run_until([&] { return leader.running() == 1; }));
        leader.stall_completions();
        leader.end_a_run();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_service_test);

} // namespace galenaturn::controld
