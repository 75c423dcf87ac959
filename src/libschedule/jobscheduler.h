#pragma once

#include "jobstate.h"

namespace galenaturn::schedule {

/** An order to run a task. */
struct start_order {
    wire::task_ref task;
    std::uint32_t run{0};
    worker_id worker;
    std::string text;
    std::string checkpoint;
};

/** An order to stop a run. */
struct stop_order {
    wire::task_ref task;
    std::uint32_t run{0};
    worker_id worker;
};

/** An order to run on at a share of the speed, in hundredths. */
struct pace_order {
    wire::task_ref task;
    std::uint32_t run{0};
    worker_id worker;
    std::uint32_t percent{100};
};

/** What a worker said to an order. */
enum class order_answer : std::uint8_t {
    accepted,
    /** It has no room for it. */
    no_room,
    /** A run of this number or a higher one has been there. */
    old_run,
    /** The lease had lapsed before the order arrived. */
    too_late,
    /** It has seen a higher token: this leader is one no more. */
    fenced,
    /** It is not well and has done nothing. */
    unwell,
    /** Another life of the worker answered: everything on this one has ended. */
    other_life,
    /** It was refused for another reason and has done nothing. */
    refused,
    /** Whether it was carried out, or will be, is not known. */
    none,
};

/** How a run ended. */
enum class run_end : std::uint8_t { succeeded, failed, stopped, lapsed, broken, alone };

/** What a worker says of itself when it is asked. */
struct worker_list {
    struct running_task {
        wire::task_ref task;
        std::uint32_t run{0};
        std::string checkpoint;
        std::uint32_t percent{0};
        /** Of the last half second, roughly: the tail of a task that serves, in milliseconds; the
         * processors in use of any other, in thousandths. */
        std::int64_t figure{0};
    };
    struct ended_run {
        std::uint64_t number{0};
        wire::task_ref task;
        std::uint32_t run{0};
        run_end how{run_end::stopped};
        std::string checkpoint;
    };
    std::vector<running_task> running;
    std::vector<ended_run> ended;
};

/** Takes over from an earlier leader: all open jobs and all workers of the ledger. */
job_scheduler take_over(const std::map<submission_id, wire::job_record>& jobs,
                        const std::map<worker_id, wire::worker_record>& workers,
                        const job_settings& settings, time_point now, wall_time wall);

void add_job(job_scheduler& state, const wire::job_record& record, time_point now);
/** Brings a job level with the ledger: what was recorded, and its end. */
void take_record(job_scheduler& state, const wire::job_record& record, time_point now);

/** Takes a worker's announcement; a worker that left has certainly ended all it ran. */
void hear_worker(job_scheduler& state, const wire::worker_beat& beat);
/** The ledger has noted the worker: it may get orders. */
void admit_worker(job_scheduler& state, const worker_id& worker);
/** Everything on the worker has ended, and the worker will not come back under its name. */
void remove_worker(job_scheduler& state, const worker_id& worker);

/** An order that prolongs the worker's lease is about to be sent. */
void note_lease(job_scheduler& state, const worker_id& worker, time_point now);
/** The worker has answered something that was asked at `asked`. */
void note_answer(job_scheduler& state, const worker_id& worker, time_point asked);

/** Returns the starts to send now, each with its room reserved. `wall` tells which are due. */
std::vector<start_order> plan_starts(job_scheduler& state, time_point now, wall_time wall);
/** Stops tasks that last on workers that are leaving, where another worker has room for them. */
void leave_workers(job_scheduler& state, time_point now);
/** Returns the stops to send now. */
std::vector<stop_order> plan_stops(job_scheduler& state, time_point now);

/** Returns the changes of pace to send now. */
std::vector<pace_order> plan_paces(job_scheduler& state, time_point now);

void take_start_answer(job_scheduler& state, const start_order& order, order_answer answer,
                       time_point now);
void take_stop_answer(job_scheduler& state, const stop_order& order, order_answer answer,
                      time_point now);
void take_pace_answer(job_scheduler& state, const pace_order& order, order_answer answer);

/**
 * Takes the list of a worker that was asked at `asked`. Returns the ends that the ledger has to
 * record before the worker may forget them.
 */
std::vector<wire::record_ends::item> take_list(job_scheduler& state, const worker_id& worker,
                                               const worker_list& list, time_point asked,
                                               time_point now);
/** The ledger has taken these ends. */
void ends_recorded(job_scheduler& state, const std::vector<wire::record_ends::item>& items);
/** The ledger has recorded all ends that the worker had listed up to now. */
void settle_ends(job_scheduler& state, const worker_id& worker);
/** Ends the runs on workers whose leases have lapsed. */
void expire_leases(job_scheduler& state, time_point now);

/** How room is used, for operators. */
struct room_summary {
    std::size_t serving_workers{0};
    std::size_t mixed_workers{0};
    millicores filled_beside_serving;
    millicores filled_elsewhere;
    millicores reserved;
    std::size_t open_jobs{0};
    std::size_t waiting_tasks{0};
};

room_summary summarize(const job_scheduler& state);
/** Returns how many jobs of a queue wait for their first start. */
std::uint64_t jobs_waiting(const job_scheduler& state, const std::string& queue);
bool has_started(const job_scheduler& state, const submission_id& job);

const char* to_string(order_answer answer);
const char* to_string(run_end how);

} // namespace galenaturn::schedule
