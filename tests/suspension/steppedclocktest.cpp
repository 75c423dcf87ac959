#include "jobcalls.h"
#include "suspendabledeployment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace galenaturn::suspension {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/** Longer than the ledger keeps ended jobs and cancelled submissions. */
constexpr minutes clock_step{15};
/** Longer than two rounds in which a leader removes old records. */
constexpr seconds observed_after_step{11};

/** Jobs of callers while the time of day of the leader's VM jumps. */
class stepped_clock {
public:
    explicit stepped_clock(duration step)
        : step_{step}, processes_{SUSPENDABLE_PROGRAMS,
                                  std::filesystem::path{GALENATURN_BINARY_DIR} / "suspension",
                                  {3, 1, 1}}
    {
    }

    void start()
    {
        CPPUNIT_ASSERT(processes_.start(1));
        CPPUNIT_ASSERT(reaches(200, [&] { return call_entry("GET", ""); }));
    }

    void step_clock()
    {
        const auto* const leader = processes_.await_leader();
        CPPUNIT_ASSERT(leader != nullptr);
        processes_.set_time_of_day(*leader, step_);
        wait_for_expiry();
    }

    static void wait_for_expiry() { std::this_thread::sleep_for(observed_after_step); }

    void submit(const std::string& job)
    {
        CPPUNIT_ASSERT(reaches(200, [&] { return call_entry("POST", job, long_job); }));
    }

    void cancel(const std::string& job, int status)
    {
        CPPUNIT_ASSERT(reaches(status, [&] { return call_entry("DELETE", job); }));
    }

    /** Returns the status of the first response other than "try again later". */
    int first_status(const std::string& method, const std::string& job,
                     const std::string& body = {})
    {
        int status = 0;
        wait_until([&] {
            const auto response = call_entry(method, job, body);
            const bool refused_for_good =
                response.body.find("cancelled before") != std::string::npos;
            status = response.status;
            return status != 0 && (status < 500 || refused_for_good);
        });
        return status;
    }

private:
    soak::http_message call_entry(const std::string& method, const std::string& job,
                                  const std::string& body = {})
    {
        return call(*processes_.entries().front(), method, path_of(job), body);
    }

    template <class Call>
    static bool reaches(int status, Call call)
    {
        return wait_until([&] { return call().status == status; });
    }

    duration step_;
    suspendable_deployment processes_;
};

constexpr const char* unknown_job = "00000000000000b1";
constexpr const char* ended_job = "00000000000000b2";
constexpr const char* later_job = "00000000000000b3";

} // namespace

/** Answers that a jump of the leader's time of day must not undo. */
class stepped_clock_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stepped_clock_test);
    CPPUNIT_TEST(
        a_submission_that_arrives_after_a_jump_of_the_clock_does_not_outlive_its_cancelling);
    CPPUNIT_TEST(a_job_that_ends_while_the_clock_of_the_leader_is_behind_is_known);
    CPPUNIT_TEST_SUITE_END();

public:
    /** The records of what was cancelled and ended were removed as too old, and the jobs ran. */
    void a_submission_that_arrives_after_a_jump_of_the_clock_does_not_outlive_its_cancelling()
    {
        stepped_clock played{clock_step};
        played.start();
        played.cancel(unknown_job, 410);
        played.submit(ended_job);
        played.cancel(ended_job, 200);
        stepped_clock::wait_for_expiry();
        played.step_clock();
        CPPUNIT_ASSERT_EQUAL(503, played.first_status("POST", unknown_job, long_job));
        CPPUNIT_ASSERT_EQUAL(200, played.first_status("GET", ended_job));
    }

    /** Its end counted as older than its retention at once, and a repeated submission ran again. */
    void a_job_that_ends_while_the_clock_of_the_leader_is_behind_is_known()
    {
        stepped_clock played{-clock_step};
        played.start();
        stepped_clock::wait_for_expiry();
        played.step_clock();
        played.submit(later_job);
        played.cancel(later_job, 200);
        stepped_clock::wait_for_expiry();
        CPPUNIT_ASSERT_EQUAL(200, played.first_status("GET", later_job));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stepped_clock_test);

} // namespace galenaturn::suspension
