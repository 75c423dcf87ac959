#pragma once

#include "jobplacement.h"

namespace galenaturn::schedule {

/** A task that crashes its worker does so within this time after its start. */
inline constexpr duration crash_window = std::chrono::seconds{1};

/** Returns whether the task may have crashed a worker and has not been cleared since. */
bool is_suspect(const open_task& task);
/**
 * Returns whether the worker is free for the task with regard to crashes: a suspect starts where
 * nothing else started within the crash window, and nothing else starts there until it is over, so
 * that a crash shows its cause. Tasks of one job are not told apart.
 */
bool allows_start(const job_worker& worker, const placement_request& request, time_point now);
/** Returns whether a worker is isolated for suspects of the job. */
bool has_isolated_worker(const job_scheduler& state, const submission_id& job, time_point now);
/** Returns whether another worker may be risked for a suspect. */
bool may_risk_worker(const job_scheduler& state, time_point now);
/** Returns when a task of another job was last started or planned on the worker. */
time_point last_start_of_others(const recent_starts& starts, const submission_id& job);
/** Records a start on the worker. */
void record_start(recent_starts& starts, const submission_id& job, time_point now);
/** Keeps other jobs from starting on the worker within the crash window. */
void isolate(job_worker& worker, const submission_id& job, time_point now);
/**
 * Keeps other jobs from starting on the worker, so that a suspect can start there once their last
 * starts have survived the crash window.
 */
void reserve_for_suspect(job_worker& worker, const submission_id& job, time_point now);
/** Records that the worker has responded. */
void record_alive(job_worker& worker, time_point now);
/** Clears a suspect that the worker, which has responded, outlived. */
void clear_if_survived(const job_worker& worker, open_task& task);
/**
 * Returns the runs of a worker that is gone, with the likelihood that each was the cause. Runs that
 * were commanded after contact was lost are left out.
 */
std::vector<wire::record_crash::item> crash_items(job_scheduler& state, const job_worker& worker);

} // namespace galenaturn::schedule
