#pragma once

#include <galenaturn/schedule.h>

#include <map>
#include <random>
#include <vector>

namespace galenaturn::schedule {

struct colocation_options {
    std::uint64_t seed{1};
    std::size_t workers{540};
    std::size_t serving_images{16};
    std::size_t best_effort_images{29};
    /** Share of pairs that interfere. */
    double interfering_share{0.3};
    /** Median slope of the pairs that interfere. */
    double interfering_slope{0.18};
    std::int64_t serving_cores{14};
    std::size_t serving_tasks_per_worker{2};
    /** Spread each latency-critical job over as many workers as it has tasks. */
    bool spread_serving{false};
    double best_effort_cores{3.5};
    /** If not 0, each best-effort image has this many jobs of two tasks. */
    std::size_t small_jobs_per_image{0};
    /** If not 0, one more best-effort job has a single task of this many processors; only it is
     * watched for waits. */
    double large_job_cores{0};
};

/**
 * A fleet in virtual time whose latency-critical tasks reserve most processors, while best-effort
 * tasks of many images wait to use the rest. At the start no pair of images is known. Tails are
 * measured with noise and outliers; the load of the users swings.
 */
class colocation_simulation {
public:
    explicit colocation_simulation(const colocation_options& options);

    void run_for(duration span);

    /** Drops what was learned of the images, as a new leader without a model. */
    void forget_model();
    /**
     * Returns the longest time since the last call for which nothing of a best-effort job ran that
     * is watched.
     */
    duration take_longest_wait();
    [[nodiscard]] const job_scheduler& state() const { return state_; }
    /** Returns the processor seconds of best-effort work since the last call. */
    double take_work();
    /** Returns the share of latency-critical time over its target since the last call. */
    double take_harmed_share();
    [[nodiscard]] duration elapsed() const { return now_ - start_; }

private:
    struct running_task {
        wire::task_ref task;
        std::uint32_t run{0};
        std::string image;
        double processors{0};
        double percent{100};
        time_point ends_at;
        bool serving{false};
    };
    struct fleet_worker {
        std::map<wire::task_ref, running_task> running;
        std::uint64_t last_completion{0};
        std::vector<worker_report::ended_run> unread;
        time_point report_due;
    };

    void add_jobs();
    void record_waits();
    void add_job_of(const std::string& image, std::uint32_t count, bool serving, double cores);
    void step();
    void execute_commands();
    void end_run(fleet_worker& worker, const wire::task_ref& task);
    void report(const worker_id& id, fleet_worker& worker);
    [[nodiscard]] double tail_ms(const fleet_worker& worker, const running_task& task) const;
    [[nodiscard]] double slope_of(const std::string& serving, const std::string& best_effort) const;
    double gaussian(double deviation) { return std::normal_distribution<>{0, deviation}(random_); }

    colocation_options options_;
    std::mt19937_64 random_;
    job_scheduler state_;
    time_point start_{std::chrono::hours{1}};
    time_point now_{start_};
    std::map<worker_id, fleet_worker> workers_;
    std::map<std::pair<std::string, std::string>, double> slopes_;
    std::map<submission_id, double> phases_;
    std::size_t last_job_{0};
    double work_{0};
    double serving_seconds_{0};
    double harmed_seconds_{0};
    /** When something of each watched best-effort job last ran. */
    std::map<submission_id, time_point> last_run_at_;
    duration longest_wait_{};
};

} // namespace galenaturn::schedule
