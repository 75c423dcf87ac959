// More than 500 tasks end on one runner while no leader reads its ends. See claim.txt.

#include "../standin/deployment.h"

#include <set>

namespace {

using namespace review;

constexpr int tasks = 1500;
const std::string job = "00c0ffee00000001";

/** Returns a break of TWICE: a start after a run has ended `done`, if that end is taken note of. */
std::string find_break(const std::vector<run_event>& events)
{
    struct end_of_run {
        std::string runner;
        std::int64_t run{0};
        std::int64_t number{0};
        std::int64_t at{0};
    };
    std::map<std::string, end_of_run> done;
    std::map<std::string, std::int64_t> seen;
    for (const auto& event : events) {
        if (event.kind == "seen")
            seen[event.runner] = std::max(seen[event.runner], event.number);
    }
    int broken = 0;
    std::string first;
    for (const auto& event : events) {
        if (event.kind == "end" && event.how == "done")
            done.try_emplace(event.task,
                             end_of_run{event.runner, event.run, event.number, event.at});
        const auto ended = done.find(event.task);
        if (event.kind != "start" || ended == done.end() ||
            seen[ended->second.runner] < ended->second.number)
            continue;
        if (++broken == 1)
            first = "task " + event.task + ": run " + std::to_string(ended->second.run) +
                    " ended done on " + ended->second.runner + ", was taken note of, and run " +
                    std::to_string(event.run) + " started " +
                    std::to_string(event.at - ended->second.at) + " ms later on " + event.runner;
    }
    return broken == 0 ? std::string{} : std::to_string(broken) + " starts; " + first;
}

std::size_t count(const std::vector<run_event>& events, const std::string& kind)
{
    return static_cast<std::size_t>(std::count_if(
        events.begin(), events.end(), [&](const auto& event) { return event.kind == kind; }));
}

int play(deployment& system, const std::string& record)
{
    const queue batch{"r-batch", "renew.example", "/batch/", 0, 3, 2.0, 1000};
    if (!system.start())
        return system.finish(exit_could_not_run, "no free ports", record);
    for (int place = 0; place < 4; ++place)
        system.start_runner("i-" + std::to_string(place), place,
                            {64'000, 250'000, "r1-" + std::to_string(place)});
    if (!system.publish({batch}) || !system.wait_until_ready())
        return system.finish(exit_could_not_run, "the deployment did not become ready", record);
    system.sleep_ms(3000);
    const std::string body = R"({"spec":"work=4500-5000 cpu=40 mem=64","steps":[{"count":)" +
                             std::to_string(tasks) +
                             R"(,"cpu":40,"memMb":64,"estimatedMs":4800}]})";
    if (!system.submit(batch, job, body))
        return system.finish(exit_could_not_run, "the job was not accepted", record);
    const auto accepted = now_ms();
    while (count(system.run_events(), "start") < tasks && now_ms() - accepted < 4000)
        system.sleep_ms(50);
    const auto started = count(system.run_events(), "start");
    if (started < tasks)
        return system.finish(exit_could_not_run,
                             "only " + std::to_string(started) + " tasks were started", record);
    if (system.trouble()) {
        // The process that leads is killed shortly before the tasks end, and starts again.
        system.sleep_ms(std::max<std::int64_t>(0, accepted + 4450 - now_ms()));
        const int leader = system.leading_zone();
        if (leader < 0)
            return system.finish(exit_could_not_run, "no leader was found", record);
        system.signal_process(system.control_name(leader), SIGKILL);
        system.sleep_ms(3500);
        system.start_control(leader, false);
    }
    std::string state;
    while (state != "completed" && now_ms() - accepted < 40'000) {
        system.sleep_ms(1000);
        state = system.state_of(batch, job);
    }
    system.sleep_ms(3000);
    const auto problem = find_break(system.run_events());
    if (!problem.empty())
        return system.finish(exit_broken, "TWICE is broken: " + problem, record);
    return system.finish(exit_held, "TWICE held; the job is " + state, record);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return exit_could_not_run;
    deployment system;
    return play(system, argv[1]);
}
