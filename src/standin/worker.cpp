#include "announcer.h"
#include "workertasks.h"

#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>

DECLARE_string(entries);
DECLARE_string(id);
DECLARE_string(failure_domain);
DECLARE_string(rack);
DECLARE_double(seconds);
DEFINE_string(processors, "32", "Processors of the worker");
DEFINE_string(memory, "125GiB", "Memory of the worker");
DEFINE_int32(accelerators, 0, "Accelerators of the worker");
DEFINE_int32(task_ms, 1000, "Duration of a task that runs at full speed");
DEFINE_int32(checkpoint_ms, 500, "Interval between checkpoints of a task");
DEFINE_string(endless_jobs, "watcher,service,runner",
              "Jobs whose names contain one of these texts run until they are stopped");
DEFINE_bool(fail_tasks, false, "Fail every task that is started");
DEFINE_string(journal, "", "File to which each start and end of a task is appended");

namespace galenaturn::standin {

namespace asio = boost::asio;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds heartbeat_interval{2200};
constexpr std::chrono::milliseconds min_heartbeat_interval{50};
constexpr std::chrono::milliseconds heartbeat_timeout{3200};
constexpr std::chrono::milliseconds advance_interval{10};
/** Age of the reported usage; the same as on the platform. */
constexpr std::chrono::milliseconds usage_age{1000};

task_behaviour behaviour_of_flags()
{
    task_behaviour behaviour;
    behaviour.run_time = std::chrono::milliseconds{FLAGS_task_ms};
    behaviour.checkpoint_interval = std::chrono::milliseconds{FLAGS_checkpoint_ms};
    behaviour.fail_all = FLAGS_fail_tasks;
    std::istringstream in{FLAGS_endless_jobs};
    std::string part;
    while (std::getline(in, part, ','))
        behaviour.long_running_jobs.push_back(part);
    return behaviour;
}

resources capacity_of_flags()
{
    const auto processors = parse_processors(FLAGS_processors);
    const auto memory = parse_bytes(FLAGS_memory);
    if (!processors || !memory)
        fail_usage("--processors takes 32 or 0.5, --memory takes 125GiB");
    return {*processors, *memory, accelerator_count{FLAGS_accelerators}};
}

/** Sends numbered heartbeats and carries out the commands in the replies. */
class worker {
public:
    worker()
        : announcer_{io_, parse_endpoints(FLAGS_entries)}, tasks_{behaviour_of_flags()}, wake_{io_},
          signals_{io_, SIGTERM, SIGINT}, end_{io_}
    {
        announcement_.id = worker_id{FLAGS_id};
        announcement_.domain = failure_domain_id{FLAGS_failure_domain};
        announcement_.rack = rack_id{FLAGS_rack};
        announcement_.incarnation_number =
            incarnation{static_cast<std::uint64_t>(wall_now().time_since_epoch().count())};
        announcement_.capacity = capacity_of_flags();
        announcement_.usage_age = usage_age;
        if (!FLAGS_journal.empty())
            journal_.open(FLAGS_journal, std::ios::app);
    }

    int run()
    {
        asio::co_spawn(io_, send_heartbeats(), asio::detached);
        asio::co_spawn(io_, advance(), asio::detached);
        asio::co_spawn(io_, wait_for_stop(), asio::detached);
        io_.run();
        return 0;
    }

private:
    /** Sends a heartbeat after each reply, when a task has ended, or after heartbeat_interval. */
    asio::awaitable<void> send_heartbeats()
    {
        while (true) {
            asio::co_spawn(io_, send_heartbeat(), asio::detached);
            wake_.expires_after(heartbeat_interval);
            co_await wake_.async_wait(use_result);
            wire::boot_timer pause{io_, min_heartbeat_interval};
            co_await pause.async_wait(use_result);
        }
    }

    asio::awaitable<void> send_heartbeat()
    {
        announcement_.heartbeat = announcement_.heartbeat.next();
        announcement_.tasks = tasks_.reports();
        const auto number = announcement_.heartbeat;
        const auto sent = monotonic_now();
        const auto body = co_await announcer_.put("/v1/workers/" + FLAGS_id,
                                                  http::to_json(announcement_), heartbeat_timeout);
        if (!body)
            co_return;
        const auto parsed = http::parse_worker_answer(body.value());
        if (!parsed.problems.empty()) {
            log_event(log_level::warning, "answer_malformed",
                      {{"problems", http::problem_text(parsed.problems)}});
            co_return;
        }
        // A lease starts when its heartbeat was sent, so a reply must belong to this heartbeat.
        if (parsed.message.heartbeat == number && parsed.message.stewardship >= stewardship_) {
            stewardship_ = parsed.message.stewardship;
            tasks_.apply(parsed.message, sent, monotonic_now());
            write_journal();
        }
        // A late reply to an earlier heartbeat does not trigger the next one.
        if (number == announcement_.heartbeat)
            wake_.cancel();
    }

    asio::awaitable<void> advance()
    {
        wire::boot_timer timer{io_};
        while (true) {
            tasks_.advance(monotonic_now());
            if (write_journal())
                wake_.cancel();
            timer.expires_after(advance_interval);
            co_await timer.async_wait(use_result);
        }
    }

    asio::awaitable<void> wait_for_stop()
    {
        if (FLAGS_seconds > 0) {
            end_.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>{FLAGS_seconds}));
            end_.async_wait([this](const boost::system::error_code& error) {
                if (!error)
                    signals_.cancel();
            });
        }
        co_await signals_.async_wait(use_result);
        tasks_.stop_all(monotonic_now(), "worker_leaving");
        write_journal();
        announcement_.leaving = true;
        co_await send_heartbeat();
        std::cout << "worker=" << FLAGS_id << " started=" << started_ << " ended=" << ended_
                  << std::endl;
        io_.stop();
    }

    /** Returns whether a task ended. */
    bool write_journal()
    {
        bool ended = false;
        for (const auto& event : tasks_.take_events()) {
            ++(event.started ? started_ : ended_);
            ended = ended || !event.started;
            if (!journal_.is_open())
                continue;
            const auto monotonic = std::chrono::duration_cast<std::chrono::milliseconds>(
                monotonic_now().time_since_epoch());
            journal_ << "task=" << event.id << " epoch=" << event.assignment
                     << " worker=" << FLAGS_id << " event=" << (event.started ? "start" : "end")
                     << " reason=" << event.reason << " monotonic_ms=" << monotonic.count()
                     << " wall_ms=" << wall_now().time_since_epoch().count() << std::endl;
        }
        return ended;
    }

    asio::io_context io_{1};
    announcer announcer_;
    worker_tasks tasks_;
    wire::boot_timer wake_;
    asio::signal_set signals_;
    wire::boot_timer end_;
    wire::worker_announcement announcement_;
    epoch stewardship_;
    std::ofstream journal_;
    std::uint64_t started_{0};
    std::uint64_t ended_{0};
};

} // namespace

int run_worker()
{
    if (FLAGS_id.empty() || FLAGS_failure_domain.empty())
        fail_usage("worker needs --id and --failure_domain");
    return worker{}.run();
}

} // namespace galenaturn::standin
