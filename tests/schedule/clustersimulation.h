#pragma once

#include "fakeworker.h"

#include <galenaturn/ledger.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace galenaturn::schedule {

/** Options of a randomised simulation. */
struct simulation_options {
    std::uint64_t seed{1};
    std::string charts_folder;
    std::size_t domains{3};
    std::size_t workers_per_domain{4};
    std::size_t tasks{60};
    /** Faults are injected during this time; after that all of them are removed. */
    duration fault_period{std::chrono::seconds{240}};
    /** How long after the fault period every task must have its outcome. */
    duration recovery_period{std::chrono::seconds{400}};
};

/** Counts of the events in a simulation. */
struct simulation_counts {
    std::uint64_t finished{0};
    std::uint64_t starts{0};
    std::uint64_t moves{0};
    std::uint64_t worker_crashes{0};
    std::uint64_t steward_crashes{0};
    std::uint64_t partitions{0};
    std::uint64_t leaders{0};
};

/**
 * Simulates, in virtual time, stewards, the assigner at a changing leader and fake workers over a
 * network that loses, delays and repeats messages. Checks the invariants of the scheduler after
 * every step.
 */
class cluster_simulation {
public:
    explicit cluster_simulation(const simulation_options& options);
    ~cluster_simulation();

    /**
     * Runs the simulation to its end. Fails a GN_INVARIANT if the scheduler violates an invariant.
     */
    simulation_counts run();

private:
    using action = std::function<void()>;
    /** A control process: a voter with its copy of the ledger, a steward and an assigner. */
    struct control_process {
        std::size_t number{0};
        failure_domain_id domain;
        process_id process;
        double clock_rate{1};
        bool up{true};
        incarnation incarnation_number{1};
        heartbeat_number heartbeat;
        epoch granted;
        ledger::ledger_state state;
        std::size_t applied{0};
        steward_state steward;
        assigner_state assigner;
        std::map<worker_id, std::pair<heartbeat_number, time_point>> deferred_responses;
    };
    struct worker_site {
        fake_worker worker;
        std::size_t control_index{0};
        double clock_rate{1};
        bool disconnected{false};
    };

    void schedule_at(duration when, action act);
    void every(duration interval, const action& act);
    /** Simulates a message: runs `act` after a random delay, perhaps twice or never. */
    void send(action act);
    [[nodiscard]] time_point local_time(double clock_rate) const;
    bool chance(double probability);
    duration random_span(duration shortest, duration longest);

    [[nodiscard]] bool connected(std::size_t from, std::size_t to) const;
    [[nodiscard]] bool has_quorum(std::size_t number) const;
    [[nodiscard]] control_process* leader();
    void update_leader();
    void submit(std::size_t from, const wire::command& command, const action& done);
    void commit(const wire::command& command);
    void catch_up(control_process& voter);
    void apply_change(control_process& voter, const ledger::applied_change& change);
    void follow_stewardship(control_process& voter);
    void add_tasks();

    void tick_control(control_process& control);
    void send_steward_heartbeat(control_process& control);
    void respond_to_steward(const steward_heartbeat& beat, std::size_t from, time_point sent);
    void receive_announcement(control_process& control, const wire::worker_announcement& announced);
    void respond_to_workers(control_process& control);
    void tick_worker(worker_site& site);
    void end_runs(worker_site& site);
    void send_worker_heartbeat(worker_site& site);
    void on_worker_response(worker_site& site, const wire::worker_response& reply,
                            incarnation incarnation_number);

    void start_faults();
    void crash_control();
    void crash_worker();
    void partition_domain();
    void disconnect_worker();
    void cancel_random_tasks();
    void end_faults();
    void check_invariants();
    void check_quotas() const;

    simulation_options options_;
    std::mt19937_64 random_;
    state_chart chart_;
    catalogue catalogue_;
    std::multimap<duration, action> events_;
    duration now_{};
    bool faults_enabled_{true};
    std::vector<std::unique_ptr<control_process>> controls_;
    std::vector<std::unique_ptr<worker_site>> workers_;
    std::vector<bool> domain_partitioned_;
    std::vector<wire::command> log_;
    std::optional<std::size_t> leader_;
    bool leads_{false};
    duration leader_lost_{};
    ledger::ledger_state committed_;
    std::map<task_id, duration> work_needed_;
    /** Work saved in the checkpoint that the ledger knew when it assigned the task. */
    std::map<std::pair<task_id, epoch>, duration> assigned_progress_;
    std::map<std::pair<task_id, epoch>, worker_id> started_on_;
    simulation_counts counts_;
};

} // namespace galenaturn::schedule
