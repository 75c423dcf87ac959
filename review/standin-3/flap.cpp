// A runner goes down and up by turns while the task of a lasting job, which only this runner can
// run, is to work there.
#include "system.h"

using namespace rig;

int main(int argc, char** argv)
{
    const bool trouble = has_trouble();
    deployment site{argv[1]};
    site.tools = argc > 2 ? argv[2] : "target/review-3";
    site.note(trouble ? "with the disruption" : "without the disruption");
    if (!site.start_all(config_text(1, 3)))
        return 2;
    for (int host = 0; host < 9; ++host)
        site.start_runner("i-a" + std::to_string(host), host, "a");
    constexpr int flapping = 9;
    int life = 1;
    const auto name = [&] { return "i-b-life" + std::to_string(life); };
    site.start_runner(name(), flapping, "b");
    sleep_ms(3000);
    const auto entry = site.machines[3].http;
    const std::string job = "/lohu930/5c0e7a21d94b36f8";
    // Any runner can run the first job: it shows that the service works.
    const auto first = site.ask(
        entry, "POST", "/lohu930/00000000000000aa",
        R"({"spec":"ms=500","steps":[{"count":4,"cpu":2000,"memMb":1024,"estimatedMs":500}]})");
    const auto accepted = site.ask(
        entry, "POST", job,
        R"({"spec":"lasts","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimatedMs":1000,"longRunning":true,"requirements":"b"}]})");
    if (first.status != 200 || accepted.status != 200)
        return 2;
    const auto began = now_ms();
    constexpr std::int64_t period = 1400, lasts = 6500;
    for (std::int64_t at = 700; trouble && at < lasts; at += period) {
        sleep_ms(began + at - now_ms());
        site.runners[name()].destroy();
        site.note("runner " + name() + " is down");
        sleep_ms(began + at + period / 2 - now_ms());
        ++life;
        site.start_runner(name(), flapping, "b");
        site.note("runner " + name() + " starts at the same address");
    }
    // Calm for 15 s: the runner stays up from here on.
    sleep_ms(began + lasts + 15000 - now_ms());
    const auto state = site.ask(site.machines[4].http, "GET", job).body;
    int failed_runs = 0;
    bool at_work = false;
    for (const auto& [time, row] : site.events()) {
        const bool is_run = row.size() > 4 && row[2].starts_with("5c0e7a21d94b36f8");
        if (is_run && row[1] == "start")
            at_work = row[0] == name();
        if (is_run && row[1] == "end")
            at_work = false;
        failed_runs += is_run && row.back() == "failed" ? 1 : 0;
    }
    const bool broken = state.find("failed") != std::string::npos || !at_work;
    site.note("the job, which nobody cancelled, is shown as " + state +
              "; runs that ended as failed: " + std::to_string(failed_runs) + "; its task is " +
              (at_work ? "" : "not ") + "at work" + (broken ? ": LOST is broken" : ": LOST holds"));
    return broken ? 1 : 0;
}
