#pragma once

#include "codec.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenaturn::wire {

/** One step of a job: identical tasks that may run in parallel. */
struct job_step {
    std::uint32_t count{1};
    resources demand;
    /** A rough estimate of how long one task runs. */
    duration estimate{};
    /** Earlier steps whose tasks must all have succeeded. */
    std::vector<std::uint32_t> after;
    /** The tasks write checkpoints and can resume from them. */
    bool checkpoints{false};
    /** The tasks can make progress only while all of them run. */
    bool gang{false};
    bool one_rack{false};
    /** A label that the worker must have; empty for any worker. */
    std::string required_label;
    /** The rack that stores the input data; on other racks the tasks take longer. */
    rack_id data_rack;
    /** Maximum number of tasks of this step and occurrence on one worker; 0: no limit. */
    std::uint32_t max_per_worker{0};
    /** Speculative copies of a task are allowed; the first that completes counts. */
    bool copies_allowed{false};
    /** The tasks run until the job is cancelled, and are restarted whenever they end. */
    bool long_running{false};
    /** The image that the tasks run; tasks of one image are assumed to behave alike. */
    std::string image;
    /** Limit of the tail latency of latency-critical tasks; 0 for none. */
    duration tail_target{};
    /** The tasks use idle processors beyond what is reserved. */
    bool best_effort{false};
    /** Maximum number of tasks of the step that the scheduler may interrupt at once; empty: no
     * limit. */
    std::optional<std::uint32_t> disruption_budget;

    bool operator==(const job_step&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(count, demand, estimate, after, checkpoints, gang, one_rack, required_label,
                data_rack, max_per_worker, copies_allowed, long_running, image, tail_target,
                best_effort, disruption_budget);
    }
};

/** When a job's steps run: once immediately, or repeatedly at a fixed interval. */
struct job_schedule {
    /** 0: run once, as soon as the job is accepted. */
    std::uint32_t occurrences{0};
    wall_time first_due;
    std::chrono::milliseconds interval{};

    bool operator==(const job_schedule&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(occurrences, first_due, interval);
    }
};

/** A job as submitted by a caller. */
struct job_spec {
    /** Passed to each task unchanged. */
    std::string text;
    std::vector<job_step> steps;
    job_schedule schedule;

    bool operator==(const job_spec&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(text, steps, schedule);
    }
};

/** A queue to which jobs are submitted; `service` names the workers that run them. */
struct queue_settings {
    std::string name;
    /** A request belongs to the queue by its host and the prefix of its path. */
    std::string host;
    std::string path_prefix;
    service_id service;
    /** 0 is the highest priority; its tasks may preempt those of other queues. */
    std::uint32_t priority{0};
    /** A job fails when one of its tasks has failed this many times. */
    std::uint32_t max_attempts{1};
    /** The target completion time of a job is `stretch` times its critical path plus `latency`. */
    double stretch{1};
    duration latency{};
    /** An external advisor decides which workers may run a step. */
    bool advised{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, host, path_prefix, service, priority, max_attempts, stretch, latency,
                advised);
    }
};

/** Progress of a task. */
struct task_progress {
    bool succeeded{false};
    std::uint32_t failures{0};
    /** The highest number of a completed run that is recorded. */
    std::uint32_t last_run{0};
    /** The latest recorded checkpoint. */
    std::string checkpoint;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(succeeded, failures, last_run, checkpoint);
    }
};

/** Crashes of workers that ran a task. */
struct task_crashes {
    /** Number of crashes in a row that the task may have caused. */
    std::uint32_t count{0};
    /** The run of the latest one. */
    std::uint32_t last_run{0};
    /** The latest run that was recorded before its start, and its worker. */
    std::uint32_t started_run{0};
    worker_id started_on;

    bool operator==(const task_crashes&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(count, last_run, started_run, started_on);
    }
};

enum class job_phase : std::uint8_t { open, succeeded, failed, cancelled };

/** A job as stored in the ledger. */
struct job_record {
    submission_id id;
    queue_settings queue;
    job_spec spec;
    wall_time submitted;
    job_phase phase{job_phase::open};
    wall_time ended;
    /** One per task, in the order of occurrence, step and index; empty once ended. */
    std::vector<task_progress> tasks;
    /** By position in `tasks`, only for tasks under which a worker has crashed; empty once ended.
     */
    std::map<std::uint32_t, task_crashes> crashes;
    /**
     * Numbers of the failed runs that are counted, by position in `tasks`; empty once ended. Those
     * that a snapshot of version 3 counted are not known.
     */
    std::map<std::uint32_t, std::vector<std::uint32_t>> failed_runs;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, queue, spec, submitted, phase, ended, tasks, crashes, failed_runs);
    }
};

/** Identifies a task of a job. */
struct task_ref {
    submission_id job;
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};

    auto operator<=>(const task_ref&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(job, occurrence, step, index);
    }
};

std::ostream& operator<<(std::ostream& out, const task_ref& task);

/** Returns how many times the steps of a job run. */
std::uint32_t occurrences_of(const job_spec& spec);
/** Returns the number of tasks in one occurrence. */
std::size_t tasks_of_occurrence(const job_spec& spec);
/** Returns the index of a task in job_record::tasks, or nothing if the job has no such task. */
std::optional<std::size_t> position_of(const job_spec& spec, const task_ref& task);

/** Returns the task at an index in job_record::tasks, or nothing if the job has no such task. */
std::optional<task_ref> task_at(const job_spec& spec, const submission_id& job,
                                std::size_t position);

/** Returns why a specification is invalid; empty if it is valid. */
std::string check_job(const job_spec& spec);

/** Records a submitted job with the settings of its queue at the time of submission. */
struct submit_job {
    submission_id id;
    queue_settings queue;
    job_spec spec;
    wall_time submitted;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, queue, spec, submitted);
    }
};

struct cancel_job {
    submission_id id;
    wall_time now;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, now);
    }
};

/** Records completions of runs that must be durable, in batches. */
struct record_completions {
    struct item {
        task_ref task;
        std::uint32_t run{0};
        bool succeeded{false};
        std::string checkpoint;

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(task, run, succeeded, checkpoint);
        }
    };
    std::vector<item> items;
    wall_time now;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(items, now);
    }
};

/** How likely a task is the cause of the crash of its worker. */
enum class crash_suspicion : std::uint8_t {
    /** It ran there for longer than a task takes to crash its worker. */
    cleared,
    /** One of several tasks that may be the cause. */
    suspect,
    /** Only tasks of its job can be the cause. */
    only_suspect,
};

/** Records that a worker has crashed, before the tasks that ran there start again. */
struct record_crash {
    struct item {
        task_ref task;
        std::uint32_t run{0};
        crash_suspicion suspicion{crash_suspicion::cleared};

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(task, run, suspicion);
        }
    };
    worker_id worker;
    std::vector<item> items;
    wall_time now;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(worker, items, now);
    }
};

/**
 * Records the start of a task that may crash its worker, before it is commanded, so that the next
 * leader knows of the crash too.
 */
struct record_suspect_start {
    task_ref task;
    std::uint32_t run{0};
    worker_id worker;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(task, run, worker);
    }
};

/** Publishes a higher version of the queues; `document` is stored as the operator wrote it. */
struct publish_queues {
    std::uint64_t version{0};
    std::string document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, document);
    }
};

/** A worker that accepts commands, as announced by itself. */
struct worker_record {
    worker_id id;
    service_id service;
    failure_domain_id domain;
    rack_id rack;
    ip_endpoint address;
    resources capacity;
    std::vector<std::string> labels;

    bool operator==(const worker_record&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, service, domain, rack, address, capacity, labels);
    }
};

/**
 * Records workers before their first command, so that a new leader polls each of them for its
 * tasks, and removes workers that certainly run nothing any more.
 */
struct record_workers {
    std::vector<worker_record> admitted;
    std::vector<worker_id> retired;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(admitted, retired);
    }
};

/** A worker's announcement with the worker's sequence number. */
struct worker_presence {
    worker_record worker;
    std::uint64_t sequence{0};
    bool leaving{false};
    /** The worker is about to end as planned. What it runs goes on until it has ended. */
    bool left{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(worker, sequence, leaving, left);
    }
};

struct worker_presences {
    std::vector<worker_presence> presences;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(presences);
    }
};

/** Kind of a caller's request for a job or queue, forwarded by an entry. */
enum class job_verb : std::uint8_t { submit, show, cancel, count };

struct job_request {
    job_request() = default;

    std::string request;
    job_verb verb{job_verb::show};
    std::string host;
    /** The whole path; the leader finds the queue by its longest prefix. */
    std::string path;
    submission_id job;
    job_spec spec;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request, verb, host, path, job, spec);
    }
};

enum class job_response_status : std::uint8_t {
    ok,
    unknown_queue,
    unknown_job,
    /** Certainly not accepted: retry later. */
    overloaded,
    /** Certainly not accepted: there is no leader, or it has no configuration yet. */
    unavailable,
    /** Certainly not accepted: the request is invalid and must not be retried. */
    rejected,
    /** May have been accepted: retry with the same id. */
    unknown,
};

inline constexpr std::array all_job_responses{
    job_response_status::ok,          job_response_status::unknown_queue,
    job_response_status::unknown_job, job_response_status::overloaded,
    job_response_status::unavailable, job_response_status::rejected,
    job_response_status::unknown};

struct job_response {
    job_response_status status{job_response_status::unknown};
    /** Only for `show`. */
    std::optional<job_phase> phase;
    bool started{false};
    /** Only for `count`: the number of pending jobs. */
    std::uint64_t waiting{0};
    /** For rejected requests: when to retry. */
    std::chrono::seconds retry_after{0};
    std::string reason;
    /** The version of the queues that decided, and the term of the leader; 0 where none led. */
    std::uint64_t queues_version{0};
    term queues_term;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(status, phase, started, waiting, retry_after, reason, queues_version, queues_term);
    }
};

/** Returns the response for a missing leader: nothing was done, and the caller should retry after
 * the usual duration of an election. */
job_response unavailable_response(std::string reason);

const char* to_string(job_phase phase);
const char* to_string(crash_suspicion suspicion);
const char* to_string(job_verb verb);
const char* to_string(job_response_status status);

} // namespace galenaturn::wire
