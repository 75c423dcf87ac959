// Stand-in of a runner, as PROTOCOL.md describes it: runs tasks under a lease, reports itself,
// drains on SIGTERM. The text of a job says what its tasks do: "ms=N" (they run for N ms), "lasts"
// (until they are stopped), "fails" (they end as failed after 50 ms).
#include "net.h"

#include <boost/json/src.hpp>

#include <condition_variable>
#include <csignal>
#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace json = boost::json;
using namespace rig;

namespace {

struct options {
    std::string id, zone, rack, kind, service, record_path;
    address listen;
    std::vector<address> controls;
    std::int64_t cpu{32000}, mem_mb{128000}, max_hold{10000}, beat{1500}, drain{2000}, zero{0};
    /** How long it waits for the acknowledgement of its departure before it ends anyway. */
    std::int64_t leave_wait{4000};
};

struct running {
    std::int64_t run{0};
    std::int64_t began{0};
    std::string text;
    std::int64_t span{-1};
    std::int64_t stop_at{-1};
    std::int64_t percent{100};
};

struct ended {
    std::int64_t number{0};
    std::string task;
    std::int64_t run{0};
    std::string how;
};

options self;
record rec;
std::mutex guard;
std::condition_variable changed;
std::map<std::string, running> tasks;
std::map<std::string, std::int64_t> highest;
std::deque<ended> ends;
std::int64_t last_number = 0, fence = 0, lease = 0;
const std::int64_t born = now_ms();
std::atomic<bool> leaving{false};

std::int64_t clock_ms()
{
    return 1000 + now_ms() - born;
}

void end_task(const std::string& name, const char* how)
{
    const auto found = tasks.find(name);
    rec.line(self.id, "end " + name + " run " + std::to_string(found->second.run) + " " + how);
    ends.push_back({++last_number, name, found->second.run, how});
    highest[name] = std::max(highest[name], found->second.run);
    tasks.erase(found);
    changed.notify_all();
}

void tick()
{
    const std::lock_guard lock{guard};
    const auto now = clock_ms();
    std::vector<std::pair<std::string, const char*>> over;
    for (const auto& [name, task] : tasks) {
        if (now >= lease)
            over.emplace_back(name, "lapsed");
        else if (task.stop_at >= 0 && now >= task.stop_at)
            over.emplace_back(name, "stopped");
        else if (task.span >= 0 && now - task.began >= task.span)
            over.emplace_back(name, task.text == "fails" ? "failed" : "done");
    }
    for (const auto& [name, how] : over)
        end_task(name, how);
}

void extend(const json::object& body)
{
    if (const auto* until = body.if_contains("deadlineMs"))
        lease =
            std::max(lease, std::min(until->to_number<std::int64_t>(), clock_ms() + self.max_hold));
}

std::string with_clock(json::object body)
{
    body["clockMs"] = clock_ms();
    return json::serialize(body);
}

answer refuse(const char* reason)
{
    return {409, with_clock({{"reason", reason}})};
}

std::int64_t number(const json::object& body, const char* key)
{
    const auto* value = body.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

answer start(const json::object& body)
{
    const std::string name{body.at("task").as_string()};
    const auto run = number(body, "run");
    extend(body);
    const auto there = tasks.find(name);
    if (there != tasks.end() && there->second.run == run)
        return {200, with_clock({})};
    if (there != tasks.end() || run <= highest[name])
        return refuse("old");
    if (clock_ms() >= lease)
        return refuse("late");
    running task;
    task.run = run;
    task.began = clock_ms();
    task.text = std::string{body.at("spec").as_string()};
    if (task.text.starts_with("ms="))
        task.span = std::stoll(task.text.substr(3));
    if (task.text == "fails")
        task.span = 50;
    tasks[name] = task;
    rec.line(self.id,
             "start " + name + " run " + std::to_string(run) + " fence " + std::to_string(fence));
    return {200, with_clock({})};
}

answer stop(const json::object& body)
{
    const std::string name{body.at("task").as_string()};
    const auto run = number(body, "run");
    highest[name] = std::max(highest[name], run);
    const auto there = tasks.find(name);
    if (there != tasks.end() && there->second.run == run && there->second.stop_at < 0)
        there->second.stop_at = clock_ms() + 20;
    return {200, with_clock({})};
}

answer hold(const json::object& body, std::unique_lock<std::mutex>& lock)
{
    const auto seen = number(body, "lastSeen");
    while (!ends.empty() && ends.front().number <= seen) {
        rec.line(self.id,
                 "noted " + ends.front().task + " run " + std::to_string(ends.front().run));
        ends.pop_front();
    }
    extend(body);
    const auto wait = number(body, "waitMs");
    if (wait > 0 && ends.empty())
        changed.wait_for(lock, std::chrono::milliseconds{wait}, [] { return !ends.empty(); });
    json::array list, over;
    for (const auto& [name, task] : tasks)
        list.push_back(json::array{name, task.run, "", task.percent, 1000});
    for (const auto& end : ends) {
        if (over.size() < 500)
            over.push_back(json::array{end.number, end.task, end.run, end.how, ""});
    }
    return {200, with_clock({{"running", list}, {"endedRuns", over}})};
}

answer handle(const message& got)
{
    if (got.start_line.starts_with("GET "))
        return {200, "{}"};
    const auto target = got.header("galenaturn-target-instance");
    if (!target.empty() && target != self.id)
        return {421, with_clock({})};
    const auto value = json::parse(got.body);
    const auto& body = value.as_object();
    std::unique_lock lock{guard};
    if (number(body, "fencingToken") < fence)
        return refuse("fence");
    fence = number(body, "fencingToken");
    if (got.start_line.find("/-/run-start ") != std::string::npos)
        return start(body);
    if (got.start_line.find("/-/run-stop ") != std::string::npos)
        return stop(body);
    if (got.start_line.find("/-/hold ") != std::string::npos)
        return hold(body, lock);
    return {200, with_clock({})};
}

void serve(int fd)
{
    std::string rest;
    message got;
    while (read_message(fd, rest, got, now_ms() + 60000)) {
        const auto out = handle(got);
        if (!write_all(fd, "HTTP/1.1 " + std::to_string(out.status) +
                               " X\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(out.body.size()) + "\r\n\r\n" + out.body))
            break;
    }
    close(fd);
}

std::int64_t sequence = 0;

/** Reports to one node after the other until one acknowledges it. */
bool report(const char* state)
{
    const json::object body{
        {"service", self.service},
        {"address", self.listen.text()},
        {"zone", self.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", state},
        {"coldRemainingMs", 0},
        {"labels", json::array{self.kind, self.rack}},
        {"capacity", json::object{{"cpu", self.cpu}, {"memMb", self.mem_mb}, {"gpu", 0}}},
        {"clockMs", clock_ms()},
        {"sequence", ++sequence}};
    for (const auto& control : self.controls) {
        const auto got =
            call(control, "PUT", "/-/instances/" + self.id, "", json::serialize(body), 1000);
        if (got.status >= 200 && got.status < 300)
            return true;
    }
    return false;
}

/** Drains, sends DELETE and ends. Without an acknowledgement it ends anyway, some seconds later. */
[[noreturn]] void leave()
{
    rec.line(self.id, "draining");
    const auto began = now_ms();
    while (!report("draining") && now_ms() - began < 6000)
        sleep_ms(200);
    rec.line(self.id, "draining acknowledged");
    const auto acknowledged = now_ms();
    while (now_ms() - acknowledged < self.drain + 500) {
        sleep_ms(500);
        report("draining");
    }
    const auto asked = now_ms();
    bool known = false;
    rec.line(self.id, "sends DELETE");
    for (std::size_t turn = 0; !known && now_ms() - asked < self.leave_wait; ++turn) {
        const auto got = call(self.controls[turn % self.controls.size()], "DELETE",
                              "/-/instances/" + self.id, "", "", 1000);
        known = got.status >= 200 && got.status < 300;
    }
    const std::lock_guard lock{guard};
    rec.line(self.id, known ? "DELETE acknowledged, ends" : "no acknowledgement, ends anyway");
    for (const auto& [name, task] : tasks)
        rec.line(self.id, "end " + name + " run " + std::to_string(task.run) + " with its runner");
    _exit(0);
}

options read_options(int argc, char** argv)
{
    options out;
    for (int index = 1; index + 1 < argc; index += 2) {
        const std::string key{argv[index]}, value{argv[index + 1]};
        if (key == "--id")
            out.id = value;
        if (key == "--zone")
            out.zone = value;
        if (key == "--rack")
            out.rack = value;
        if (key == "--kind")
            out.kind = value;
        if (key == "--service")
            out.service = value;
        if (key == "--record")
            out.record_path = value;
        if (key == "--zero")
            out.zero = std::stoll(value);
        if (key == "--cpu")
            out.cpu = std::stoll(value);
        if (key == "--leave_wait")
            out.leave_wait = std::stoll(value);
        if (key == "--listen")
            out.listen = parse_address(value);
        if (key == "--control")
            out.controls.push_back(parse_address(value));
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    self = read_options(argc, argv);
    rec.open(self.record_path, self.zero);
    std::signal(SIGTERM, [](int) { leaving = true; });
    const int listener = listen_on(self.listen);
    if (listener < 0)
        return 2;
    rec.line(self.id, "up at " + self.listen.text());
    std::thread{[listener] {
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread{serve, fd}.detach();
        }
    }}.detach();
    std::thread{[] {
        while (true) {
            tick();
            sleep_ms(5);
        }
    }}.detach();
    auto next = now_ms();
    while (true) {
        if (leaving)
            leave();
        if (now_ms() >= next) {
            next = now_ms() + (report("ready") ? self.beat : 200);
        }
        sleep_ms(10);
    }
}
