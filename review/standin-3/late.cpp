// An entry freezes with a caller's request in its socket. The caller leaves and cancels the job
// through another entry.
#include "system.h"

#include <set>

using namespace rig;

int main(int argc, char** argv)
{
    const bool trouble = has_trouble();
    deployment site{argv[1]};
    site.tools = argc > 2 ? argv[2] : "target/review-3";
    site.note(trouble ? "with the disruption" : "without the disruption");
    if (!site.start_all(config_text(1, 3)))
        return 2;
    for (int host = 0; host < 8; ++host)
        site.start_runner("i-a" + std::to_string(host), host, "a");
    sleep_ms(3000);
    auto& frozen = site.machines[3];
    const auto& other = site.machines[4];
    constexpr std::int64_t freeze_ms = 1700;
    const std::string job = "/lohu930/5c0e7a21d94b36f8";
    const std::string body =
        R"({"spec":"lasts","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimatedMs":1000,"longRunning":true}]})";
    const auto began = now_ms();
    if (trouble) {
        frozen.run.signal(SIGSTOP);
        site.note(frozen.name + " freezes");
    }
    site.ask(frozen.http, "POST", job, body, 1000);
    sleep_ms(began + 1000 - now_ms());
    const auto cancelled = site.ask(other.http, "DELETE", job, {}, 1000);
    const auto acknowledged = now_ms();
    if (cancelled.status != 200 && cancelled.status != 410)
        return 2;
    sleep_ms(began + freeze_ms - now_ms());
    if (trouble) {
        frozen.run.signal(SIGCONT);
        site.note(frozen.name + " wakes");
    }
    // contactMs, then cancel_ms and stopTimeoutMs without a disruption, and two seconds more.
    sleep_ms(3000 + 3000 + 200 + 2000);
    site.ask(other.http, "GET", job);
    std::set<std::string> open;
    double last_start = 0;
    for (const auto& [time, row] : site.events()) {
        if (row.size() < 5)
            continue;
        if (row[1] == "start") {
            open.insert(row[0] + " " + row[2]);
            last_start = time;
        }
        if (row[1] == "end")
            open.erase(row[0] + " " + row[2]);
    }
    const bool broken = !open.empty();
    site.note(
        "the cancelling was acknowledged at " +
        std::to_string(static_cast<double>(acknowledged - site.zero) / 1000) +
        (last_start > 0 ? ", the last start was at " + std::to_string(last_start) : ", no start") +
        (broken ? ", and the task is at work: UNASKED is broken" : ": UNASKED holds"));
    return broken ? 1 : 0;
}
