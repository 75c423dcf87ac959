#pragma once

#include "codec.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenaturn::wire {

/** One step of a job: equal tasks that run side by side. */
struct job_step {
    std::uint32_t count{1};
    resources demand;
    /** A rough estimate of how long one task runs. */
    duration estimate{};
    /** Earlier steps whose tasks must all have succeeded. */
    std::vector<std::uint32_t> after;
    /** The tasks save their progress and can go on from it. */
    bool checkpoints{false};
    /** The tasks work only while all of them run. */
    bool gang{false};
    bool one_rack{false};
    /** A label that the worker must have; empty for any worker. */
    std::string required_label;
    /** The rack that holds the data; elsewhere the tasks take longer. */
    rack_id data_rack;
    /** At most so many tasks of this step, and of one occurrence, on one worker; 0: no limit. */
    std::uint32_t most_per_worker{0};
    /** Copies of a task may run side by side; the first to end counts. */
    bool copies_allowed{false};
    /** The tasks run until the job is cancelled and are started again however they end. */
    bool endless{false};
    /** What the tasks run; tasks of one image behave alike. */
    std::string image;
    /** The tail latency that tasks which serve users must keep; 0 for none. */
    duration tail_target{};
    /** The tasks take the processors that others leave idle, beyond what is reserved. */
    bool fills{false};
    /** How many tasks of the step may be away at once by our own doing; nothing: no limit. */
    std::optional<std::uint32_t> disruption_budget;

    bool operator==(const job_step&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(count, demand, estimate, after, checkpoints, gang, one_rack, required_label,
                data_rack, most_per_worker, copies_allowed, endless, image, tail_target, fills,
                disruption_budget);
    }
};

/** When a job's steps run: once at once, or several times at set times. */
struct job_schedule {
    /** 0: once, as soon as it is accepted. */
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

/** What a caller hands in. */
struct job_spec {
    /** Handed to each task as it is. */
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

/** Where jobs are handed in and which workers run them. */
struct queue_settings {
    std::string name;
    /** Callers name the queue by host and the beginning of their path. */
    std::string host;
    std::string path_prefix;
    service_id service;
    /** 0 comes first and may displace others. */
    std::uint32_t priority{0};
    /** A task that failed so often ends its job. */
    std::uint32_t most_attempts{1};
    /** A job is in time within `stretch` times its longest chain of work and `latency` more. */
    double stretch{1};
    duration latency{};
    /** Outside advice says which workers may run a step. */
    bool advised{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, host, path_prefix, service, priority, most_attempts, stretch, latency,
                advised);
    }
};

/** How far one task has come. */
struct task_progress {
    bool succeeded{false};
    std::uint32_t failures{0};
    /** The highest run number whose end is recorded. */
    std::uint32_t last_run{0};
    /** The latest checkpoint that is recorded. */
    std::string checkpoint;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(succeeded, failures, last_run, checkpoint);
    }
};

enum class job_phase : std::uint8_t { open, succeeded, failed, cancelled };

/** A job as the ledger keeps it. */
struct job_record {
    submission_id id;
    queue_settings queue;
    job_spec spec;
    wall_time submitted;
    job_phase phase{job_phase::open};
    wall_time ended;
    /** One for each task, in the order of occurrence, step and index; empty once ended. */
    std::vector<task_progress> tasks;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, queue, spec, submitted, phase, ended, tasks);
    }
};

/** Names one task of a job. */
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

/** Returns how often the steps of a job run. */
std::uint32_t occurrences_of(const job_spec& spec);
/** Returns the tasks of one occurrence. */
std::size_t tasks_of_occurrence(const job_spec& spec);
/** Returns the place of a task in job_record::tasks, or nothing where the job has no such task. */
std::optional<std::size_t> position_of(const job_spec& spec, const task_ref& task);

/** Why a specification is refused; empty where it is not. */
std::string check_job(const job_spec& spec);

/** Accepts a job under the settings that its queue has at that moment. */
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

/** Ends of runs that must not be forgotten, in groups. */
struct record_ends {
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

/** Puts the queues of a higher version in force; `document` is kept as the operator wrote it. */
struct publish_queues {
    std::uint64_t version{0};
    std::string document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, document);
    }
};

/** A worker that takes orders, as it announced itself. */
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
 * Notes workers before they get their first order, so that a new leader asks each of them what it
 * runs; and those that certainly run nothing any more.
 */
struct note_workers {
    std::vector<worker_record> admitted;
    std::vector<worker_id> retired;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(admitted, retired);
    }
};

/** What a worker announced, and when by its own count. */
struct worker_beat {
    worker_record worker;
    std::uint64_t sequence{0};
    bool leaving{false};
    /** The worker has ended as planned and runs nothing any more. */
    bool left{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(worker, sequence, leaving, left);
    }
};

struct worker_beats {
    std::vector<worker_beat> beats;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(beats);
    }
};

/** What a caller asks of a job or a queue, passed on by an entry. */
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

enum class job_answer_status : std::uint8_t {
    ok,
    unknown_queue,
    unknown_job,
    /** Certainly not accepted: come back later. */
    overloaded,
    /** Certainly not accepted: there is no leader, or it has no configuration yet. */
    unavailable,
    /** Certainly not accepted, and never will be. */
    rejected,
    /** It may have been accepted: ask again under the same id. */
    unknown,
};

inline constexpr std::array all_job_answers{
    job_answer_status::ok,         job_answer_status::unknown_queue, job_answer_status::unknown_job,
    job_answer_status::overloaded, job_answer_status::unavailable,   job_answer_status::rejected,
    job_answer_status::unknown};

struct job_answer {
    job_answer_status status{job_answer_status::unknown};
    /** For show. */
    std::optional<job_phase> phase;
    bool started{false};
    /** For count. */
    std::uint64_t waiting{0};
    /** For refusals: when to come back. */
    std::chrono::seconds retry_after{0};
    std::string reason;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(status, phase, started, waiting, retry_after, reason);
    }
};

/** Answers that nothing was done, and when a leader is found as a rule. */
job_answer unavailable_answer(std::string reason);

const char* to_string(job_phase phase);
const char* to_string(job_verb verb);
const char* to_string(job_answer_status status);

} // namespace galenaturn::wire
