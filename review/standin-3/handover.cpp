// A runner is lost for good. Later the leading control process is killed once: accepted jobs wait
// beside free runners.
#include "system.h"

using namespace rig;

namespace {

/** The machine whose process has begun the latest term, by its own log. */
machine* leader_of(deployment& site)
{
    machine* found = nullptr;
    long highest = 0;
    for (auto& each : site.machines) {
        std::ifstream in{site.folder + "/" + each.name + ".log"};
        for (std::string line; std::getline(in, line);) {
            const auto at = line.find("event=term_begun token=");
            if (at == std::string::npos || std::stol(line.substr(at + 23)) <= highest)
                continue;
            highest = std::stol(line.substr(at + 23));
            found = &each;
        }
    }
    return found;
}

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = has_trouble();
    // For comparison: the same kill of the leader, but no runner is lost.
    const bool kills_only =
        std::getenv("TROUBLE") != nullptr && std::string{std::getenv("TROUBLE")} == "kill";
    deployment site{argv[1]};
    site.tools = argc > 2 ? argv[2] : "target/review-3";
    site.note(trouble ? "with the disruption" : "without the disruption");
    if (!site.start_all(config_text(1, 3)))
        return 2;
    for (int host = 0; host < 10; ++host)
        site.start_runner("i-a" + std::to_string(host), host, "a");
    sleep_ms(3000);
    const auto entry = site.machines[3].http;
    const auto began = now_ms();
    const auto wait_until = [&](std::int64_t at) { sleep_ms(began + at - now_ms()); };
    wait_until(1000);
    if (trouble && !kills_only) {
        site.runners["i-a9"].destroy();
        site.note("runner i-a9 is lost for good");
    }
    wait_until(5000);
    // Two steps of 13 s, one after the other; they need a tenth of a runner.
    const std::string job = "/lohu930/5c0e7a21d94b36f8";
    const auto accepted = site.ask(
        entry, "POST", job,
        R"({"spec":"ms=13000","steps":[{"count":1,"cpu":3000,"memMb":1024,"estimatedMs":13000},{"count":1,"cpu":3000,"memMb":1024,"estimatedMs":13000,"after":[0]}]})");
    if (accepted.status != 200)
        return 2;
    site.note("end of the traffic; the only job takes 3 of 288 cores");
    constexpr std::int64_t finish = 5000 + 14000;
    wait_until(16500);
    if (trouble) {
        auto* leader = leader_of(site);
        if (leader == nullptr)
            return 2;
        leader->run.destroy();
        site.note("the process on " + leader->name + " is killed");
        wait_until(17000);
        site.start(*leader);
        site.note("the process on " + leader->name + " starts again");
    }
    wait_until(finish);
    const auto shown = site.ask(site.machines[4].http, "GET", job);
    // Long enough to see when the second step starts.
    wait_until(finish + 9000);
    double turn = 0;
    double start = 0;
    for (const auto& [time, row] : site.events()) {
        if (row.size() < 5 || !row[2].starts_with("5c0e7a21d94b36f8.0."))
            continue;
        if (row[2].ends_with(".0.0") && row[1] == "end" && row.back() == "done")
            turn = time;
        if (row[2].ends_with(".1.0") && row[1] == "start")
            start = time;
    }
    const auto zero = static_cast<double>(began - site.zero) / 1000;
    const auto asked = zero + static_cast<double>(finish) / 1000;
    if (turn == 0 || shown.status != 200)
        return 2;
    const bool broken = turn <= asked && (start == 0 || start > asked + 3);
    site.note("the turn of the second step came at " + std::to_string(turn) +
              ", finish_s was over at " + std::to_string(asked) +
              (start > 0 ? ", it started at " + std::to_string(start) : ", it has not started") +
              (broken ? ": LOST is broken" : ": LOST holds"));
    return broken ? 1 : 0;
}
