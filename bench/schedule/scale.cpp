#include "measurements.h"

#include <chrono>
#include <random>
#include <string>

namespace galenaturn::bench {

namespace {

using namespace schedule;

constexpr double tasks_per_worker = 36'000.0 / 2900.0;
constexpr std::size_t measured_starts = 4000;
constexpr double starts_per_second = 2100;
constexpr double max_core_share = 0.047;
constexpr std::size_t domains = 7;

/** A steward whose workers are as loaded as at the target size. */
class loaded_domain {
public:
    explicit loaded_domain(std::size_t workers)
    {
        steward_.domain = failure_domain_id{"hall-a"};
        steward_.chart = &task_chart();
        begin_stewardship(steward_, epoch{1}, now_);
        on_heartbeat_acknowledged(steward_, now_);
        for (std::size_t number = 0; number < workers; ++number)
            beats_.push_back(make_beat(number));
        exchange_heartbeats();
        add_tasks(static_cast<std::size_t>(tasks_per_worker * static_cast<double>(workers)));
        place_all();
        exchange_heartbeats();
    }

    /** Returns the seconds spent on `starts` tasks from their assignment to their reported end. */
    double run_tasks(std::size_t starts)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto first = next_task_;
        add_tasks(starts);
        place_all();
        for (auto task = first; task < next_task_; ++task) {
            auto& entry = steward_.tasks.at(name(task));
            GN_INVARIANT(entry.state == "starting", {"state", entry.state});
        }
        for (auto& beat : beats_)
            finish_new_tasks(beat, first);
        on_reports_accepted(steward_, next_reports(steward_, starts));
        for (auto task = first; task < next_task_; ++task)
            on_task_record(steward_, name(task), nullptr, false, now_);
        return seconds_since(begin);
    }

    /** Returns the seconds spent on placing `starts` tasks. */
    double place_tasks(std::size_t starts)
    {
        const auto first = next_task_;
        add_tasks(starts);
        const auto begin = std::chrono::steady_clock::now();
        on_tick(steward_, now_);
        const auto spent = seconds_since(begin);
        for (auto& beat : beats_)
            finish_new_tasks(beat, first);
        for (auto task = first; task < next_task_; ++task)
            on_task_record(steward_, name(task), nullptr, false, now_);
        return spent;
    }

    /** Returns the seconds spent on one heartbeat of every worker and the responses. */
    double exchange_heartbeats()
    {
        now_ += std::chrono::seconds{1};
        on_heartbeat_acknowledged(steward_, now_);
        const auto begin = std::chrono::steady_clock::now();
        for (auto& beat : beats_) {
            beat.heartbeat = beat.heartbeat.next();
            on_announcement(steward_, beat, now_);
            apply_starts(beat, make_worker_response(steward_, beat.id, now_));
        }
        on_tick(steward_, now_);
        return seconds_since(begin);
    }

private:
    /** Places all waiting tasks; one pass places only a limited number. */
    void place_all()
    {
        while (!steward_.queue.empty())
            on_tick(steward_, now_);
    }

    static double seconds_since(std::chrono::steady_clock::time_point begin)
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    }

    static task_id name(std::size_t number) { return task_id{"task-" + std::to_string(number)}; }

    wire::worker_announcement make_beat(std::size_t number) const
    {
        wire::worker_announcement beat;
        beat.id = worker_id{"worker-" + std::to_string(number)};
        beat.domain = steward_.domain;
        beat.rack = rack_id{"rack-" + std::to_string(number / 11)};
        beat.incarnation_number = incarnation{1};
        beat.capacity = {millicores{64'000}, bytes{250LL << 30}, accelerator_count{1}};
        return beat;
    }

    void add_tasks(std::size_t count)
    {
        for (std::size_t added = 0; added < count; ++added) {
            wire::task_record record;
            record.id = name(next_task_++);
            record.job = job_id{"job-" + std::to_string(random_() % 50)};
            record.task_class = random_() % 9 < 5 ? work_class::watcher : work_class::batch;
            record.demand = {millicores{1000 + static_cast<int>(random_() % 3000)},
                             bytes{(1LL + static_cast<int>(random_() % 8)) << 30},
                             {}};
            record.hold = std::chrono::hours{1};
            record.phase = wire::task_phase::assigned;
            record.domain = steward_.domain;
            record.assignment = epoch{1};
            on_task_record(steward_, record.id, &record, false, now_);
        }
    }

    static void apply_starts(wire::worker_announcement& beat, const wire::worker_response& response)
    {
        for (const auto& command : response.commands) {
            if (command.kind == wire::worker_command_kind::start)
                beat.tasks.push_back({command.id,
                                      command.assignment,
                                      wire::worker_task_state::running,
                                      {},
                                      command.demand,
                                      {}});
        }
    }

    /** Starts the worker's newly granted tasks and reports them as succeeded. `first` is unused. */
    void finish_new_tasks(wire::worker_announcement& beat, std::size_t first)
    {
        auto ended = beat;
        apply_starts(ended, make_worker_response(steward_, beat.id, now_));
        for (auto task = beat.tasks.size(); task < ended.tasks.size(); ++task)
            ended.tasks[task].state = wire::worker_task_state::succeeded;
        beat.heartbeat = ended.heartbeat = beat.heartbeat.next();
        on_announcement(steward_, ended, now_);
        static_cast<void>(first);
    }

    steward_state steward_;
    time_point now_{std::chrono::hours{1}};
    std::vector<wire::worker_announcement> beats_;
    std::size_t next_task_{0};
    std::mt19937_64 random_{7};
};

} // namespace

void measure_scale(benchmark_report& report)
{
    loaded_domain small{65};
    loaded_domain large{2900};
    // Few enough to fit in the smaller domain.
    constexpr std::size_t tasks_per_batch = 400;
    double small_seconds = 0;
    double large_seconds = 0;
    std::size_t starts = 0;
    for (; starts < measured_starts; starts += tasks_per_batch) {
        small_seconds += small.place_tasks(tasks_per_batch);
        large_seconds += large.place_tasks(tasks_per_batch);
    }
    const auto placed = static_cast<double>(starts);
    report.add("placements_a_second_65_workers", placed / small_seconds, "1/s");
    report.add("placements_a_second_2900_workers", placed / large_seconds, "1/s");
    report.add("placement_cost_ratio_2900_to_65", large_seconds / small_seconds, "ratio",
               at_most(4));

    loaded_domain domain{2900 / domains};
    const double seconds_per_task = domain.run_tasks(measured_starts / 2) / (measured_starts / 2.0);
    report.add("task_life_cost", seconds_per_task * 1e6, "us");
    report.add("steward_core_share_at_2100_starts_in_7_domains",
               seconds_per_task * starts_per_second / static_cast<double>(domains), "share",
               at_most(max_core_share));
    constexpr int rounds = 5;
    double heartbeat_seconds = 0;
    for (int round = 0; round < rounds; ++round)
        heartbeat_seconds += domain.exchange_heartbeats();
    report.add("steward_core_share_of_heartbeats_414_workers", heartbeat_seconds / rounds, "share",
               at_most(max_core_share));
}

} // namespace galenaturn::bench
