// Case 10: a core machine is replaced as planned; its successor loses its disk just before it
// becomes a voter, and the ledger never has a leader again.
#include "../standin-2/deployment.h"

#include <atomic>
#include <thread>

using namespace review;

namespace {

/** Bounds of the deployment, in milliseconds. */
constexpr std::int64_t catch_up = 4000;
constexpr std::int64_t contact = 3000;
constexpr std::int64_t recovery = 12000;
/** How long after the end of the old machine its successor is lost. */
constexpr std::int64_t lost_after = 1400;
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

/** Returns whether the process is the leader; its planned end would be a change of leader too. */
bool leads(const process& target)
{
    const auto command =
        "grep event=ledger_role " + target.log + " | tail -n 1 | grep -q role=leader";
    return std::system(command.c_str()) == 0;
}

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
    // Planned work: a core machine that does not lead is replaced, the new one first.
    int number = 3;
    while (number > 1 && leads(all.processes.at("control-" + std::to_string(number))))
        --number;
    auto& old = all.processes.at("control-" + std::to_string(number));
    auto& successor = all.add_control(4);
    all.write_settings(successor, false);
    all.start(successor);
    all.note("control-4 starts, with an empty disk and bootstrap false");
    all.pass(catch_up + contact + 1000);
    if (!all.publish(8, deployment::configuration(8, 3), 6000))
        return could_not_run;
    const std::string job = "/jobs/00000000000000a8";
    const auto text =
        R"({"spec":"case 10","steps":[{"count":1,"cpu":100,"memMb":64,"estimatedMs":500}]})";
    if (all.client("POST", job, text, 5000).status != 200)
        return could_not_run;
    {
        const traffic load{all};
        all.pass(1000);
        all.note("%s gets SIGTERM; it leaves for good", old.name.c_str());
        old.down = true;
        ::kill(old.pid, SIGTERM);
        waitpid(old.pid, nullptr, 0);
        old.pid = 0;
        const auto left = now_ms();
        all.note("%s has ended", old.name.c_str());
        if (has_trouble()) {
            sleep_ms(left + lost_after - now_ms());
            all.lose_disk(successor);
            all.pass(down_for);
            all.start(successor);
        }
        else {
            all.pass(lost_after + down_for);
        }
    }
    all.pass(recovery);
    std::int64_t newest = 0;
    const auto until = now_ms() + contact + 5000;
    while (now_ms() < until) {
        for (int each = 1; each <= 4; ++each) {
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
