#pragma once

#include <galenaturn/schedule.h>

#include <random>
#include <string>
#include <vector>

namespace galenaturn::bench {

/** How tasks are placed and how latencies are reacted to. */
enum class policy {
    /** No batch work runs beside the services. */
    services_alone,
    /** Baseline policies, which do not react to latencies. */
    first_fit,
    best_fit,
    /** The scheduler without one of its parts. */
    without_learning,
    without_hysteresis,
    full_scheduler
};

/** Options of a simulated cluster. */
struct nightly_options {
    std::string name;
    std::size_t workers{50};
    std::size_t workers_per_rack{8};
    std::int64_t processor_millicores{32'000};
    std::size_t batch_tasks{600};
};

/** Results of a simulated night. */
struct nightly_result {
    double service_p99{0};
    std::size_t deadline_misses{0};
    std::uint64_t evictions{0};
    double utilisation{0};
};

/**
 * Simulates services beside batch work in virtual time. The scheduler knows neither which pairs
 * interfere nor what tasks really use; it receives latencies and resource use ten seconds late.
 */
class nightly_run {
public:
    nightly_run(const nightly_options& options, policy chosen);
    nightly_result run();

private:
    /** What a task really uses; the scheduler does not know it. */
    struct real_task {
        job_id job;
        bool service{false};
        double processors{0};
        double remaining_work_seconds{0};
        duration deadline{};
    };
    struct simulated_worker {
        wire::worker_announcement beat;
        /** Limits of the throttled tasks, in thousandths of a processor. */
        std::map<task_id, double> limits;
        std::vector<double> latencies;
    };

    void add_services();
    void add_batch();
    void add_task(const task_id& id, const real_task& real, double declared, duration deadline);
    void place_by_baseline();
    void step();
    double advance_worker(simulated_worker& worker);
    void exchange_heartbeat(simulated_worker& worker);
    [[nodiscard]] double load() const;
    [[nodiscard]] double true_effect(const job_id& service, const job_id& batch) const;

    nightly_options options_;
    policy policy_;
    std::mt19937_64 random_{11};
    schedule::steward_state steward_;
    time_point now_{std::chrono::hours{1}};
    duration elapsed_{};
    std::vector<simulated_worker> workers_;
    std::map<task_id, real_task> real_tasks_;
    std::vector<std::pair<duration, wire::task_record>> arrivals_;
    std::map<std::pair<job_id, job_id>, double> effects_;
    std::vector<double> samples_;
    nightly_result result_;
    double utilisation_sum_{0};
    std::size_t steps_{0};
};

} // namespace galenaturn::bench
