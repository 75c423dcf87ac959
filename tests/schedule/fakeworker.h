#pragma once

#include <galenaturn/schedule.h>

#include <map>
#include <optional>
#include <set>

namespace galenaturn::schedule {

/** A run of a task on a fake worker. */
struct fake_run {
    epoch placement;
    job_id job;
    resources demand;
    /**
     * Work done on the task, including the work saved in the checkpoint that the run started from.
     */
    duration work_done{};
    std::optional<checkpoint_id> checkpoint;
    /** On the worker's own clock. */
    time_point lease_until;
    wire::worker_task_state state{wire::worker_task_state::running};
    /** The heartbeat that first reported the end of the run. */
    heartbeat_number outcome_reported_in;
    bool checkpoint_requested{false};
};

/** Implements the worker's side of the protocol: leases, epochs and idempotent commands. */
class fake_worker {
public:
    worker_id id;
    failure_domain_id domain;
    rack_id rack;
    resources capacity;
    incarnation worker_incarnation{1};
    bool up{true};

    /** Returns the next heartbeat. `now` is on the worker's clock. */
    wire::worker_announcement announce(time_point now);
    /** Executes the commands of a response. Returns the tasks for which it granted a lease. */
    std::vector<task_id> on_worker_response(const wire::worker_response& response, time_point now);
    /** Stops runs whose leases have expired and advances the others by `span`. */
    void advance(time_point now, duration span);
    /** Ends a run with the given state. */
    void end_run(const task_id& task, wire::worker_task_state state);
    /** Makes the run take a checkpoint at its next step. */
    void request_checkpoint(const task_id& task) { runs_.at(task).checkpoint_requested = true; }
    /** Crashes the worker: it loses all runs and state and gets the next incarnation. */
    void crash();

    [[nodiscard]] const std::map<task_id, fake_run>& runs() const { return runs_; }
    [[nodiscard]] bool runs_task(const task_id& task) const;
    /** Number of the last heartbeat sent. */
    [[nodiscard]] heartbeat_number last_heartbeat() const { return heartbeat_; }

private:
    void start(const wire::worker_command& command, time_point lease_until);
    void forget_reported(heartbeat_number acknowledged);
    void check_capacity() const;

    std::map<task_id, fake_run> runs_;
    std::map<task_id, epoch> highest_epochs_;
    std::map<heartbeat_number, time_point> heartbeat_sent_at_;
    heartbeat_number heartbeat_;
    epoch stewardship_;
};

/** Returns the work done on a task at a checkpoint of the fake workers. */
duration checkpoint_progress(const std::optional<checkpoint_id>& checkpoint);
/** Returns whether the run still uses resources of the worker. */
bool is_active(const fake_run& run);

} // namespace galenaturn::schedule
