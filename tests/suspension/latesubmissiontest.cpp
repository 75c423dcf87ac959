#include "jobcalls.h"
#include "suspendabledeployment.h"

#include "platform/soak/runrecord.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

namespace galenaturn::suspension {

using std::chrono::milliseconds;

namespace {

/** Shorter than the time after which an entry no longer knows its leader. */
constexpr milliseconds entry_paused{1700};
/** How long callers wait; `job_text` says so to the entry. */
constexpr milliseconds caller_waits{1000};
/** Longer than it takes until a task of an accepted job runs. */
constexpr milliseconds observed_after_resume{2500};

/** Submissions that wait in the sockets of an entry while it is paused. */
class paused_entry {
public:
    paused_entry()
        : processes_{SUSPENDABLE_PROGRAMS,
                     std::filesystem::path{GALENATURN_BINARY_DIR} / "suspension",
                     {3, 2, 2}}
    {
        CPPUNIT_ASSERT(processes_.start(1));
        for (auto* entry : processes_.entries())
            CPPUNIT_ASSERT(wait_until([&] { return call(*entry, "GET", "/jobs/").status == 200; }));
    }

    soak::http_socket submit(const std::string& job)
    {
        soak::http_socket socket;
        CPPUNIT_ASSERT(socket.connect(paused().address, milliseconds{500}) &&
                       socket.send(job_text("POST", path_of(job), long_job)));
        return socket;
    }

    /** Returns the status at the entry that runs. */
    int status_of(const std::string& method, const std::string& job)
    {
        return call(*processes_.entries().back(), method, path_of(job)).status;
    }

    void pause()
    {
        paused_at_ = monotonic_now();
        processes_.suspend(paused());
    }

    static void wait_for_callers() { std::this_thread::sleep_for(caller_waits); }

    void resume()
    {
        std::this_thread::sleep_for(paused_at_ + entry_paused - monotonic_now());
        processes_.resume(paused(), clocks_left_behind::none);
        std::this_thread::sleep_for(observed_after_resume);
    }

    /** Returns the jobs of which a task ran. */
    std::set<std::string> jobs_run()
    {
        std::ifstream journal{processes_.journal()};
        return soak::check_runs(journal).jobs;
    }

private:
    soak::soak_process& paused() { return *processes_.entries().front(); }

    suspendable_deployment processes_;
    time_point paused_at_;
};

constexpr const char* left_job = "00000000000000c1";
constexpr const char* silent_job = "00000000000000c2";
constexpr const char* unknown_job = "00000000000000c3";
constexpr const char* repeated_job = "00000000000000c4";

} // namespace

/** Answers about jobs that a submission which arrives late must not undo. */
class late_submission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(late_submission_test);
    CPPUNIT_TEST(a_job_does_not_run_after_its_cancelling_or_the_deadline_of_its_caller);
    CPPUNIT_TEST_SUITE_END();

public:
    /** An entry that resumed handed in what had waited in its sockets, and nobody knew of the jobs.
     */
    void a_job_does_not_run_after_its_cancelling_or_the_deadline_of_its_caller()
    {
        paused_entry entry;
        entry.pause();
        auto left = entry.submit(left_job);
        // The VMs of these callers are lost, so nothing closes their connections.
        const auto silent = entry.submit(silent_job);
        const auto unknown = entry.submit(unknown_job);
        paused_entry::wait_for_callers();
        left.close();
        CPPUNIT_ASSERT_EQUAL(410, entry.status_of("DELETE", left_job));
        CPPUNIT_ASSERT_EQUAL(410, entry.status_of("DELETE", silent_job));
        CPPUNIT_ASSERT_EQUAL(410, entry.status_of("GET", unknown_job));
        // This caller still waits.
        std::this_thread::sleep_for(milliseconds{300});
        auto repeated = entry.submit(repeated_job);
        entry.resume();
        CPPUNIT_ASSERT(entry.jobs_run() == std::set<std::string>{});
        CPPUNIT_ASSERT_EQUAL(410, entry.status_of("GET", unknown_job));
        // Nobody can tell when it was sent, so it is refused at once.
        const auto answer = repeated.read(monotonic_now() + answer_limit);
        CPPUNIT_ASSERT(answer && answer->status == 503);
        CPPUNIT_ASSERT(!answer->headers.contains("retry-after"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_submission_test);

} // namespace galenaturn::suspension
