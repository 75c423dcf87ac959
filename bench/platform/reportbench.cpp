#include "benchmarkreport.h"
#include "platform/workercodec.h"
#include "processortime.h"
#include "tests/platform/samplereplies.h"

#include <galenaturn/schedule.h>

#include <cstdlib>
#include <string>
#include <tuple>

namespace galenaturn::platform {

namespace {

using namespace schedule;

constexpr std::size_t job_count = 700;
constexpr std::size_t listed_tasks = 40;
constexpr std::size_t serving_tasks = 5;
constexpr std::size_t best_effort_tasks = 20;

submission_id job_name(std::size_t number)
{
    const auto digits = std::to_string(number * 7919);
    return submission_id{std::string(16 - digits.size(), '0') + digits};
}

wire::job_step make_step(std::size_t number)
{
    wire::job_step step;
    step.count = 4;
    step.demand.processors = millicores{200};
    step.demand.memory = bytes{1 << 20};
    step.image = "image-" + std::to_string(number % 12);
    if (number < serving_tasks) {
        step.long_running = true;
        step.tail_target = std::chrono::milliseconds{400};
    }
    else if (number < serving_tasks + best_effort_tasks) {
        step.best_effort = true;
        step.demand.processors = millicores{50};
    }
    return step;
}

worker_id bench_worker()
{
    return worker_id{"i-64fce3ef1f"};
}

wire::worker_presence make_announcement()
{
    wire::worker_presence presence;
    presence.worker.id = bench_worker();
    presence.worker.service = service_id{"renewdesk"};
    presence.worker.address = {"10.1.64.104", 8462};
    presence.worker.capacity.processors = millicores{64'000};
    presence.worker.capacity.memory = bytes{1LL << 38};
    presence.worker.labels = {"large", "rack-12", "hall-a"};
    return presence;
}

/** A leader with open jobs and one worker, which lists one task of each of the first jobs. */
class loaded_leader {
public:
    loaded_leader()
    {
        on_worker_announcement(state_, make_announcement());
        admit_worker(state_, bench_worker());
        for (std::size_t number = 0; number < job_count; ++number)
            add_job(state_, make_record(number), now_);
    }

    void read(const worker_report& report)
    {
        now_ += std::chrono::seconds{1};
        const auto items = on_worker_report(state_, bench_worker(), report, now_, now_);
        if (!items.empty() || state_.workers.at(bench_worker()).runs.size() != listed_tasks)
            std::abort();
    }

    void announce(const wire::worker_presence& presence)
    {
        on_worker_announcement(state_, presence);
    }

private:
    static wire::job_record make_record(std::size_t number)
    {
        wire::job_record record;
        record.id = job_name(number);
        record.queue.service = service_id{"renewdesk"};
        record.spec.steps = {make_step(number)};
        record.tasks.resize(record.spec.steps.front().count);
        return record;
    }

    job_scheduler state_;
    time_point now_{std::chrono::hours{1}};
};

std::string make_poll_reply()
{
    std::string rows;
    for (std::size_t number = 0; number < listed_tasks; ++number) {
        rows += number == 0 ? "[\"" : ",[\"";
        rows += job_name(number).value() + ".0.0.1\",1,\"\",40,120]";
    }
    return poll_reply_with(rows);
}

/** Returns the microseconds of processor time of one call. */
template <class Call>
double microseconds_per_call(const Call& call)
{
    constexpr int calls = 5000;
    call();
    const auto began = bench::processor_seconds();
    for (int number = 0; number < calls; ++number)
        call();
    return (bench::processor_seconds() - began) * 1e6 / calls;
}

} // namespace

} // namespace galenaturn::platform

/** Cost to the leader of a worker that has nothing new to say. */
int main()
{
    using namespace galenaturn;
    bench::benchmark_report report;
    const auto body = platform::make_poll_reply();
    const auto read_body = [&] { return platform::read_poll_reply(body).report; };
    report.add("poll_reply_40_tasks_decoded",
               platform::microseconds_per_call([&] { std::ignore = read_body(); }), "us");
    platform::loaded_leader leader;
    const auto decoded = read_body();
    report.add("report_40_tasks_applied",
               platform::microseconds_per_call([&] { leader.read(decoded->report); }), "us");
    const auto presence = platform::make_announcement();
    report.add("announcement_applied",
               platform::microseconds_per_call([&] { leader.announce(presence); }), "us");
    return report.exit_code();
}
