#include "measurements.h"

#include <algorithm>
#include <set>
#include <string>

namespace galenaturn::bench {

namespace {

using namespace schedule;
using std::chrono::milliseconds;

constexpr std::size_t workers = 50;
constexpr std::size_t workers_per_rack = 8;
constexpr std::size_t tasks = 300;
constexpr milliseconds step{100};

/** A domain whose workers execute start commands and send a heartbeat every second. */
class simulated_domain {
public:
    simulated_domain()
    {
        steward_.domain = failure_domain_id{"hall-a"};
        steward_.chart = &task_chart();
        begin_stewardship(steward_, epoch{1}, now_);
        for (std::size_t number = 0; number < workers; ++number) {
            auto& beat = beats_.emplace_back();
            beat.id = worker_id{"worker-" + std::to_string(number)};
            beat.domain = steward_.domain;
            beat.rack = rack_id{"rack-" + std::to_string(number / workers_per_rack)};
            beat.incarnation_number = incarnation{1};
            beat.capacity = {millicores{32'000}, bytes{125'000}, {}};
        }
        for (std::size_t number = 0; number < tasks; ++number) {
            wire::task_record record;
            record.id = task_id{"task-" + std::to_string(number)};
            record.demand = {millicores{4000}, bytes{4000}, {}};
            record.task_class = work_class::watcher;
            record.hold = std::chrono::hours{1};
            record.phase = wire::task_phase::assigned;
            record.domain = steward_.domain;
            record.assignment = epoch{1};
            on_task_record(steward_, record.id, &record, false, now_);
        }
        run(std::chrono::seconds{20});
    }

    void run(duration span)
    {
        for (const auto end = now_ + span; now_ < end;)
            advance();
    }

    /** Loses one rack permanently. Returns the time until all its tasks run on other racks. */
    duration lose_rack()
    {
        const auto lost_at = now_;
        lost_rack_ = rack_id{"rack-1"};
        while (count_running() < tasks && now_ < lost_at + std::chrono::minutes{2})
            advance();
        return now_ - lost_at;
    }

    /**
     * Returns the number of running tasks, and counts tasks that run on more than one live worker.
     */
    [[nodiscard]] std::size_t count_running() const
    {
        std::set<task_id> running;
        for (const auto& beat : beats_) {
            if (beat.rack == lost_rack_)
                continue;
            for (const auto& task : beat.tasks)
                duplicated_ += running.insert(task.id).second ? 0 : 1;
        }
        return running.size();
    }
    [[nodiscard]] std::size_t duplicated() const { return duplicated_; }
    [[nodiscard]] duration lease() const
    {
        return grantor_span(steward_.terms, steward_.terms.worker_lease);
    }

private:
    void advance()
    {
        now_ += step;
        ++steps_;
        on_heartbeat_acknowledged(steward_, now_);
        on_tick(steward_, now_);
        for (std::size_t number = 0; number < beats_.size(); ++number) {
            auto& beat = beats_[number];
            const auto worker = steward_.workers.find(beat.id);
            const bool due = worker == steward_.workers.end() || worker->second.response_due ||
                             (steps_ + number) % 10 == 0;
            if (beat.rack == lost_rack_ || !due)
                continue;
            beat.heartbeat = beat.heartbeat.next();
            on_announcement(steward_, beat, now_);
            for (const auto& command : make_worker_response(steward_, beat.id, now_).commands) {
                if (command.kind == wire::worker_command_kind::start)
                    beat.tasks.push_back({command.id,
                                          command.assignment,
                                          wire::worker_task_state::running,
                                          {},
                                          {},
                                          {}});
            }
        }
    }

    steward_state steward_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t steps_{0};
    std::vector<wire::worker_announcement> beats_;
    rack_id lost_rack_{"none"};
    mutable std::size_t duplicated_{0};
};

} // namespace

void measure_recovery(benchmark_report& report)
{
    simulated_domain domain;
    const auto before = domain.count_running();
    const auto recovery = domain.lose_rack();
    const double lease_seconds = std::chrono::duration<double>(domain.lease()).count();
    // Seconds for two heartbeats: the one in flight when the rack was lost, and the next one of the
    // new worker.
    constexpr double heartbeat_allowance_seconds = 2;
    report.add("rack_lost_until_all_tasks_run", std::chrono::duration<double>(recovery).count(),
               "s", at_most(lease_seconds + heartbeat_allowance_seconds));
    report.add("rack_lost_tasks_lost", static_cast<double>(before - domain.count_running()),
               "tasks", at_most(0));
    report.add("rack_lost_tasks_doubled", static_cast<double>(domain.duplicated()), "tasks",
               at_most(0));
}

} // namespace galenaturn::bench
