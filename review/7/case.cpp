// Case 7: a control process that is killed once while it starts on an empty disk never starts
// again.
#include "../standin-2/deployment.h"

using namespace review;

namespace {

/** Bounds of the deployment, in milliseconds. */
constexpr std::int64_t catch_up = 4000;
constexpr std::int64_t contact = 3000;
constexpr std::int64_t recovery = 12000;

} // namespace

int main(int, char** arguments)
{
    deployment all{arguments[1]};
    for (int number = 1; number <= 3; ++number) {
        all.start(all.add_control(number));
        all.start(all.add_entry(number));
    }
    if (!all.publish(3, deployment::configuration(3, 2), 15000))
        return could_not_run;
    const std::string job = "/jobs/00000000000000a6";
    if (all.client(
               "POST", job,
               R"({"spec":"case 7","steps":[{"count":1,"cpu":100,"memMb":64,"estimatedMs":500}]})",
               5000)
            .status != 200)
        return could_not_run;

    auto& replaced = all.processes.at("control-3");
    all.lose_disk(replaced);
    all.pass(1000);
    all.start(replaced);
    if (has_trouble()) {
        // The machine is killed a few milliseconds after its start, and is back half a second
        // later. Where the disk is so fast that the kill comes too late, this is repeated.
        bool early = false;
        for (int attempt = 1; attempt <= 20 && !early; ++attempt) {
            if (attempt > 1) {
                fs::remove_all(replaced.folder);
                all.start(replaced);
            }
            const auto until = now_ms() + 3000;
            const auto log = replaced.folder + "/log-00000000000000000000";
            while (access(log.c_str(), F_OK) != 0 && now_ms() < until) {
            }
            all.kill(replaced);
            early = has_file(replaced.folder, "log-") && !has_file(replaced.folder, "identity");
            all.note("killed while it started; identity %s", early ? "not written yet" : "written");
        }
        if (!early)
            return could_not_run;
        all.pass(500);
        all.start(replaced);
    }
    // The machine counts as lost for catchUpS after it is back.
    all.pass(catch_up + contact + 1000);
    if (!all.publish(8, deployment::configuration(8, 3), 6000))
        return could_not_run;

    // The final fault: one machine loses its disk right after a configuration was acknowledged.
    auto& lost = all.processes.at("control-2");
    all.lose_disk(lost);
    all.pass(1000);
    all.start(lost);
    all.pass(recovery);
    std::int64_t newest = 0;
    const auto until = now_ms() + contact + 5000;
    while (now_ms() < until) {
        for (int number = 1; number <= 3; ++number) {
            const auto version =
                all.read_version(all.processes.at("control-" + std::to_string(number)));
            all.note("GET /-/config at control-%d -> %lld", number,
                     static_cast<long long>(version));
            newest = std::max(newest, version);
        }
        all.pass(700);
    }
    const auto shown = all.client("GET", job, "", 4000).status;
    all.note("control-3 ended by itself %d times, last with status %d", replaced.own_ends,
             replaced.last_exit);
    const bool kept = newest == 8 && shown == 200;
    all.note("%s", kept ? "HELD: the configuration and the job are there"
                        : "BROKEN: acknowledged configuration 8 does not come, and the accepted "
                          "job gets no answer");
    return kept && replaced.own_ends < 3 ? held : broken;
}
