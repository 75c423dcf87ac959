// Stand-in of a runner as PROTOCOL.md describes it: one process is one life of a runner.
//
// The text of a job tells this runner what its tasks do: "work=4000-5000 cpu=100 mem=64" ends
// `done` after a time between the two, in milliseconds, which follows from the task's name;
// "work=0-0" lasts until it is stopped. `cpu` and `mem` are what it takes of the capacity, which is
// guarded. With "fail=800" the first run of each task ends `failed` after 800 ms. "stop=300" is how
// long a stop takes.
//
// With LATE_MS above 0 the runner leaves one call of `hold` without an answer and carries it out so
// much later: the first one after it has listed a failed end.
//
// Usage: runner ID ADDRESS ZONE RACK CPU MEM_MB SERVICE HEARTBEAT_MS JOURNAL CONTROL[,CONTROL...]
//        LATE_MS

#include "http.h"

#include <boost/json/src.hpp>

#include <fcntl.h>
#include <sys/prctl.h>

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <mutex>
#include <sstream>
#include <vector>

namespace {

using namespace review;
namespace json = boost::json;

constexpr std::int64_t max_hold_ms = 10'000;
constexpr std::size_t max_ends_listed = 500;

struct running_task {
    std::int64_t run{0};
    std::int64_t began{0};
    /** 0 if it lasts. */
    std::int64_t work_ms{0};
    std::int64_t cpu{0};
    std::int64_t memory{0};
    /** When it ends `failed`, counted from its start; 0 if it does not. */
    std::int64_t fails_after{0};
    std::int64_t stop_ms{0};
    /** When a stop that has arrived is complete. */
    std::int64_t stops_at{0};
};

struct ended_run {
    std::int64_t number{0};
    std::string task;
    std::int64_t run{0};
    std::string how;
};

std::int64_t value_of(const std::string& spec, const std::string& key, std::size_t part = 0)
{
    const auto found = spec.find(key + "=");
    if (found == std::string::npos)
        return 0;
    auto begin = found + key.size() + 1;
    if (part == 1)
        begin = spec.find('-', begin) + 1;
    return std::atoll(spec.c_str() + begin);
}

std::int64_t work_of(const std::string& spec, const std::string& task)
{
    const auto least = value_of(spec, "work");
    const auto most = value_of(spec, "work", 1);
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char letter : task)
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    return least +
           static_cast<std::int64_t>((hash >> 20) % static_cast<std::uint64_t>(most - least + 1));
}

class runner {
public:
    explicit runner(char** arguments)
        : id_{arguments[1]}, own_{parse_address(arguments[2])}, zone_{arguments[3]},
          rack_{arguments[4]}, cpu_{std::atoll(arguments[5])}, memory_{std::atoll(arguments[6])},
          service_{arguments[7]}, heartbeat_ms_{std::atoi(arguments[8])},
          journal_{open(arguments[9], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)},
          born_{now_ms()}, late_ms_{std::atoi(arguments[11])}
    {
        std::istringstream controls{arguments[10]};
        std::string control;
        while (std::getline(controls, control, ','))
            controls_.push_back(parse_address(control));
    }

    int run()
    {
        const int listener = open_listener(own_);
        if (listener < 0)
            return 1;
        note("up " + own_.text());
        std::thread{[this] { send_heartbeats(); }}.detach();
        std::thread{[this] { advance_for_ever(); }}.detach();
        serve(listener, [this](const message& incoming) { return handle(incoming); });
        return 0;
    }

private:
    [[nodiscard]] std::int64_t clock() const { return now_ms() - born_ + 1000; }

    void note(const std::string& text) const
    {
        const auto line = std::to_string(now_ms()) + " runner " + id_ + " " + text + "\n";
        [[maybe_unused]] const auto size = write(journal_, line.data(), line.size());
    }

    message reply(int status, const std::string& reason = {}) const
    {
        json::object body{{"clockMs", clock()}};
        if (!reason.empty())
            body["reason"] = reason;
        message response;
        response.status = status;
        response.body = json::serialize(body);
        return response;
    }

    message handle(const message& incoming)
    {
        const auto target = incoming.headers.find("galenaturn-target-instance");
        if (target != incoming.headers.end() && target->second != id_)
            return reply(421);
        if (incoming.method == "GET")
            return reply(200);
        boost::system::error_code error;
        const auto parsed = json::parse(incoming.body, error);
        const auto* body = error ? nullptr : parsed.if_object();
        if (body == nullptr)
            return reply(400);
        std::unique_lock lock{mutex_};
        advance();
        const auto token = number_at(*body, "fencingToken");
        if (token < token_)
            return reply(409, "fence");
        token_ = token;
        if (incoming.path == "/-/run-start")
            return start(*body);
        if (incoming.path == "/-/run-stop")
            return stop(*body);
        if (incoming.path == "/-/hold")
            return hold(*body, lock);
        return reply(incoming.path == "/-/pace" ? 200 : 400);
    }

    static std::int64_t number_at(const json::object& body, const char* key)
    {
        const auto* value = body.if_contains(key);
        return value == nullptr ? 0 : value->to_number<std::int64_t>();
    }

    void extend_lease(const json::object& body)
    {
        if (body.contains("deadlineMs"))
            lease_until_ = std::max(lease_until_,
                                    std::min(number_at(body, "deadlineMs"), clock() + max_hold_ms));
    }

    message start(const json::object& body)
    {
        const std::string task{body.at("task").as_string()};
        const std::string spec{body.at("spec").as_string()};
        const auto run = number_at(body, "run");
        if (number_at(body, "deadlineMs") <= clock())
            return reply(409, "late");
        extend_lease(body);
        const auto there = running_.find(task);
        if (there != running_.end() && there->second.run == run)
            return reply(200);
        if (run <= highest_[task] || there != running_.end())
            return reply(409, "old");
        running_task started;
        started.run = run;
        started.began = now_ms();
        started.work_ms = work_of(spec, task);
        started.cpu = value_of(spec, "cpu");
        started.memory = value_of(spec, "mem");
        started.fails_after = run == 1 ? value_of(spec, "fail") : 0;
        started.stop_ms = value_of(spec, "stop");
        if (used_cpu_ + started.cpu > cpu_ || used_memory_ + started.memory > memory_)
            return reply(409, "room");
        used_cpu_ += started.cpu;
        used_memory_ += started.memory;
        running_[task] = started;
        note("start " + task + " run " + std::to_string(run) + " token " + std::to_string(token_));
        return reply(200);
    }

    message stop(const json::object& body)
    {
        const std::string task{body.at("task").as_string()};
        const auto run = number_at(body, "run");
        const auto there = running_.find(task);
        if (there != running_.end() && there->second.run == run && there->second.stops_at == 0) {
            there->second.stops_at = now_ms() + there->second.stop_ms;
            note("stopping " + task + " run " + std::to_string(run));
        }
        highest_[task] = std::max(highest_[task], run);
        advance();
        return reply(200);
    }

    message hold(const json::object& body, std::unique_lock<std::mutex>& lock)
    {
        if (late_ms_ > 0 && listed_failed_) {
            const auto late = std::exchange(late_ms_, 0);
            note("leaves a call of hold without an answer");
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds{late});
            lock.lock();
            if (number_at(body, "fencingToken") < token_)
                return reply(409, "fence");
            note("carries out the late call of hold");
        }
        const auto seen = number_at(body, "lastSeen");
        extend_lease(body);
        if (seen > seen_) {
            seen_ = seen;
            note("seen " + std::to_string(seen));
            std::erase_if(ended_, [&](const auto& ended) { return ended.number <= seen; });
        }
        const auto wait = std::min<std::int64_t>(number_at(body, "waitMs"), 2000);
        changed_.wait_for(lock, std::chrono::milliseconds{wait}, [&] { return !ended_.empty(); });
        json::array running;
        for (const auto& [task, state] : running_) {
            const auto percent =
                state.work_ms == 0
                    ? 100
                    : std::min<std::int64_t>(99, (now_ms() - state.began) * 100 / state.work_ms);
            running.push_back(json::array{task, state.run, "", percent, state.cpu});
        }
        json::array ended;
        for (const auto& entry : ended_) {
            if (ended.size() == max_ends_listed)
                break;
            ended.push_back(json::array{entry.number, entry.task, entry.run, entry.how, ""});
            listed_failed_ = listed_failed_ || entry.how == "failed";
        }
        if (ended_.size() > max_ends_listed)
            note("lists " + std::to_string(ended.size()) + " of " + std::to_string(ended_.size()) +
                 " ends");
        message response;
        response.status = 200;
        response.body = json::serialize(json::object{{"clockMs", clock()},
                                                     {"running", std::move(running)},
                                                     {"endedRuns", std::move(ended)}});
        return response;
    }

    void end(const std::string& task, const std::string& how)
    {
        const auto there = running_.find(task);
        const auto run = there->second.run;
        used_cpu_ -= there->second.cpu;
        used_memory_ -= there->second.memory;
        highest_[task] = std::max(highest_[task], run);
        running_.erase(there);
        ended_.push_back({++last_end_, task, run, how});
        note("end " + task + " run " + std::to_string(run) + " " + how + " number " +
             std::to_string(last_end_));
        changed_.notify_all();
    }

    /** Ends what is done, and everything once the lease has expired. */
    void advance()
    {
        const auto now = now_ms();
        const bool lapsed = clock() >= lease_until_;
        std::vector<std::pair<std::string, const char*>> ends;
        for (const auto& [task, state] : running_) {
            if (state.stops_at > 0 && now >= state.stops_at)
                ends.emplace_back(task, "stopped");
            else if (state.fails_after > 0 && now - state.began >= state.fails_after)
                ends.emplace_back(task, "failed");
            else if (state.work_ms > 0 && now - state.began >= state.work_ms)
                ends.emplace_back(task, "done");
            else if (lapsed)
                ends.emplace_back(task, "lapsed");
        }
        for (const auto& [task, how] : ends)
            end(task, how);
    }

    void advance_for_ever()
    {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
            const std::scoped_lock lock{mutex_};
            advance();
        }
    }

    void send_heartbeats()
    {
        std::size_t next = std::hash<std::string>{}(id_);
        for (int sequence = 1;; ++sequence) {
            json::object body{{"service", service_},
                              {"address", own_.text()},
                              {"zone", zone_},
                              {"version", "v1"},
                              {"slots", 8},
                              {"state", "ready"},
                              {"coldRemainingMs", 0},
                              {"capacity", {{"cpu", cpu_}, {"memMb", memory_}, {"gpu", 0}}},
                              {"labels", {"a", rack_}},
                              {"clockMs", clock()},
                              {"sequence", sequence}};
            for (std::size_t attempt = 0; attempt < controls_.size(); ++attempt, ++next) {
                const auto answer = request(controls_[next % controls_.size()], "PUT",
                                            "/-/instances/" + id_, json::serialize(body), 1000);
                if (answer.status / 100 == 2)
                    break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{heartbeat_ms_});
        }
    }

    std::string id_;
    address own_;
    std::string zone_;
    std::string rack_;
    std::int64_t cpu_;
    std::int64_t memory_;
    std::string service_;
    int heartbeat_ms_;
    int journal_;
    std::int64_t born_;
    std::vector<address> controls_;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, running_task> running_;
    std::vector<ended_run> ended_;
    std::map<std::string, std::int64_t> highest_;
    std::int64_t used_cpu_{0};
    std::int64_t used_memory_{0};
    std::int64_t token_{0};
    std::int64_t lease_until_{0};
    std::int64_t last_end_{0};
    std::int64_t seen_{0};
    /** How late one call of hold is carried out; 0 if none is, or once it has been. */
    std::int64_t late_ms_{0};
    bool listed_failed_{false};
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 12)
        return 2;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    return runner{argv}.run();
}
