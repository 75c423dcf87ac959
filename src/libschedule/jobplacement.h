#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** A task to place on a worker. */
struct placement_request {
    const open_job* job{nullptr};
    wire::task_ref task;
    const wire::job_step* step{nullptr};
    /** Restricts placement to this rack; empty allows every rack. */
    rack_id rack;
    /**
     * The job has waited so long that the task may oversubscribe a worker, at full speed only one
     * without latency-critical tasks.
     */
    bool oversubscribes{false};
    /** The task may start below full speed. */
    bool slowed{false};
    /** The task may crash its worker. */
    bool suspect{false};
    /** The suspect gets no worker that isn't isolated for its job yet. */
    bool only_isolated{false};
    /** The suspect waits on the worker until the starts of others there are no longer recent. */
    bool waits_for_others{false};
};

/** Returns the resources that a run of the step reserves on its worker. */
resources reservation_of(const wire::job_step& step);
/** Returns the processors that a run of the step uses beyond what is reserved (best effort). */
millicores best_effort_demand_of(const wire::job_step& step);
/**
 * Returns the processors that are neither used by reservations nor claimed by best-effort tasks.
 */
millicores idle_processors(const job_worker& worker);
/** Sets the demands of the run from its step. */
void set_demand(task_run& run, const wire::job_step& step);
/**
 * Returns whether the worker's latency-critical tasks are expected to stay within their tail
 * targets beside a run of the step.
 */
bool keeps_tail_targets(const job_worker& worker, const wire::job_step& step);
/** Records that the worker may be able to run more tasks than before. */
void mark_changed(job_scheduler& state, job_worker& worker);
/** Records a change of each worker on which a pause has ended since the last call. */
void mark_ended_pauses(job_scheduler& state, time_point now);
/**
 * Preempts best-effort runs on one worker so that the task fits there. Chooses the worker that
 * needs the fewest preemptions; does nothing where no worker would suffice.
 */
void preempt_best_effort(job_scheduler& state, const placement_request& request, time_point now);
/** Returns the workers that accept tasks, the most recently changed first. */
placement_index placement_candidates(job_scheduler& state, time_point now);
/** Leaves out the workers that are gone or accept no more tasks. */
void validate_candidates(job_scheduler& state, placement_index& candidates, time_point now);
/** Updates the bounds of the workers that a start was taken back from. */
void restore_bounds(job_scheduler& state, placement_index& candidates, const wire::job_step& step,
                    const job_worker& worker, time_point now);
/**
 * Returns the worker with the lowest placement cost, or null where none can run the task now.
 * Failures are remembered: a request that failed before is compared only with the workers that have
 * changed since.
 */
job_worker* choose_worker(job_scheduler& state, placement_index& candidates,
                          const placement_request& request, time_point now);

/** A worker on which a best-effort run may start at a lower pace. */
struct slowed_placement {
    job_worker* worker{nullptr};
    std::uint32_t pace_percent{0};
};

/**
 * Returns the worker on which the task can run fastest although none can run it at full speed:
 * latency-critical tasks stay within their tail targets beside a slowed run, and a run uses no more
 * processors than its pace allows. Returns no worker where the pace would be too low everywhere.
 */
slowed_placement choose_worker_for_slowed_run(job_scheduler& state, placement_index& candidates,
                                              const placement_request& request, time_point now);

} // namespace galenaturn::schedule
