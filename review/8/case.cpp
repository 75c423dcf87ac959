// Case 8: a control process that is killed between writing a received image and rewriting its log
// starts once more, and after its next planned restart never again.
#include "../standin-2/deployment.h"

using namespace review;

namespace {

/** Bounds of the deployment, in milliseconds. */
constexpr std::int64_t catch_up = 4000;
constexpr std::int64_t contact = 3000;
constexpr std::int64_t recovery = 12000;
/** A configuration stays below maxBodyBytes. */
constexpr int idle_queues = 1200;

} // namespace

int main(int, char** arguments)
{
    deployment all{arguments[1]};
    for (int number = 1; number <= 3; ++number) {
        all.start(all.add_control(number));
        all.start(all.add_entry(number));
    }
    std::uint64_t version = 3;
    if (!all.publish(version, deployment::configuration(version, 2), 15000))
        return could_not_run;
    const std::string job = "/jobs/00000000000000a7";
    if (all.client(
               "POST", job,
               R"({"spec":"case 8","steps":[{"count":1,"cpu":100,"memMb":64,"estimatedMs":500}]})",
               5000)
            .status != 200)
        return could_not_run;
    // The configuration grows by many routes and changes often, until the log is compacted into an
    // image.
    const auto big = deployment::configuration(100, idle_queues).size();
    all.note("a configuration has %zu bytes from now on", big);
    const auto images = [&] {
        return has_file(all.processes.at("control-1").folder, "image-") &&
               has_file(all.processes.at("control-2").folder, "image-");
    };
    while (version < 300 && !images()) {
        version += 3;
        if (!all.publish(version, deployment::configuration(version, idle_queues), 6000))
            return could_not_run;
    }
    if (!images())
        return could_not_run;

    auto& replaced = all.processes.at("control-3");
    all.lose_disk(replaced);
    all.pass(1000);
    all.start(replaced);
    if (has_trouble()) {
        // It is killed while it stores the image that it has received, and is back half a second
        // later. Where the disk is so fast that the kill comes too late, this is repeated.
        bool between = false;
        for (int attempt = 1; attempt <= 8 && !between; ++attempt) {
            if (attempt > 1) {
                fs::remove_all(replaced.folder);
                all.pass(3000);
                all.start(replaced);
            }
            const auto until = now_ms() + 8000;
            while (now_ms() < until && !has_file(replaced.folder, "image-")) {
            }
            all.kill(replaced);
            between = has_file(replaced.folder, "image-") &&
                      has_file(replaced.folder, "log-00000000000000000000") &&
                      !has_file(replaced.folder, "log-00000000000000000001");
            all.note("killed when it had an image; its log %s",
                     between ? "was not rewritten yet" : "was rewritten");
        }
        if (!between)
            return could_not_run;
        all.pass(500);
        all.start(replaced);
    }
    all.pass(catch_up + contact + 1000);
    version += 3;
    if (!all.publish(version, deployment::configuration(version, 3), 6000))
        return could_not_run;
    all.pass(1000);
    all.note("control-3 ended by itself %d times so far", replaced.own_ends);

    // Planned work: the machine is stopped and started again.
    all.stop(replaced);
    all.pass(500);
    all.start(replaced);
    all.pass(catch_up + contact + 1000);
    version += 5;
    if (!all.publish(version, deployment::configuration(version, 4), 6000))
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
            const auto read =
                all.read_version(all.processes.at("control-" + std::to_string(number)));
            all.note("GET /-/config at control-%d -> %lld", number, static_cast<long long>(read));
            newest = std::max(newest, read);
        }
        all.pass(700);
    }
    const auto shown = all.client("GET", job, "", 4000).status;
    all.note("control-3 ended by itself %d times, last with status %d", replaced.own_ends,
             replaced.last_exit);
    const bool kept = newest == static_cast<std::int64_t>(version) && shown == 200;
    all.note("%s", kept ? "HELD: the configuration and the job are there"
                        : "BROKEN: the acknowledged configuration does not come, and the accepted "
                          "job gets no answer");
    return kept && replaced.own_ends < 3 ? held : broken;
}
