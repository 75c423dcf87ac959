#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** A task that wants a worker. */
struct placement_request {
    const open_job* job{nullptr};
    wire::task_ref task;
    const wire::job_step* step{nullptr};
    /** Only workers of this rack; empty for any. */
    rack_id rack;
    /** The job has waited so long that it may crowd a worker that serves nothing. */
    bool starving{false};
};

/** Returns what a run of the step takes of a worker's room. */
resources reserved_by(const wire::job_step& step);
/** Returns what a run of the step takes of what others leave unused. */
millicores filled_by(const wire::job_step& step);
/** Fills in what a run of the step takes. */
void set_demand(task_run& run, const wire::job_step& step);
/** Returns whether those who serve there keep their tails beside the step, as far as is known. */
bool has_tail_room(const job_scheduler& state, const job_worker& worker,
                   const wire::job_step& step);
/** Returns whether the worker may run the task and has room for it. */
bool may_run(const job_scheduler& state, const job_worker& worker, const placement_request& request,
             time_point now);
/**
 * Stops tasks that fill on one worker, so that the task finds room there; on the one where the
 * fewest have to go. Does nothing where no worker would do.
 */
void make_room(job_scheduler& state, const placement_request& request, time_point now);
/** Returns the worker that suits the task best, or null where none may run it now. */
job_worker* choose_worker(job_scheduler& state, const placement_request& request, time_point now);

} // namespace galenaturn::schedule
