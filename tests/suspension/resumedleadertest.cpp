#include "jobcalls.h"
#include "suspendabledeployment.h"

#include "platform/soak/runrecord.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <thread>

namespace galenaturn::suspension {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** From when on what was acknowledged is shown everywhere. */
constexpr milliseconds shown_everywhere{2500};
/** Longer than any lease of a leader. */
constexpr milliseconds observed_after_resume{1500};
constexpr const char* cancelled_job = "00000000000000a1";
constexpr const char* accepted_job = "00000000000000a2";

/** What an entry answered whose last leader it was suspended with. */
struct entry_answers {
    std::string folder;
    std::vector<std::string> states_of_cancelled;
    std::size_t accepted_unknown{0};
    std::size_t queue_unknown{0};
    std::size_t removed_queue_counted{0};
    std::vector<std::string> lost;
    std::vector<std::string> run_violations;
};

class resumed_leader {
public:
    explicit resumed_leader(clocks_left_behind clocks)
        : clocks_{clocks}, processes_{SUSPENDABLE_PROGRAMS,
                                      std::filesystem::path{GALENATURN_BINARY_DIR} / "suspension",
                                      {3, 2, 2}}
    {
        answers_.folder = processes_.folder().string();
    }

    entry_answers play()
    {
        start();
        auto* const leader = processes_.await_leader();
        CPPUNIT_ASSERT(leader != nullptr);
        processes_.suspend(*leader);
        processes_.suspend(suspended_entry());
        change_elsewhere();
        std::this_thread::sleep_for(shown_everywhere);
        auto waiting = send_reads();
        submit();
        processes_.resume(*leader, clocks_);
        processes_.resume(suspended_entry(), clocks_);
        note(waiting);
        observe();
        note_submitted();
        find_lost();
        std::ifstream journal{processes_.journal()};
        answers_.run_violations = soak::check_runs(journal).violations;
        return answers_;
    }

private:
    soak::soak_process& suspended_entry() { return *processes_.entries().front(); }
    soak::soak_process& running_entry() { return *processes_.entries().back(); }

    void start()
    {
        CPPUNIT_ASSERT(processes_.start(1));
        for (auto* entry : processes_.entries())
            CPPUNIT_ASSERT(wait_until([&] { return call(*entry, "GET", "/jobs/").status == 200; }));
        CPPUNIT_ASSERT(wait_until([&] {
            return call(suspended_entry(), "POST", path_of(cancelled_job), long_job).status / 100 ==
                   2;
        }));
        CPPUNIT_ASSERT(wait_until([&] {
            return shows(call(suspended_entry(), "GET", path_of(cancelled_job)), "running");
        }));
    }

    void change_elsewhere()
    {
        removed_version_ = processes_.acknowledged_version();
        CPPUNIT_ASSERT(processes_.publish());
        CPPUNIT_ASSERT(wait_until([&] {
            return call(running_entry(), "DELETE", path_of(cancelled_job)).status / 100 == 2;
        }));
        CPPUNIT_ASSERT(wait_until([&] {
            return call(running_entry(), "POST", path_of(accepted_job), long_job).status / 100 == 2;
        }));
        CPPUNIT_ASSERT(wait_until(
            [&] { return shows(call(running_entry(), "GET", path_of(accepted_job)), "running"); }));
    }

    soak::http_socket send(const std::string& request)
    {
        soak::http_socket socket;
        CPPUNIT_ASSERT(socket.connect(suspended_entry().address, seconds{1}) &&
                       socket.send(request));
        return socket;
    }

    /** Asks for both jobs, the added and the removed queue, each on its own connection. */
    std::vector<soak::http_socket> send_reads()
    {
        const auto version = std::to_string(processes_.acknowledged_version());
        std::vector<soak::http_socket> waiting;
        const auto removed = std::to_string(removed_version_);
        for (const auto& path : {path_of(cancelled_job), path_of(accepted_job),
                                 "/change" + version + "/", "/change" + removed + "/"})
            waiting.push_back(send(job_text("GET", path)));
        return waiting;
    }

    void submit()
    {
        const auto id = "00000000000" + std::to_string(10000 + submissions_.size());
        submissions_.emplace_back(id, send(job_text("POST", path_of(id), short_job)));
    }

    /** Notes the answers to `send_reads`. */
    void note(std::vector<soak::http_socket>& sockets)
    {
        const auto limit = monotonic_now() + answer_limit;
        std::vector<soak::http_message> answers;
        answers.reserve(sockets.size());
        for (auto& socket : sockets)
            answers.push_back(socket.read(limit).value_or(soak::http_message{}));
        if (shows(answers[0], "running") || shows(answers[0], "pending"))
            answers_.states_of_cancelled.push_back(answers[0].body);
        answers_.accepted_unknown += answers[1].status == 410 ? 1 : 0;
        answers_.queue_unknown += answers[2].status == 404 ? 1 : 0;
        answers_.removed_queue_counted += answers[3].status == 200 ? 1 : 0;
    }

    void observe()
    {
        const auto end = monotonic_now() + observed_after_resume;
        while (monotonic_now() < end) {
            submit();
            auto sent = send_reads();
            note(sent);
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    void note_submitted()
    {
        const auto limit = monotonic_now() + answer_limit;
        for (auto& [id, socket] : submissions_) {
            const auto answer = socket.read(limit);
            if (answer && answer->status / 100 == 2)
                submitted_.push_back(id);
        }
        const std::string last_job = "00000000000000a3";
        CPPUNIT_ASSERT(wait_until([&] {
            return call(suspended_entry(), "POST", path_of(last_job), short_job).status / 100 == 2;
        }));
        submitted_.push_back(last_job);
    }

    void find_lost()
    {
        for (const auto& id : submitted_) {
            const auto completed = [&] {
                return shows(call(running_entry(), "GET", path_of(id)), "completed");
            };
            if (!wait_until(completed))
                answers_.lost.push_back(id);
        }
    }

    clocks_left_behind clocks_;
    suspendable_deployment processes_;
    /** The only version with its added queue. */
    int removed_version_{0};
    entry_answers answers_;
    std::vector<std::pair<std::string, soak::http_socket>> submissions_;
    std::vector<std::string> submitted_;
};

} // namespace

/** Jobs and queues at an entry that is suspended together with its leader, while others go on. */
class resumed_leader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resumed_leader_test);
    CPPUNIT_TEST(job_cancelled_meanwhile_is_not_shown_as_running);
    CPPUNIT_TEST(job_accepted_meanwhile_is_known);
    CPPUNIT_TEST(queue_added_meanwhile_is_known);
    CPPUNIT_TEST(queue_removed_meanwhile_is_not_counted);
    CPPUNIT_TEST(acknowledged_job_is_not_lost);
    CPPUNIT_TEST(tasks_run_once);
    CPPUNIT_TEST_SUITE_END();

    /** One play serves all tests. */
    virtual const entry_answers& answers() const
    {
        static const auto played = resumed_leader{clocks_left_behind::steady}.play();
        return played;
    }

public:
    void job_cancelled_meanwhile_is_not_shown_as_running()
    {
        const auto& states = answers().states_of_cancelled;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers().folder, std::size_t{0}, states.size());
    }

    void job_accepted_meanwhile_is_known()
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers().folder, std::size_t{0}, answers().accepted_unknown);
    }

    void queue_added_meanwhile_is_known()
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers().folder, std::size_t{0}, answers().queue_unknown);
    }

    void queue_removed_meanwhile_is_not_counted()
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers().folder, std::size_t{0},
                                     answers().removed_queue_counted);
    }

    void acknowledged_job_is_not_lost()
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers().folder, std::size_t{0}, answers().lost.size());
    }

    void tasks_run_once()
    {
        const auto& violations = answers().run_violations;
        CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
    }
};

/** The same with VMs that were paused by their host: no clock shows for how long. */
class paused_leader_test : public resumed_leader_test {
    CPPUNIT_TEST_SUB_SUITE(paused_leader_test, resumed_leader_test);
    CPPUNIT_TEST_SUITE_END();

    const entry_answers& answers() const override
    {
        static const auto played = resumed_leader{clocks_left_behind::steady_and_boot}.play();
        return played;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumed_leader_test);
CPPUNIT_TEST_SUITE_REGISTRATION(paused_leader_test);

} // namespace galenaturn::suspension
