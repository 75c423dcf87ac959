#pragma once

#include "tailpressure.h"

#include <galenaturn/messages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::schedule {

/** How far an order to run a task has come. */
enum class run_phase : std::uint8_t {
    /** The start is under way. */
    ordered,
    /** The worker has said that the run is there. */
    running,
    /** No answer came: the start may yet be carried out, until a stop is answered. */
    unknown,
    /** A stop is to be sent, or is under way. */
    stopping,
    /** The stop was answered; the next list of the worker tells the end. */
    stopped,
};

/** One run of a task on a worker. Its room stays reserved until its end is certain. */
struct task_run {
    std::uint32_t number{0};
    worker_id worker;
    resources reserved;
    /** What a task that fills wants beside it. */
    millicores filling;
    /** Reserved by a task that has a tail to keep. */
    millicores serving;
    duration tail_target{};
    std::string image;
    run_phase phase{run_phase::ordered};
    /** When the phase began. */
    time_point since;
    time_point ordered_at;
    bool stop_sent{false};
    /** The share of its speed at which it is to work, in hundredths. */
    std::uint32_t pace{100};
    /** When the worker was last told, if it has not answered yet. */
    std::optional<time_point> pace_sent_at;
    /** Since when its tail has been told far longer than what is known explains. */
    std::optional<time_point> odd_since;
    /** Work done in hundredths as the worker last said, and when that last changed. */
    std::uint32_t percent{0};
    time_point progressed_at;
};

/** A task that has not ended. */
struct open_task {
    bool succeeded{false};
    std::uint32_t failures{0};
    /** The highest run number that any process has given out, as far as is known. */
    std::uint32_t last_run{0};
    std::string checkpoint;
    std::optional<task_run> run;
    /** An end waits for the ledger; the task is neither started nor stopped meanwhile. */
    bool recording{false};
    /** Workers where it failed: the next attempt goes elsewhere if it can. */
    std::set<worker_id> failed_on;
};

/**
 * The tail that tasks of a job have with nothing beside them, in milliseconds. It follows the
 * load of the job's users, and so is about the same on all workers. Zero where it is not known.
 */
struct own_tail {
    double latest{0};
    /** Follows more slowly: what lies between the two tells where it goes. */
    double slower{0};
    time_point at;
};

struct open_job {
    submission_id id;
    wire::queue_settings queue;
    wire::job_spec spec;
    time_point arrived;
    /** The job is in time if it ends by then, and still of use within `late_by`. */
    time_point wanted_by;
    time_point late_by;
    /** Estimated, in seconds of a processor. */
    double work{0};
    /** The same of what has not succeeded, and the longest chain of it. */
    double work_left{0};
    duration chain_left{};
    own_tail tail;
    std::vector<open_task> tasks;
    /** Tasks that have not succeeded, for each occurrence and step. */
    std::vector<std::uint32_t> left;
    /** Handed to this leader by the one before: its tasks may run where nobody has looked yet. */
    bool inherited{false};
    bool started{false};
    /** Cancelled or ended: its runs are being stopped. */
    bool ending{false};
    /** Since when a task of it that lasts has waited for room. */
    std::optional<time_point> waits_since;
    /** When others were last stopped for it. */
    time_point room_made_at;
    /** Some step's tasks run until the job is cancelled. */
    bool endless{false};
};

/** The longest tail to expect among the tasks of an image on a worker, in milliseconds. */
struct tail_outlook {
    double alone{0};
    /** Beside what fills the worker now. */
    double expected{0};
};

/** A worker as this leader knows it. */
struct job_worker {
    wire::worker_record record;
    resources reserved;
    /** Wanted by the tasks there that fill, beside what is reserved. */
    millicores filling;
    /** The same by image. */
    filling_load filling_images;
    /** Reserved by the tasks there that have a tail to keep. */
    millicores serving;
    /** How many there are, by image and job, and the shortest tail that one has to keep. */
    std::map<std::string, std::map<submission_id, std::uint32_t>> serving_images;
    duration tail_target{duration::max()};
    /** What the tails of each image have to expect. */
    std::map<std::string, tail_outlook> tails;
    /** Filled to learn how images get on with each other. */
    bool on_trial{false};
    /** Nothing fills it before: its room is being made for a task that lasts. */
    time_point kept_until;
    /** When runs were last stopped here for the sake of a tail. */
    time_point relieved_at;
    /** Since when a tail here has been over its target on end. */
    std::optional<time_point> over_since;
    /** When a run here was last slowed or hastened. */
    time_point paced_at;
    /** Runs on it, by task. */
    std::map<wire::task_ref, std::uint32_t> runs;
    bool leaving{false};
    /** Noted in the ledger, so that a next leader asks it too. */
    bool admitted{false};
    /** Its list was read under this leader's token. */
    bool read{false};
    /** Whatever it runs has certainly ended by then, unless a later lease reached it. */
    time_point lease_ends;
    time_point answered_at;
    /** Nothing new is placed there before. */
    time_point avoid_until;
    /** Failures of different tasks since the last success. */
    std::uint32_t failure_streak{0};
    /** The highest end that was read, and the highest that may be forgotten there. */
    std::uint64_t ends_read{0};
    std::uint64_t ends_settled{0};
};

/** A run that this leader did not order and does not want. */
struct stray_run {
    wire::task_ref task;
    std::uint32_t run{0};
    worker_id worker;
};

/** Counts for operators, by what happened. */
struct job_counts {
    std::uint64_t starts{0};
    std::uint64_t confirmed{0};
    std::uint64_t refused{0};
    std::uint64_t unanswered{0};
    std::uint64_t stops{0};
    std::uint64_t succeeded{0};
    std::uint64_t failed{0};
    std::uint64_t lapsed{0};
    std::uint64_t adopted{0};
    std::uint64_t strays{0};
    std::uint64_t relieved{0};
    std::uint64_t paced{0};
    std::uint64_t trials{0};
};

/** How much work the jobs of a queue ask for. */
struct queue_work {
    double average{0};
    std::uint64_t jobs{0};
};

/** Everything that one leader knows of jobs, tasks and workers. */
struct job_scheduler {
    std::map<submission_id, open_job> jobs;
    std::map<worker_id, job_worker> workers;
    /** Tasks whose run is to be stopped, until the worker has answered. */
    std::set<wire::task_ref> stops_due;
    /** Tasks whose run is to change its pace, until the worker has answered. */
    std::set<wire::task_ref> paces_due;
    /** Runs on workers that are no longer wanted, such as those of jobs that ended. */
    std::vector<stray_run> strays;
    /** Workers that may run what an earlier leader ordered, until each was read. */
    std::set<worker_id> unread;
    /** Whatever an earlier leader ordered has lapsed by then. */
    time_point inherited_until;
    tail_model tails;
    /** Workers on trial. */
    std::size_t trials{0};
    /** By queue. */
    std::map<std::string, queue_work> usual_work;
    job_counts counts;
    job_settings settings;
};

} // namespace galenaturn::schedule
