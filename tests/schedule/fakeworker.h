#pragma once

#include <galenaturn/schedule.h>

#include <map>
#include <optional>
#include <set>

namespace galenaturn::schedule {

/** A task on a fake worker. */
struct fake_run {
    epoch placement;
    job_id job;
    resources demand;
    /** Work done since the task began, and what it needs in all; zero needs no end. */
    duration done{};
    std::optional<checkpoint_id> checkpoint;
    /** By the worker's own clock. */
    time_point lease_until;
    wire::worker_task_state state{wire::worker_task_state::running};
    /** The heartbeat that first listed the end. */
    heartbeat_number end_listed;
    bool checkpoint_ordered{false};
};

/** Keeps to the worker's side of the protocol: leases, epochs, idempotent commands. */
class fake_worker {
public:
    worker_id id;
    failure_domain_id domain;
    rack_id rack;
    resources capacity;
    incarnation life{1};
    bool up{true};

    /** Returns the next heartbeat; `now` is on the worker's clock. */
    wire::worker_announcement announce(time_point now);
    /** Carries out an answer. Returns the tasks that it granted a lease. */
    std::vector<task_id> take_answer(const wire::worker_answer& answer, time_point now);
    /** Ends runs whose lease is over, and lets the others work for `span`. */
    void work(time_point now, duration span);
    /** Ends a run by itself. */
    void end_run(const task_id& task, wire::worker_task_state state);
    /** Lets the run take a checkpoint at its next step. */
    void order_checkpoint(const task_id& task) { runs_.at(task).checkpoint_ordered = true; }
    /** Loses every run and all memory; the next life has a higher number. */
    void crash();

    [[nodiscard]] const std::map<task_id, fake_run>& runs() const { return runs_; }
    [[nodiscard]] bool runs_task(const task_id& task) const;
    /** Number of the last heartbeat sent. */
    [[nodiscard]] heartbeat_number last_heartbeat() const { return heartbeat_; }

private:
    void start(const wire::worker_command& command, time_point lease_until);
    void forget_reported(heartbeat_number answered);
    void check_capacity() const;

    std::map<task_id, fake_run> runs_;
    std::map<task_id, epoch> highest_;
    std::map<heartbeat_number, time_point> sent_;
    heartbeat_number heartbeat_;
    epoch stewardship_;
};

/** Returns how far a task had got at a checkpoint of the fake workers. */
duration checkpoint_progress(const std::optional<checkpoint_id>& checkpoint);
/** Whether the task still uses the worker. */
bool is_active(const fake_run& run);

} // namespace galenaturn::schedule
