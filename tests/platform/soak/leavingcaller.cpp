#include "leavingcaller.h"

#include <array>
#include <cstdio>
#include <thread>
#include <vector>

namespace galenaturn::soak {

using std::chrono::milliseconds;

namespace {

/** Works until it is stopped. */
constexpr const char* job_body =
    R"({"spec":"work_ms=600000 cpu=500 memory=50","steps":[{"count":1,"cpu":500,"memMb":50}]})";
constexpr milliseconds cancel_timeout{1000};
constexpr int cancel_attempts = 20;
/** Tells the ids of these jobs from those of the other callers. */
constexpr unsigned first_prefix = 0x8000;

class leaving_caller {
public:
    leaving_caller(caller_record& shared, left_jobs& left, std::size_t number)
        : shared_{shared}, left_{left}, random_{shared.seed * 7000 + number},
          prefix_{first_prefix + static_cast<unsigned>(number)}
    {
    }

    void run()
    {
        while (!shared_.stopped && shared_.submits) {
            std::array<char, 17> id{};
            std::snprintf(id.data(), id.size(), "%04x%012x", prefix_, jobs_++);
            if (submit(id.data()) || between(0, 1) == 0)
                cancel(id.data());
            std::this_thread::sleep_for(milliseconds{between(20, 400)});
        }
    }

private:
    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>{least, most}(random_);
    }

    const callee& any_entry()
    {
        return shared_.entries[static_cast<std::size_t>(
            between(0, static_cast<std::int64_t>(shared_.entries.size()) - 1))];
    }

    static std::string request(const std::string& method, const std::string& job,
                               milliseconds timeout, const std::string& body = {})
    {
        return request_text(method, "/jobs/" + job, "jobs.example",
                            "Connection: close\r\nGalenaturn-Request-Deadline: " +
                                std::to_string(timeout.count()) + "\r\n",
                            body);
    }

    /** Returns false if the job was refused as certainly not run. */
    bool submit(const std::string& job)
    {
        const milliseconds patience{between(0, 2) == 0 ? between(1, 30) : between(50, 1500)};
        http_socket socket;
        if (!socket.connect(any_entry().address, patience) ||
            !socket.send(request("POST", job, patience, job_body)))
            return true;
        const auto answer = socket.read(monotonic_now() + patience);
        if (!answer && between(0, 1) == 0)
            left_open_.push_back(std::move(socket));
        if (!answer || answer->body.find("\"not_run\":true") == std::string::npos)
            return true;
        const std::scoped_lock lock{left_.mutex};
        left_.refused.insert(job);
        return false;
    }

    void cancel(const std::string& job)
    {
        for (int attempt = 0; attempt < cancel_attempts; ++attempt) {
            const auto answer = call_once(any_entry().address,
                                          request("DELETE", job, cancel_timeout), cancel_timeout);
            if (answer.status == 200 || answer.status == 410) {
                const std::scoped_lock lock{left_.mutex};
                left_.cancelled[job] = monotonic_now();
                return;
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        const std::scoped_lock lock{left_.mutex};
        ++left_.unacknowledged;
    }

    caller_record& shared_;
    left_jobs& left_;
    std::mt19937_64 random_;
    unsigned prefix_;
    unsigned jobs_{0};
    std::vector<http_socket> left_open_;
};

} // namespace

void run_leaving_caller(caller_record& shared, left_jobs& left, std::size_t number)
{
    leaving_caller caller{shared, left, number};
    caller.run();
    // The connections that are left open outlast the check.
    while (!shared.stopped)
        std::this_thread::sleep_for(milliseconds{50});
}

} // namespace galenaturn::soak
