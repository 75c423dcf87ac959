// Case 6: one core machine loses its disk, and loses it again when it is about to become a voter
// once more; the ledger never has a leader again.
#include "../standin-2/deployment.h"

#include <atomic>
#include <thread>

using namespace review;

namespace {

/** Bounds of the deployment, in milliseconds. */
constexpr std::int64_t catch_up = 4000;
constexpr std::int64_t contact = 3000;
constexpr std::int64_t recovery = 12000;
/** How long after it has been sent the log the machine is lost again. */
constexpr std::int64_t lost_after = 20;
constexpr std::int64_t down_for = 1000;

/** A few clients that hand in small jobs all the time. */
class traffic {
public:
    explicit traffic(const deployment& all)
    {
        for (int number = 1; number <= 3; ++number) {
            const auto ip = all.processes.at("entry-" + std::to_string(number)).ip;
            clients_.emplace_back([this, ip, port = all.client_port, number] {
                for (int job = 0; !stopped_; ++job) {
                    char id[17];
                    std::snprintf(id, sizeof id, "%04x%012x", number, job);
                    const auto body =
                        R"({"spec":"small","steps":[{"count":1,"cpu":100,"memMb":64}]})";
                    call(ip, port, "POST", std::string{"/jobs/"} + id, "jobs.example", body, 2000);
                    sleep_ms(40);
                }
            });
        }
    }
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;
    ~traffic()
    {
        stopped_ = true;
        for (auto& each : clients_)
            each.join();
    }

private:
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> clients_;
};

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
    all.pass(2000);
    if (!all.publish(8, deployment::configuration(8, 3), 6000))
        return could_not_run;
    const std::string job = "/jobs/00000000000000b0";
    const auto text =
        R"({"spec":"case 6","steps":[{"count":1,"cpu":100,"memMb":64,"estimatedMs":500}]})";
    if (all.client("POST", job, text, 5000).status != 200)
        return could_not_run;
    {
        const traffic load{all};
        all.pass(1000);
        auto& unlucky = all.processes.at("control-3");
        all.lose_disk(unlucky);
        all.pass(down_for);
        all.start(unlucky);
        if (has_trouble()) {
            // The file grows when the leader has added the new voter as a learner.
            const auto log = unlucky.folder + "/log-00000000000000000000";
            std::error_code error;
            const auto until = now_ms() + 5000;
            while (now_ms() < until &&
                   (!fs::exists(log, error) || fs::file_size(log, error) < 4096)) {
            }
            sleep_ms(lost_after);
            all.lose_disk(unlucky);
            all.pass(down_for);
            all.start(unlucky);
        }
        else {
            all.pass(down_for);
        }
    }
    all.pass(recovery);
    std::int64_t newest = 0;
    const auto until = now_ms() + contact + 5000;
    while (now_ms() < until) {
        for (int each = 1; each <= 3; ++each) {
            const auto& target = all.processes.at("control-" + std::to_string(each));
            if (target.down)
                continue;
            const auto read = all.read_version(target);
            all.note("GET /-/config at control-%d -> %lld", each, static_cast<long long>(read));
            newest = std::max(newest, read);
        }
        all.pass(700);
    }
    const auto shown = all.client("GET", job, "", 4000).status;
    const bool kept = newest == 8 && shown == 200;
    all.note("%s", kept ? "HELD: the configuration and the job are there"
                        : "BROKEN: acknowledged configuration 8 does not come, and the accepted "
                          "job gets no answer");
    return kept ? held : broken;
}
