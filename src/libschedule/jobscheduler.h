#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** Command to run a task. */
struct start_command {
    wire::task_ref task;
    std::uint32_t run{0};
    worker_id worker;
    std::string text;
    std::string checkpoint;
    /** The task may crash its worker: the ledger has to record the start before it is sent. */
    bool suspect{false};
    time_point planned_at;
};

/** Command to stop a run. */
struct stop_command {
    wire::task_ref task;
    std::uint32_t run{0};
    worker_id worker;
    stop_cause cause{stop_cause::none};
    /** When it was decided to stop the run, and when this command was planned. */
    time_point requested_at;
    time_point planned_at;
};

/** Command to continue at a pace: the share of full speed that a run may use, in percent. */
struct pace_command {
    wire::task_ref task;
    std::uint32_t run{0};
    worker_id worker;
    std::uint32_t percent{100};
};

/** Result of a command to a worker. */
enum class command_result : std::uint8_t {
    accepted,
    /** The worker lacks free capacity. */
    no_capacity,
    /** The worker has seen a run with this number or a higher one. */
    stale_run,
    /** The lease had expired before the command arrived. */
    too_late,
    /** The worker has seen a higher fencing token: this process is no longer the leader. */
    fenced,
    /** The worker is unhealthy and has done nothing. */
    unhealthy,
    /** Another incarnation of the worker replied: all runs of the one addressed have ended. */
    other_incarnation,
    /** The worker refused it for another reason and has done nothing. */
    refused,
    /** It was not sent, because the lease or the contact with the worker was lost before. */
    not_sent,
    /** No connection to the worker could be established, so the command did not leave. */
    unreachable,
    /** No usable reply: whether the command was or will be carried out is unknown. */
    none,
};

/** How a run ended. */
enum class run_outcome : std::uint8_t {
    succeeded,
    failed,
    /** Stopped by a command. */
    stopped,
    /** Its lease expired. */
    expired,
    /** Ended because another member of its gang ended. */
    broken,
    /** Timed out waiting for the other members of its gang to start. */
    alone
};

/** State that a worker reports when it is polled. */
struct worker_report {
    struct running_task {
        wire::task_ref task;
        std::uint32_t run{0};
        std::string checkpoint;
        std::uint32_t percent{0};
        /**
         * Over about the last half second: the tail latency of a latency-critical task, in
         * milliseconds, or the processors in use by any other task, in millicores.
         */
        std::int64_t measurement{0};
    };
    struct ended_run {
        std::uint64_t number{0};
        wire::task_ref task;
        std::uint32_t run{0};
        run_outcome outcome{run_outcome::stopped};
        std::string checkpoint;
    };
    /** All runs that have not ended. */
    std::vector<running_task> running;
    std::vector<ended_run> ended;
    /**
     * All ends that are not acknowledged are listed. Otherwise more of them follow once these are:
     * a run that is not listed may be one of them.
     */
    bool complete{true};
};

/** Builds the state of a new leader from the open jobs and the workers in the ledger. */
job_scheduler take_over(const std::map<submission_id, wire::job_record>& jobs,
                        const std::map<worker_id, wire::worker_record>& workers,
                        const job_settings& settings, time_point now, wall_time wall);

void add_job(job_scheduler& state, const wire::job_record& record, time_point now);
/** Applies the recorded progress and phase of a job in the ledger. */
void on_job_record(job_scheduler& state, const wire::job_record& record, time_point now);

/** Applies a worker's announcement. That it has left ends none of its runs. */
void on_worker_announcement(job_scheduler& state, const wire::worker_presence& presence);
/** Marks the worker as recorded in the ledger: it may receive commands. */
void admit_worker(job_scheduler& state, const worker_id& worker);
/**
 * Marks the workers that are not in `recorded` as not recorded: they get no tasks until they are
 * again. Returns those that were.
 */
std::vector<wire::worker_record>
withdraw_admissions(job_scheduler& state, const std::map<worker_id, wire::worker_record>& recorded);
/** Removes a worker whose runs have all ended and that will not return under the same name. */
void remove_worker(job_scheduler& state, const worker_id& worker);
/** Returns whether the worker has announced its end, so that it is gone once it can't be found. */
bool has_left(const job_scheduler& state, const worker_id& worker);
/** Returns the workers that have left and of which nothing can run any more. */
std::vector<worker_id> ended_departures(const job_scheduler& state, time_point now);
/**
 * Returns the workers that do not respond, of which nothing runs and no earlier start can be
 * carried out any more. One of them that comes back announces itself again.
 */
std::vector<worker_id> silent_workers(const job_scheduler& state, time_point now);

/**
 * Removes a worker that has crashed: another one responded in its place, or `next`, its next life.
 * Commands to the earlier life may still be carried out by the next one, so runs that are not known
 * to have begun in the earlier life continue there as unknown. Returns the crashes to record in the
 * ledger; until then the tasks do not start again.
 */
std::vector<wire::record_crash::item> on_worker_crash(job_scheduler& state, const worker_id& worker,
                                                      const worker_id& next, time_point now);
/** Returns the workers that are earlier lives of this one. */
std::vector<worker_id> earlier_lives(const job_scheduler& state, const worker_id& worker);
/** Marks these crashes as recorded by the ledger. */
void on_crash_recorded(job_scheduler& state, const std::vector<wire::record_crash::item>& items);
/**
 * Records that the worker did not respond. It gets no tasks until it does. `closed`: it closed its
 * connection at `now`.
 */
void record_contact_loss(job_scheduler& state, const worker_id& worker, time_point now,
                         bool closed);

/**
 * Returns whether the worker may get a lease: none of the starts that were cleared when its last
 * one expired can be carried out under the next one.
 */
bool may_extend_lease(const job_scheduler& state, const worker_id& worker);
/** Extends the worker's lease, just before a command that grants it is sent. */
void extend_lease(job_scheduler& state, const worker_id& worker, time_point now);
/**
 * Takes an extension back, if it is the last one: the command was not sent, and `earlier` is when
 * the lease expired before.
 */
void withdraw_lease(job_scheduler& state, const worker_id& worker, time_point requested_at,
                    time_point earlier);
/** Records that the worker replied to a request sent at `requested_at`. */
void record_reply(job_scheduler& state, const worker_id& worker, time_point requested_at);

/**
 * Returns the starts to send now, with their capacity reserved. `wall` decides which occurrences
 * are due.
 */
std::vector<start_command> plan_starts(job_scheduler& state, time_point now, wall_time wall);
/** Begins a scheduling pass, in place of one that has not ended. */
void begin_pass(job_scheduler& state, time_point now);
/** How much a slice of a pass does at most: some milliseconds of work. */
struct slice_limits {
    /** Number of tasks and workers that are examined. */
    std::uint64_t examined{4000};
    /** Number of starts, which are sent together and cost more. */
    std::size_t starts{40};
};
/**
 * Returns the starts that the next slice of the pass finds. What has changed in the most urgent
 * queues, or in queues of a higher priority than those that the pass has reached, comes first. Both
 * this and the rest, which always proceeds, end about at the limits.
 */
std::vector<start_command> continue_pass(job_scheduler& state, time_point now, wall_time wall,
                                         slice_limits limits);
/** Returns whether a slice would place something before the next pass. */
bool has_urgent_changes(const job_scheduler& state);
/**
 * Stops long-running tasks on workers that are leaving, where another worker can run them, and
 * finite ones on workers that have left.
 */
void drain_leaving_workers(job_scheduler& state, time_point now);
/** Returns the stops to send now. */
std::vector<stop_command> plan_stops(job_scheduler& state, time_point now);

/** Returns the pace changes to send now. */
std::vector<pace_command> plan_paces(job_scheduler& state, time_point now);

/**
 * Returns why a planned start must not be sent any more, or nothing. To be asked just before the
 * command is sent.
 */
std::optional<drop_reason> reason_to_drop(const job_scheduler& state, const start_command& command);
/** Returns whether the start command has not been sent. */
bool is_unsent(run_phase phase);
/** Drops a planned start: its run has not begun. */
void drop_start(job_scheduler& state, const start_command& command, drop_reason reason,
                time_point now);
/** Records that the start command is being sent. */
void on_start_sent(job_scheduler& state, const start_command& command, time_point now);
/** Returns whether the command still changes something, just before it is sent. */
bool is_due(const job_scheduler& state, const stop_command& command);
bool is_due(const job_scheduler& state, const pace_command& command);
/** Records that a due stop is being sent. Returns how many were sent for the run, this included. */
std::uint32_t on_stop_sent(job_scheduler& state, const stop_command& command);
void on_start_result(job_scheduler& state, const start_command& command, command_result outcome,
                     time_point now);
void on_stop_result(job_scheduler& state, const stop_command& command, command_result outcome,
                    time_point now);
void on_pace_result(job_scheduler& state, const pace_command& command, command_result outcome);

/**
 * Applies the report of a worker that was polled at `requested_at`. Returns the completions that
 * the ledger has to record before the worker may forget them; acknowledge_completions says so.
 */
std::vector<wire::record_completions::item>
on_worker_report(job_scheduler& state, const worker_id& worker, const worker_report& report,
                 time_point requested_at, time_point now);
/** Marks these completions as recorded by the ledger. */
void on_completions_recorded(job_scheduler& state,
                             const std::vector<wire::record_completions::item>& items);
/**
 * Marks the completions of one report, of which `read_up_to` is the last, as recorded. Once those
 * of all reports are, the worker may forget what was read.
 */
void acknowledge_completions(job_scheduler& state, const worker_id& worker,
                             std::uint64_t read_up_to);
/** What became of the runs of a worker when its lease had expired. */
struct expired_lease {
    worker_id worker;
    /** Number of runs that have ended. */
    std::size_t ended{0};
    /** Starts without a reply that a next life of the worker may still carry out. */
    std::vector<std::pair<wire::task_ref, std::uint32_t>> in_doubt;
};

/**
 * Ends the runs on workers whose leases have expired. Starts without a reply are kept until no life
 * of the worker carries them out any more.
 */
std::vector<expired_lease> expire_leases(job_scheduler& state, time_point now);

/** Use of the capacity, for operators. */
struct capacity_summary {
    std::size_t serving_workers{0};
    std::size_t mixed_workers{0};
    millicores best_effort_beside_serving;
    millicores best_effort_elsewhere;
    millicores reserved;
    std::size_t open_jobs{0};
    std::size_t waiting_tasks{0};
    /** Part of them that is long-running, and that is finite with a reservation. */
    std::size_t waiting_long_running{0};
    std::size_t waiting_reserved{0};
};

capacity_summary summarize_capacity(const job_scheduler& state);
/** Open jobs of a queue. */
struct queue_summary {
    std::uint64_t open{0};
    /** A run has certainly begun. */
    std::uint64_t begun{0};
    /** A start is planned, sent or unanswered, and no run is known to have begun. */
    std::uint64_t unconfirmed{0};
    /** Cancelled or ended; their runs are being stopped. */
    std::uint64_t ending{0};
    /** Longest time since the arrival of a job that has neither begun nor is ending. */
    duration longest_wait{};
};

queue_summary summarize_queue(const job_scheduler& state, const std::string& queue, time_point now);
/** Returns how many jobs of a queue wait, because no run of them is known to have begun. */
std::uint64_t jobs_waiting(const job_scheduler& state, const std::string& queue);
/** Returns whether a run of the job has certainly begun. */
bool has_started(const job_scheduler& state, const submission_id& job);

const char* to_string(stop_cause cause);
const char* to_string(drop_reason reason);
const char* to_string(command_result outcome);
const char* to_string(run_outcome how);

} // namespace galenaturn::schedule
