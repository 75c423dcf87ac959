#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::schedule {

/** Tests that stops are sent when they are due, whatever else the leader does. */
class stops_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stops_test);
    CPPUNIT_TEST(stop_of_an_orphan_is_sent_again_until_it_is_listed_no_more);
    CPPUNIT_TEST(adopted_run_is_kept_until_the_lease_of_its_worker_has_certainly_expired);
    CPPUNIT_TEST_SUITE_END();

    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
    const worker_id worker_{"w"};
    const wire::task_ref orphan_{submission_id{"0123456789abcdef"}, 0, 0, 0};

public:
    void setUp() override
    {
        state_.settings.lease = std::chrono::seconds{8};
        wire::worker_presence announcement;
        announcement.worker.id = worker_;
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {millicores{4000}, bytes{std::int64_t{64} << 30}, {}};
        on_worker_announcement(state_, announcement);
        admit_worker(state_, worker_);
    }

private:
    void report(const worker_report& reported)
    {
        record_reply(state_, worker_, now_);
        on_worker_report(state_, worker_, reported, now_, now_);
        extend_lease(state_, worker_, now_);
    }

    [[nodiscard]] wire::job_record job() const
    {
        wire::job_record record;
        record.id = orphan_.job;
        record.queue.service = service_id{"desk"};
        record.queue.max_attempts = 3;
        record.spec.steps.emplace_back().demand.processors = millicores{1000};
        record.tasks.resize(1);
        return record;
    }

    [[nodiscard]] worker_report report_with_orphan() const
    {
        worker_report reported;
        reported.running.push_back({orphan_, 1, "", 50, 0});
        return reported;
    }

public:
    /** A stop that got no reply was forgotten, and the run went on until the next report. */
    void stop_of_an_orphan_is_sent_again_until_it_is_listed_no_more()
    {
        report(report_with_orphan());
        for (int attempt = 1; attempt <= 3; ++attempt) {
            const auto stops = plan_stops(state_, now_);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
            CPPUNIT_ASSERT(is_due(state_, stops.front()));
            on_stop_result(state_, stops.front(), command_result::none, now_);
            CPPUNIT_ASSERT(plan_stops(state_, now_).empty());
            now_ += std::chrono::milliseconds{600};
        }
        report({});
        CPPUNIT_ASSERT(plan_stops(state_, now_).empty());
    }

    /**
     * A worker that the ledger did not list is first polled without a lease; its runs were cleared
     * and started elsewhere while it still had one.
     */
    void adopted_run_is_kept_until_the_lease_of_its_worker_has_certainly_expired()
    {
        add_job(state_, job(), now_);
        worker_report reported;
        reported.running.push_back({orphan_, 1, "", 50, 0});
        record_reply(state_, worker_, now_);
        on_worker_report(state_, worker_, reported, now_, now_);
        now_ += state_.settings.lease;
        expire_leases(state_, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.workers.at(worker_).runs.size());
        now_ += state_.settings.lease;
        expire_leases(state_, now_);
        CPPUNIT_ASSERT(state_.workers.at(worker_).runs.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stops_test);

} // namespace galenaturn::schedule
