#include "jobcalls.h"
#include "suspendabledeployment.h"

#include "platform/soak/runrecord.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <set>

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

/** More than a ledger keeps of its log beside an image of its state. */
constexpr std::size_t submissions_for_an_image = 1400;
constexpr std::size_t longest_text = 4000;
constexpr std::size_t first_filler = 0x10000;

/** Three control processes, whose ledger records the cancelling of an unknown job. */
class recorded_cancelling {
public:
    recorded_cancelling()
        : processes_{SUSPENDABLE_PROGRAMS,
                     std::filesystem::path{GALENATURN_BINARY_DIR} / "suspension",
                     {3, 1, 1}}
    {
    }

    void record(const std::string& job)
    {
        CPPUNIT_ASSERT(processes_.start(1));
        CPPUNIT_ASSERT(wait_until([&] { return status_of("GET", "") == 200; }));
        CPPUNIT_ASSERT(wait_until([&] { return status_of("DELETE", job) == 410; }));
    }

    /** Submits until the ledger has taken an image. */
    void fill_log()
    {
        const auto body = R"({"spec":"work_ms=1 cpu=1 )" + std::string(longest_text - 20, '-') +
                          R"(","steps":[{"count":1,"cpu":1}]})";
        for (std::size_t job = 0; job < submissions_for_an_image; ++job) {
            std::array<char, 17> id{};
            std::snprintf(id.data(), id.size(), "%016zx", first_filler + job);
            CPPUNIT_ASSERT(wait_until([&] { return status_of("POST", id.data(), body) == 200; }));
        }
        CPPUNIT_ASSERT(wait_until([&] { return events("ledger_image_taken") > taken_before_; }));
    }

    /** A follower loses its disk and receives an image of the state. */
    void lose_a_disk()
    {
        auto* const leader = processes_.await_leader();
        CPPUNIT_ASSERT(leader != nullptr);
        for (auto* control : processes_.controls()) {
            if (control == leader)
                continue;
            processes_.restart(*control, true);
            break;
        }
        CPPUNIT_ASSERT(
            wait_until([&] { return events("ledger_image_installed") > installed_before_; }));
    }

    void restart_leader()
    {
        auto* const leader = processes_.await_leader();
        CPPUNIT_ASSERT(leader != nullptr);
        processes_.restart(*leader, false);
    }

    void restart_all()
    {
        for (auto* control : processes_.controls())
            processes_.restart(*control, false);
    }

    /** Returns why the submission is refused, or its status if it is not refused for good. */
    std::string submit(const std::string& job)
    {
        std::string answer;
        wait_until([&] {
            const auto response = call(entry(), "POST", path_of(job), short_job);
            const auto refused_for_good =
                response.body.find("the job was cancelled before") != std::string::npos;
            answer = refused_for_good ? "cancelled before" : std::to_string(response.status);
            return refused_for_good || response.status == 200;
        });
        return answer;
    }

private:
    soak::soak_process& entry() { return *processes_.entries().front(); }

    int status_of(const std::string& method, const std::string& job, const std::string& body = {})
    {
        return call(entry(), method, path_of(job), body).status;
    }

    std::size_t events(const std::string& name)
    {
        std::size_t found = 0;
        for (const auto* control : processes_.controls()) {
            std::ifstream log{processes_.folder() / (control->name + ".log")};
            for (std::string line; std::getline(log, line);)
                found += line.find("event=" + name + " ") != std::string::npos ? 1 : 0;
        }
        return found;
    }

    suspendable_deployment processes_;
    /** The logs have the events of earlier tests too. */
    std::size_t taken_before_{events("ledger_image_taken")};
    std::size_t installed_before_{events("ledger_image_installed")};
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
    CPPUNIT_TEST(a_cancelling_outlasts_images_lost_disks_and_restarts);
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
        CPPUNIT_ASSERT(entry.jobs_run().empty());
        CPPUNIT_ASSERT_EQUAL(410, entry.status_of("GET", unknown_job));
        // Nobody can tell when it was sent, so it is refused at once.
        const auto answer = repeated.read(monotonic_now() + answer_limit);
        CPPUNIT_ASSERT(answer && answer->status == 503);
        CPPUNIT_ASSERT(!answer->headers.contains("retry-after"));
    }

    /** A cancelling that an image leaves out lets the late submission in. */
    void a_cancelling_outlasts_images_lost_disks_and_restarts()
    {
        const std::string refused = "cancelled before";
        recorded_cancelling cancelling;
        cancelling.record(unknown_job);
        cancelling.fill_log();
        cancelling.lose_a_disk();
        CPPUNIT_ASSERT_EQUAL(refused, cancelling.submit(unknown_job));
        cancelling.restart_leader();
        CPPUNIT_ASSERT_EQUAL(refused, cancelling.submit(unknown_job));
        cancelling.restart_all();
        CPPUNIT_ASSERT_EQUAL(refused, cancelling.submit(unknown_job));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_submission_test);

} // namespace galenaturn::suspension
