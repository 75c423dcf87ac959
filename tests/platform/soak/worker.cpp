#include "httpsocket.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

DEFINE_string(id, "", "Id of this worker; a restarted one may have the id of its former life");
DEFINE_string(address, "", "Address that it announces");
DEFINE_string(domain, "", "Its failure domain");
DEFINE_string(service, "", "Service whose tasks it runs");
DEFINE_string(controls, "", "Addresses of the control processes, separated by commas");
DEFINE_string(journal, "", "File to which starts and ends are appended");
DEFINE_string(calls, "", "File with the calls that its former life left");
DEFINE_int32(listener, -1, "Descriptor of the listening socket");
DEFINE_int32(announcement_ms, 1100, "Time between two announcements");
DEFINE_int64(cpu, 64000, "Thousandths of a core");
DEFINE_int64(memory, 250000, "MiB");
DEFINE_int64(clock, 1000, "What its clock shows at first, in milliseconds");
DEFINE_double(clock_rate, 1, "Speed of its clock");
DEFINE_int64(calls_after, 0, "When it carries out the calls of its former life, in milliseconds");
DEFINE_bool(cut, false, "Whether it begins cut off");

namespace {

using namespace galenaturn::soak;
using galenaturn::monotonic_now;
using galenaturn::time_point;
using std::chrono::milliseconds;
namespace json = boost::json;

constexpr std::int64_t longest_lease = 10'000;
constexpr std::int64_t longest_wait = 2000;
constexpr std::size_t ends_listed = 500;

std::int64_t to_ms(time_point time)
{
    return std::chrono::floor<milliseconds>(time.time_since_epoch()).count();
}

struct running_task {
    std::int64_t run{0};
    time_point began;
    milliseconds work{};
    std::int64_t cpu{0};
    std::int64_t memory{0};
    milliseconds stop_time{};
    time_point stops_at{time_point::max()};
};

struct ended_run {
    std::int64_t number{0};
    std::string task;
    std::int64_t run{0};
    std::string how;
};

/** Returns the number behind `key` in the text of a job, or 0. */
std::int64_t value_of(const std::string& text, const std::string& key)
{
    const auto found = text.find(key + "=");
    return found == std::string::npos ? 0 : std::atoll(text.c_str() + found + key.size() + 1);
}

std::int64_t number_at(const json::object& body, std::string_view key)
{
    const auto* value = body.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

/** One life of a worker: it runs what it is told to run while it holds a lease. */
class worker {
public:
    worker()
        : journal_{open(FLAGS_journal.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)},
          cut_{FLAGS_cut}
    {
        std::istringstream list{FLAGS_controls};
        for (std::string control; std::getline(list, control, ',');)
            controls_.push_back(parse_address(control));
    }

    void run()
    {
        note("up");
        std::thread{[this] { follow_orders(); }}.detach();
        std::thread{[this] { carry_out_former_calls(); }}.detach();
        std::thread{[this] { announce_for_ever(); }}.detach();
        std::thread{[this] { advance_for_ever(); }}.detach();
        while (true) {
            const int accepted = accept4(FLAGS_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                std::thread{[this, accepted] { serve(http_socket{accepted}); }}.detach();
        }
    }

private:
    /** Reads what the soak wants of this worker, a word a line. */
    void follow_orders()
    {
        for (std::string word; std::getline(std::cin, word);) {
            if (word == "cut" || word == "heal")
                cut_ = word == "cut";
            if (word != "still")
                continue;
            const std::scoped_lock lock{mutex_};
            still_ = true;
            note("still");
        }
    }

    void serve(http_socket socket)
    {
        while (auto incoming = socket.read(time_point::max() - std::chrono::hours{1})) {
            const auto reply = answer(*incoming);
            if (!reply)
                break;
            if (!socket.send("HTTP/1.1 " + std::to_string(reply->status) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body))
                return;
        }
        // A worker that stands still or is cut off neither answers nor closes.
        while (still_ || cut_)
            std::this_thread::sleep_for(milliseconds{50});
    }

    std::optional<http_message> answer(const http_message& incoming)
    {
        if (still_) {
            keep_for_next_life(incoming);
            return std::nullopt;
        }
        if (cut_) {
            const bool lost = calls_cut_off_++ % 3 == 0;
            await_heal();
            if (!lost) {
                note("late " + incoming.target);
                handle(incoming);
            }
            return std::nullopt;
        }
        auto reply = handle(incoming);
        if (cut_ || still_)
            return std::nullopt;
        return reply;
    }

    void keep_for_next_life(const http_message& incoming)
    {
        const std::scoped_lock lock{calls_mutex_};
        std::ofstream{FLAGS_calls, std::ios::app}
            << json::serialize(json::object{{"target", incoming.target}, {"body", incoming.body}})
            << "\n";
    }

    void carry_out_former_calls()
    {
        std::vector<http_message> calls;
        std::ifstream in{FLAGS_calls};
        for (std::string line; std::getline(in, line);) {
            const auto call = json::parse(line);
            http_message kept;
            kept.method = "POST";
            kept.target = call.at("target").as_string();
            kept.body = call.at("body").as_string();
            calls.push_back(kept);
        }
        std::remove(FLAGS_calls.c_str());
        std::this_thread::sleep_for(milliseconds{FLAGS_calls_after});
        await_heal();
        for (const auto& call : calls) {
            note("former " + call.target);
            std::thread{[this, call] { handle(call); }}.detach();
        }
    }

    void await_heal() const
    {
        while (cut_)
            std::this_thread::sleep_for(milliseconds{5});
    }

    [[nodiscard]] std::int64_t clock_at(time_point time) const
    {
        const auto lived = std::chrono::floor<milliseconds>(time - born_).count();
        return FLAGS_clock +
               static_cast<std::int64_t>(static_cast<double>(lived) * FLAGS_clock_rate);
    }

    /** Returns when the clock of this worker shows `clock`. */
    [[nodiscard]] time_point time_of(std::int64_t clock) const
    {
        return born_ + milliseconds{static_cast<std::int64_t>(
                           static_cast<double>(clock - FLAGS_clock) / FLAGS_clock_rate)};
    }

    void note(const std::string& text, time_point at = monotonic_now()) const
    {
        const auto line = std::to_string(to_ms(at)) + " " + FLAGS_id + " " + text + "\n";
        [[maybe_unused]] const auto size = write(journal_, line.data(), line.size());
    }

    [[nodiscard]] http_message reply(int status, const std::string& reason = {}) const
    {
        json::object body{{"clockMs", clock_at(monotonic_now())}};
        if (!reason.empty())
            body["reason"] = reason;
        http_message response;
        response.status = status;
        response.body = json::serialize(body);
        return response;
    }

    http_message handle(const http_message& incoming)
    {
        const auto intended = incoming.headers.find("galenaturn-target-instance");
        if (intended != incoming.headers.end() && intended->second != FLAGS_id)
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
        if (incoming.target == "/-/run-start")
            return start(*body);
        if (incoming.target == "/-/run-stop")
            return stop(*body);
        if (incoming.target == "/-/hold")
            return hold(*body, lock);
        return reply(incoming.target == "/-/pace" ? 200 : 400);
    }

    void extend_lease(const json::object& body)
    {
        if (!body.contains("deadlineMs"))
            return;
        lease_until_ = std::max(lease_until_, std::min(number_at(body, "deadlineMs"),
                                                       clock_at(monotonic_now()) + longest_lease));
    }

    http_message start(const json::object& body)
    {
        const std::string task{body.at("task").as_string()};
        const std::string text{body.at("spec").as_string()};
        const auto run = number_at(body, "run");
        if (number_at(body, "deadlineMs") <= clock_at(monotonic_now()))
            return reply(409, "late");
        extend_lease(body);
        const auto there = running_.find(task);
        if (there != running_.end() && there->second.run == run)
            return reply(200);
        if (run <= highest_run_[task] || there != running_.end())
            return reply(409, "old");
        running_task started;
        started.run = run;
        started.began = monotonic_now();
        started.work = milliseconds{value_of(text, "work_ms")};
        started.cpu = value_of(text, "cpu");
        started.memory = value_of(text, "memory");
        started.stop_time = milliseconds{value_of(text, "stop_ms")};
        if (used_cpu_ + started.cpu > FLAGS_cpu || used_memory_ + started.memory > FLAGS_memory)
            return reply(409, "room");
        used_cpu_ += started.cpu;
        used_memory_ += started.memory;
        running_[task] = started;
        note("start " + task + " " + std::to_string(run));
        return reply(200);
    }

    http_message stop(const json::object& body)
    {
        const std::string task{body.at("task").as_string()};
        const auto run = number_at(body, "run");
        const auto there = running_.find(task);
        if (there != running_.end() && there->second.run == run &&
            there->second.stops_at == time_point::max())
            there->second.stops_at = monotonic_now() + there->second.stop_time;
        highest_run_[task] = std::max(highest_run_[task], run);
        return reply(200);
    }

    http_message hold(const json::object& body, std::unique_lock<std::mutex>& lock)
    {
        const auto seen = number_at(body, "lastSeen");
        extend_lease(body);
        if (seen > seen_) {
            seen_ = seen;
            note("seen " + std::to_string(seen));
            std::erase_if(ended_, [&](const auto& ended) { return ended.number <= seen; });
        }
        const auto wait = std::min(number_at(body, "waitMs"), longest_wait);
        changed_.wait_for(lock, milliseconds{wait}, [&] { return !ended_.empty(); });
        const auto now = monotonic_now();
        json::array running;
        for (const auto& [task, state] : running_) {
            const auto percent = std::min<std::int64_t>(
                99, 100 * (now - state.began) / std::max(state.work, milliseconds{1}));
            running.push_back(json::array{task, state.run, "", percent, state.cpu});
        }
        json::array ended;
        for (const auto& each : ended_) {
            if (ended.size() == ends_listed)
                break;
            ended.push_back(json::array{each.number, each.task, each.run, each.how, ""});
        }
        http_message response;
        response.status = 200;
        response.body = json::serialize(json::object{{"clockMs", clock_at(now)},
                                                     {"born", born_unix_ms_},
                                                     {"running", std::move(running)},
                                                     {"endedRuns", std::move(ended)}});
        return response;
    }

    void end(const std::string& task, const std::string& how, time_point at)
    {
        const auto there = running_.find(task);
        const auto run = there->second.run;
        used_cpu_ -= there->second.cpu;
        used_memory_ -= there->second.memory;
        highest_run_[task] = std::max(highest_run_[task], run);
        running_.erase(there);
        ended_.push_back({++last_end_, task, run, how});
        note("end " + task + " " + std::to_string(run) + " " + how + " " +
                 std::to_string(last_end_),
             at);
        changed_.notify_all();
    }

    /** Ends what has ended by now, each at its time also if this process did not run then. */
    void advance()
    {
        if (still_)
            return;
        const auto now = monotonic_now();
        const auto lapses_at = time_of(lease_until_);
        std::vector<std::string> tasks;
        for (const auto& [task, state] : running_)
            tasks.push_back(task);
        for (const auto& task : tasks) {
            const auto& state = running_.at(task);
            const auto done_at = state.began + state.work;
            const auto first = std::min({done_at, state.stops_at, lapses_at});
            if (first > now)
                continue;
            const auto* how = first == done_at ? "done" : first == lapses_at ? "lapsed" : "stopped";
            end(task, how, first);
        }
        if (lease_until_ == 0 || now < lapses_at || lapse_noted_ == lease_until_)
            return;
        lapse_noted_ = lease_until_;
        note("lapse", lapses_at);
    }

    void advance_for_ever()
    {
        while (true) {
            std::this_thread::sleep_for(milliseconds{5});
            const std::scoped_lock lock{mutex_};
            advance();
        }
    }

    [[nodiscard]] std::string announcement(int sequence) const
    {
        return json::serialize(
            json::object{{"service", FLAGS_service},
                         {"address", FLAGS_address},
                         {"zone", FLAGS_domain},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"coldRemainingMs", 0},
                         {"capacity", {{"cpu", FLAGS_cpu}, {"memMb", FLAGS_memory}, {"gpu", 0}}},
                         {"labels", {"a", FLAGS_domain + "-r1"}},
                         {"clockMs", clock_at(monotonic_now())},
                         {"born", born_unix_ms_},
                         {"sequence", sequence}});
    }

    void announce_for_ever()
    {
        auto next = std::hash<std::string>{}(FLAGS_id);
        for (int sequence = 1;; ++sequence) {
            await_heal();
            for (std::size_t attempt = 0; attempt < controls_.size(); ++attempt, ++next) {
                if (still_)
                    return;
                const auto& control = controls_[next % controls_.size()];
                const auto request = request_text("PUT", "/-/instances/" + FLAGS_id, control.text(),
                                                  "Connection: close\r\n", announcement(sequence));
                if (call_once(control, request, std::chrono::seconds{1}).status == 200)
                    break;
            }
            std::this_thread::sleep_for(milliseconds{FLAGS_announcement_ms});
        }
    }

    const time_point born_{monotonic_now()};
    const std::int64_t born_unix_ms_{std::chrono::duration_cast<milliseconds>(
                                         std::chrono::system_clock::now().time_since_epoch())
                                         .count()};
    int journal_;
    std::vector<socket_address> controls_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, running_task> running_;
    std::vector<ended_run> ended_;
    std::map<std::string, std::int64_t> highest_run_;
    std::int64_t used_cpu_{0};
    std::int64_t used_memory_{0};
    std::int64_t token_{0};
    std::int64_t lease_until_{0};
    std::int64_t lapse_noted_{0};
    std::int64_t last_end_{0};
    std::int64_t seen_{0};
    std::mutex calls_mutex_;
    std::atomic<int> calls_cut_off_{0};
    std::atomic<bool> still_{false};
    std::atomic<bool> cut_;
};

} // namespace

/** Stand-in of a worker for the soak; it obeys the orders on its standard input. */
int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    worker{}.run();
}
