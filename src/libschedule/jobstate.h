#pragma once

#include "deadlinequeue.h"
#include "failedplacements.h"
#include "placementindex.h"
#include "queuesizes.h"
#include "tailmodel.h"

#include <galenaturn/messages.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::schedule {

/** Phase of a run, as far as the leader knows. */
enum class run_phase : std::uint8_t {
    /** The start command has not been sent. */
    planned,
    /** The start command has not been sent, and will be dropped. */
    withdrawn,
    /** The start command is in flight. */
    commanded,
    /** The worker has confirmed the run. */
    running,
    /** No reply: the start may still be carried out until a stop is confirmed. */
    unknown,
    /** A stop command is due or in flight. */
    stopping,
    /** The stop was confirmed; the next report of the worker contains the end. */
    stopped,
};

/** Why the leader stops a run. */
enum class stop_cause : std::uint8_t {
    none,
    /** A tail latency was over its target beside it. */
    tail,
    /** The same in a colocation trial. */
    trial,
    /** A long-running task needs the capacity. */
    preempted,
    /** The job was cancelled or has ended. */
    job_ended,
    /** The task, or its gang, has succeeded in another run. */
    task_succeeded,
    /** The worker leaves, and the task can run elsewhere. */
    worker_leaving,
    /** Another member of its gang was not started. */
    gang_incomplete,
    /** The start command got no reply and no report lists the run. */
    unconfirmed,
    /** The worker runs it, but this leader neither started nor adopted it. */
    orphan,
};

constexpr std::uint32_t full_pace_percent = 100;

/** A run of a task on a worker. Its capacity stays reserved until it has certainly ended. */
struct task_run {
    std::uint32_t number{0};
    worker_id worker;
    resources reserved;
    /** Processors that a best-effort task uses beyond what is reserved. */
    millicores best_effort_processors;
    /** Processors reserved by a latency-critical task. */
    millicores serving_processors;
    /** Processors reserved by a task that ends by itself. */
    millicores finite_processors;
    duration tail_target{};
    std::string image;
    run_phase phase{run_phase::planned};
    /** When the phase began. */
    time_point phase_since;
    /** When the start command was sent, or planned until then. */
    time_point commanded_at;
    /** When the worker first confirmed it. */
    std::optional<time_point> confirmed_at;
    /** A report of the worker has listed it. */
    bool listed{false};
    /** Its start got no reply, and outlasts the lease of its worker. */
    bool in_doubt{false};
    /** It has ended, but the end is not among those that the worker has listed so far. */
    bool end_unread{false};
    /** When a report of the worker last listed its task. */
    time_point task_listed_at;
    /** When it was decided to stop it, and the number of stops sent since. */
    time_point stop_requested_at;
    std::uint32_t stops_sent{0};
    stop_cause cause{stop_cause::none};
    /** Share of full speed that the run may use, in percent. */
    std::uint32_t pace_percent{full_pace_percent};
    /**
     * Share of `best_effort_processors` that counts as used on the worker, in percent. A run that
     * started slowed claims no more than its highest pace so far.
     */
    std::uint32_t claimed_percent{full_pace_percent};
    /** Since when the reported tail has been an outlier. */
    std::optional<time_point> outlier_since;
    /** Progress last reported by the worker, in percent, and when it last changed. */
    std::uint32_t progress_percent{0};
    time_point progressed_at;
};

/** A task that has not ended. */
struct open_task {
    bool succeeded{false};
    std::uint32_t failures{0};
    /** Numbers of the failed runs that the ledger has recorded; for a gang at its first member. */
    std::vector<std::uint32_t> failed_runs;
    /** The highest known run number that any leader assigned. */
    std::uint32_t last_run{0};
    /** The newest known checkpoint, and the run that wrote it. */
    std::string checkpoint;
    std::uint32_t checkpoint_run{0};
    std::optional<task_run> run;
    /**
     * Number of completions that are being recorded in the ledger; the task is neither started nor
     * stopped until then.
     */
    std::uint32_t recording{0};
    /** A run of it has succeeded; the ledger may not have recorded that yet. */
    bool success_read{false};
    /** Number of its runs among `job_scheduler::orphans`; it is not started until they have ended.
     */
    std::uint32_t orphans{0};
    /** A crash under it is being recorded; it is not started until then. */
    bool recording_crash{false};
    /** Workers where the task failed: the next attempt avoids them if it can. */
    std::set<worker_id> failed_on;
    /** Number of crashes in a row that it may have caused, as recorded in the ledger. */
    std::uint32_t crashes{0};
    /** The lease of a worker expired that may have crashed because of it. */
    bool lost_in_silence{false};
    /** It has run for longer since than a task takes to crash its worker. */
    bool cleared{false};
};

/**
 * Tail latency of the tasks of a job without best-effort load beside them, in milliseconds. It
 * follows the load of the users of the job, so it is about the same on all workers. Zero until it
 * is known.
 */
struct baseline_latency {
    double fast_average{0};
    /** Average over a longer span; the difference between the two gives the trend. */
    double slow_average{0};
    time_point sampled_at;
};

struct open_job {
    submission_id id;
    wire::queue_settings queue;
    wire::job_spec spec;
    time_point arrived;
    /**
     * The job meets its objective if it completes by then, and is still useful within
     * `latest_useful_completion`.
     */
    time_point target_completion;
    time_point latest_useful_completion;
    /** Estimated work of all tasks, in processor seconds. */
    double work{0};
    /** Estimated work of the tasks that have not succeeded, and their critical path. */
    double remaining_work{0};
    duration remaining_critical_path{};
    baseline_latency baseline;
    std::vector<open_task> tasks;
    /** Number of tasks that have not succeeded, by occurrence and step. */
    std::vector<std::uint32_t> remaining_tasks;
    /**
     * Taken over from an earlier leader: its tasks may be running on workers whose reports have not
     * been read.
     */
    bool inherited{false};
    /** A run has certainly begun: a worker has confirmed or listed it, or the ledger its end. */
    bool begun{false};
    /** Cancelled or ended: its runs are being stopped. */
    bool ending{false};
    /** Since when the job has had tasks that could start. */
    std::optional<time_point> waiting_since;
    /** Since when no worker could run a task of the job, none of which runs. */
    std::optional<time_point> unplaced_since;
    /** When best-effort runs were last preempted for the job. */
    time_point last_preemption;
    /** The job has tasks that run until it is cancelled. */
    bool long_running{false};
    /** Among equals, less work comes first; otherwise the size of the job does not count. */
    bool ranked_by_size{true};
    /** Its useful completion, or that none is expected, is counted in its queue_sizes. */
    bool outcome_counted{false};
};

/** Longest tail expected among the tasks of one image on a worker, in milliseconds. */
struct tail_forecast {
    double baseline{0};
    /** With the current best-effort load beside it. */
    double expected{0};
    /** Interference of best-effort images with the image; null where it was never observed. */
    const tail_estimate* estimate{nullptr};
};

/** A best-effort image runs beside latency-critical ones to learn how it interferes with them. */
struct colocation_trial {
    std::string best_effort_image;
    /** The images on the worker whose pairs with it were unknown. */
    std::vector<std::string> serving_images;
    /** Share of the worker's latency-critical tasks that was expected to exceed its target. */
    double harm{0};
};

/** All trials that are running. */
struct colocation_trials {
    std::size_t running{0};
    /** Sum of the expected harm. */
    double harm{0};
    /** By latency-critical and best-effort image. */
    std::map<std::pair<std::string, std::string>, std::uint32_t> by_pair;
};

/** Loss of contact with a worker. */
struct contact_loss {
    time_point at;
    /**
     * The worker closed its connection, so that it was alive until then. Otherwise it may have been
     * silent for some time.
     */
    bool closed{false};
};

/** The latest starts on a worker. */
struct recent_starts {
    submission_id last_job;
    time_point last_at;
    /** The latest one of another job than `last_job`. */
    time_point other_at;
};

/** A start that was sent and cleared, although it may still be carried out. */
struct doubtful_start {
    wire::task_ref task;
    std::uint32_t run{0};
    /** When it was cleared. */
    time_point since;
    /** When a stop was last sent for it. */
    std::optional<time_point> stop_sent_at;
    std::uint32_t stops_sent{0};
};

/** State of a worker, as far as this leader knows. */
struct job_worker {
    wire::worker_record record;
    /** Number of the last change after which the worker may be able to run more tasks. */
    std::uint64_t change{0};
    resources reserved;
    /** Part of `reserved` that is being freed or that preemption can free. */
    resources reclaimable;
    /** Processors used by best-effort tasks beyond what is reserved. */
    millicores best_effort_processors;
    /** The same, by image. */
    best_effort_load best_effort_by_image;
    /** Processors reserved by latency-critical tasks. */
    millicores serving_processors;
    /** Processors reserved by tasks that end by themselves. */
    millicores finite_processors;
    /**
     * Number of latency-critical tasks by image and job, and the shortest of their tail targets.
     */
    std::map<std::string, std::map<submission_id, std::uint32_t>> serving_images;
    duration tail_target{duration::max()};
    /** Forecast for each latency-critical image. */
    std::map<std::string, tail_forecast> tail_forecasts;
    std::optional<colocation_trial> trial;
    /** No trial starts here before this time. */
    time_point next_trial_at;
    /**
     * Until then no best-effort task is placed here: capacity is being freed for a long-running
     * task.
     */
    time_point best_effort_blocked_until;
    /** When a run was last stopped here to shorten a tail. */
    time_point stopped_for_tail_at;
    /** Since when a tail here has continuously been over its target. */
    std::optional<time_point> over_target_since;
    /** When the pace of a run here last changed. */
    time_point pace_changed_at;
    /** Runs on it, by task. */
    std::map<wire::task_ref, std::uint32_t> runs;
    bool leaving{false};
    /** It has announced its end. Its runs may go on until it is certainly gone. */
    bool left{false};
    /** Recorded in the ledger, so that the next leader polls it too. */
    bool admitted{false};
    /** A complete report was read in the term of this leader. */
    bool report_read{false};
    /** All its runs have certainly ended by then, unless the lease is extended. */
    time_point lease_expires_at;
    /** When the last command with a lease was sent to any life of it, and how many were then. */
    time_point lease_sent_at;
    std::uint32_t leases_sent{0};
    time_point last_reply_at;
    /** A report of it was read in the term of this leader, complete or not. */
    bool has_reported{false};
    /** No new tasks are placed there before this time. */
    time_point avoid_until;
    /** When it last responded. */
    time_point alive_at;
    /** When it stopped responding; empty while it responds. */
    std::optional<contact_loss> lost;
    recent_starts starts;
    /** Until then only suspected tasks of this job start here. */
    submission_id isolated_for;
    time_point isolated_until;
    /** Runs that were cleared when its lease expired, until it is known whether it has crashed. */
    std::vector<wire::record_crash::item> unexplained;
    /** Each has to be stopped before the worker gets a lease again. */
    std::vector<doubtful_start> doubtful_starts;
    /** The last report listed runs that are not reserved here and are being stopped. */
    bool has_orphans{false};
    /** Failed runs since the last success. */
    std::uint32_t failure_streak{0};
    /** The last completion of each report of which completions are being recorded. */
    std::set<std::uint64_t> recording;
    /** The highest completion number read, and the highest that the worker may forget. */
    std::uint64_t completions_read{0};
    std::uint64_t completions_acknowledged{0};
};

/** The lives of one worker to which this leader has sent commands. */
struct worker_lives {
    incarnation latest;
    /** Number of lives before the latest one. */
    std::uint64_t earlier{0};
};

/** A run that this leader neither started nor adopted, to be stopped. */
struct orphan_run {
    worker_id worker;
    wire::task_ref task;
    std::uint32_t run{0};

    auto operator<=>(const orphan_run&) const = default;
};

/** Stops of an orphan. */
struct orphan_stops {
    time_point first_listed_at;
    time_point last_listed_at;
    std::uint32_t sent{0};
};

/** A job of which the first run has begun. */
struct begun_job {
    submission_id id;
    std::string queue;
    duration waited{};
};

/** Why a planned start is dropped instead of sent. */
enum class drop_reason : std::uint8_t {
    /** The run was cleared or stopped meanwhile. */
    outdated,
    /** The worker does not respond or is gone. */
    worker_lost,
    worker_leaving,
    /** The worker has become smaller than what is reserved on it. */
    no_capacity,
    /** The worker was silent for too long to get a lease. */
    no_lease,
    /** The ledger has not recorded the start of a suspect. */
    not_recorded,
    /** The worker did not answer the command before it. */
    unanswered,
    /** It is a suspect, and another job has started on the worker since it was planned. */
    not_isolated,
};
inline constexpr std::size_t drop_reason_count = 8;

/** Event counts, for operators. */
struct job_counts {
    /** Starts that were planned, and those that were sent. */
    std::uint64_t planned{0};
    std::uint64_t starts{0};
    /** Planned starts that were not sent, by drop_reason. */
    std::array<std::uint64_t, drop_reason_count> dropped{};
    std::uint64_t confirmed{0};
    std::uint64_t refused{0};
    std::uint64_t unanswered{0};
    std::uint64_t stops{0};
    std::uint64_t succeeded{0};
    std::uint64_t failed{0};
    std::uint64_t expired{0};
    /** Starts without a reply that outlasted the leases of their workers. */
    std::uint64_t in_doubt{0};
    /** Runs that ended with their worker, or starts that were planned there. */
    std::uint64_t lost{0};
    /** Runs that their worker no longer listed, without a known end. */
    std::uint64_t unlisted{0};
    /** Reports that listed a part of the ends. */
    std::uint64_t incomplete_reports{0};
    /** Workers that crashed, and runs that may have caused it. */
    std::uint64_t worker_crashes{0};
    std::uint64_t crash_suspects{0};
    std::uint64_t adopted{0};
    std::uint64_t orphans{0};
    std::uint64_t stopped_for_tail{0};
    std::uint64_t stopped_in_trial{0};
    std::uint64_t pace_changes{0};
    std::uint64_t trials{0};
    /** Runs that started at a lower pace. */
    std::uint64_t slowed_starts{0};
    std::uint64_t passes{0};
    /** Parts of passes between which other work is done. */
    std::uint64_t slices{0};
    /** Tasks that passes have tried to place. */
    std::uint64_t examined_tasks{0};
    /** Workers examined to place a task, or to know what they have room for. */
    std::uint64_t candidates{0};
    /** Comparisons of a task with the room of a worker, or of several. */
    std::uint64_t bounds{0};
};

/** A job to place in a pass. */
struct job_turn {
    std::uint32_t priority{0};
    submission_id id;
};

/** Where the placement of a job continues. */
struct task_position {
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};
};

struct waiting_task {
    time_point since;
    wire::task_ref ref;
};

/**
 * A scheduling pass, made in slices between which anything may change. It places tasks into the
 * capacity that was free when it began: what becomes free meanwhile is for the most urgent jobs,
 * with which the next pass begins.
 */
struct starts_pass {
    bool active{false};
    std::vector<job_turn> turns;
    /** The turn that is next, and where in its job. */
    std::size_t next_turn{0};
    task_position position;
    placement_index candidates;
    /** Tasks of jobs without runs that found no worker, also not below full speed. */
    std::vector<waiting_task> unplaced;
    bool unplaced_sorted{false};
    std::size_t next_unplaced{0};
};

/**
 * State of the job scheduler during one term of a leader. It refers to its own elements, so it can
 * be moved but not copied.
 */
struct job_scheduler {
    job_scheduler() = default;
    job_scheduler(job_scheduler&&) = default;
    job_scheduler& operator=(job_scheduler&&) = default;
    ~job_scheduler() = default;

    std::map<submission_id, open_job> jobs;
    std::map<worker_id, job_worker> workers;
    /** Number of the last change of a worker. */
    std::uint64_t last_change{0};
    /** The newest change that the tail forecasts take into account. */
    std::uint64_t last_forecast_change{0};
    failed_placements failed;
    /** Each task is compared with each worker: a reference for tests of the search. */
    bool examines_all_workers{false};
    /** Pauses of workers that ended by then have been recorded as changes. */
    time_point pauses_checked_at;
    /** Tasks whose runs are to be stopped, by the time of the next stop, until one is confirmed. */
    deadline_queue<wire::task_ref> stops_due;
    /** Tasks whose runs are to change pace, by the time of the next command, until confirmed. */
    deadline_queue<wire::task_ref> paces_due;
    /**
     * Runs that belong to no open task, such as those of ended jobs, or beside which another run of
     * their task is kept. They have not ended while reports list them, until the lease of their
     * worker has expired.
     */
    std::map<orphan_run, orphan_stops> orphans;
    /** The same, by the time of the next stop. */
    deadline_queue<orphan_run> orphan_stops_due;
    /** Doubtful starts of workers that are gone, by name, until their next lives appear. */
    std::map<std::string, std::vector<doubtful_start>> departed_starts;
    /** Lives of each worker that says when it started, by name. */
    std::map<std::string, worker_lives> known_lives;
    /** All workers with doubtful starts, and some that had any. */
    std::set<worker_id> workers_in_doubt;
    /** No lease of a worker with runs expires before this time. */
    time_point next_lease_expiry{time_point::max()};
    /**
     * Workers that may run, or have ended, what an earlier leader started, until complete reports
     * of them were read.
     */
    std::set<worker_id> unread_workers;
    /**
     * All leases granted by an earlier leader have expired by then, and its starts are not carried
     * out any more.
     */
    time_point inherited_runs_expire_at;
    /** How best-effort images raise the tail latency of latency-critical images. */
    tail_model interference;
    colocation_trials trials;
    /** When a waiting job last oversubscribed a worker below full speed. */
    time_point last_oversubscription;
    /** When contact with workers was lost, the latest last. */
    std::deque<time_point> contact_losses;
    /** Number of workers with latency-critical tasks at the last scheduling pass. */
    std::size_t serving_workers{0};
    /** Sizes of the finite jobs, by queue. */
    std::map<std::string, queue_sizes> queue_sizes_of;
    starts_pass pass;
    /** Jobs that are new, or of which a completion was recorded, since their last turn. */
    std::set<submission_id> changed_jobs;
    /** Jobs that have begun since the service last logged them. */
    std::vector<begun_job> begun_jobs;
    job_counts counts;
    job_settings settings;
};

} // namespace galenaturn::schedule
