#pragma once

#include "jobscheduler.h"

namespace galenaturn::schedule {

/** Returns the time after which a lease has expired for certain, also by a slow clock. */
constexpr duration certain_expiry(duration lease)
{
    // Workers' clocks may run 2% slow; the rest covers the delivery of the command and the error of
    // the clock estimate.
    return lease * 104 / 100 + std::chrono::milliseconds{250};
}

/** Calls `visit(ref, task)` for every task of the job. */
template <class Visit>
void for_each_task(open_job& job, const Visit& visit)
{
    std::size_t position = 0;
    for (std::uint32_t occurrence = 0; occurrence < wire::occurrences_of(job.spec); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < job.spec.steps[step].count; ++index)
                visit(wire::task_ref{job.id, occurrence, step, index}, job.tasks[position++]);
        }
    }
}

/** Returns the job of a task, or null. */
open_job* find_job(job_scheduler& state, const submission_id& job);
/** Returns the task, or null where no open job has it. */
open_task* find_task(job_scheduler& state, const wire::task_ref& ref);
/** Returns this run of the task, or null where the task has another one or none. */
const task_run* find_run(const job_scheduler& state, const wire::task_ref& ref,
                         std::uint32_t number, const worker_id& worker);
/** Returns whether the run is to end, so that its capacity is being freed. */
bool is_being_stopped(run_phase phase);
/** Returns whether the start is planned or in flight. */
bool is_unconfirmed(run_phase phase);
/** Returns whether the task needs a run, regardless of the steps on which it depends. */
bool needs_run(const open_task& task);
/** Returns the processors that a run counts as using beyond what is reserved. */
millicores claimed_processors(const task_run& run);
/** Raises what the run claims on its worker to this share of its demand, in percent. */
void raise_claim(const job_scheduler& state, job_worker& worker, task_run& run,
                 std::uint32_t percent);
/** Records a run and reserves its capacity. */
void begin_run(job_scheduler& state, const wire::task_ref& ref, open_task& task, task_run run);
/** Frees the capacity of a run that has certainly ended, or never began. */
void clear_run(job_scheduler& state, const wire::task_ref& ref, open_task& task);
/** Updates the tail forecasts of the images on the worker. */
void update_tail_forecasts(const job_scheduler& state, job_worker& worker);
/** Requests that the run of a task be stopped. A planned run is withdrawn. */
void stop_run(job_scheduler& state, const wire::task_ref& ref, open_task& task, stop_cause cause,
              time_point now);
/** Sets the phase of a run and when it began. */
void set_phase(task_run& run, run_phase phase, time_point now);
/** Records that a run of the job has begun on a worker. */
void mark_begun(job_scheduler& state, const submission_id& job, time_point now);
/** Records that the worker has started the run. */
void confirm_run(job_scheduler& state, const wire::task_ref& ref, task_run& run, time_point now);
/** Forgets the starts of departed workers that can no longer be carried out. */
void forget_departed_starts(job_scheduler& state, time_point now);
/** Records that the start has begun, has ended or can no longer be carried out. */
void settle_doubtful_start(job_scheduler& state, job_worker& worker, const wire::task_ref& ref,
                           std::uint32_t run);
/** Forgets the job if it has ended and has no runs left. */
void forget_if_ended(job_scheduler& state, const submission_id& job);

} // namespace galenaturn::schedule
