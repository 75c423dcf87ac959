#pragma once

#include "codec.h"
#include "jobs.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace galenaturn::wire {

/** Phase of a task in the ledger. */
enum class task_phase : std::uint8_t { pending, assigned, finished };

/** Final outcome of a task. `parked`: given up permanently. */
enum class task_outcome : std::uint8_t { none, succeeded, failed, cancelled, stopped, parked };

/** A task as stored in the ledger. */
struct task_record {
    task_id id;
    job_id job;
    owner_id owner;
    work_class task_class{work_class::batch};
    bool urgent{false};
    resources demand;
    duration hold{};
    wall_time submitted;
    /** The zero value of the clock means that the task has no deadline. */
    wall_time deadline;
    task_phase phase{task_phase::pending};
    /** Where the task is assigned, and the fencing number of that assignment. */
    failure_domain_id domain;
    epoch assignment;
    std::uint32_t attempts{0};
    /** Set once a stop or cancel was accepted; the outcome follows when the worker has stopped. */
    bool cancel_requested{false};
    bool stop_requested{false};
    std::optional<checkpoint_id> checkpoint;
    task_outcome outcome{task_outcome::none};
    /** Why the task is pending, or why it ended. */
    std::string reason;
    /** The worker that last ran it, as its steward reported. */
    worker_id worker;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, job, owner, task_class, urgent, demand, hold, submitted, deadline, phase,
                domain, assignment, attempts, cancel_requested, stop_requested, checkpoint, outcome,
                reason, worker);
    }
};

/** Compare-and-set of the catalogue; `expected` is the version that the operator has read. */
struct write_catalogue {
    catalogue_version expected;
    std::string document;
    std::string digest;
    std::string author;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(expected, document, digest, author);
    }
};

/** Starts a task of a job in the catalogue. The leader takes the resources and the owner from the
 * catalogue. */
struct start_task {
    task_id id;
    job_id job;
    wall_time submitted;
    wall_time deadline;
    /** Overrides the resources that the job declares. */
    std::optional<resources> demand;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, job, submitted, deadline, demand);
    }
};

struct cancel_task {
    task_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

/** Stops a watcher or service task on an operator's request. */
struct stop_task {
    task_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

/** Assigns pending tasks to failure domains, each with its next epoch. */
struct assign_tasks {
    struct item {
        task_id id;
        failure_domain_id domain;
        /** The current assignment; if it differs, the proposal is stale and is ignored. */
        epoch expected;
        /**
         * Only for a task reassigned from another domain: that domain's stewardship epoch. The item
         * is ignored if a later one was granted, since the new steward continues its tasks.
         */
        epoch from_stewardship{};

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(id, domain, expected, from_stewardship);
        }
    };
    std::vector<item> items;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(items);
    }
};

/** Reports of a steward about its tasks, in batches. Items with an old epoch are ignored. */
struct report_tasks {
    struct item {
        task_id id;
        epoch assignment;
        task_outcome outcome{task_outcome::none};
        /** Returns the task to the ledger, to be assigned to another domain. */
        bool released{false};
        std::optional<checkpoint_id> checkpoint;
        std::string reason;
        worker_id worker;

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(id, assignment, outcome, released, checkpoint, reason, worker);
        }
    };
    std::vector<item> items;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(items);
    }
};

/** Makes a process the steward of a domain under the next stewardship epoch. */
struct grant_stewardship {
    failure_domain_id domain;
    process_id steward;
    /** The current stewardship epoch, which this grant replaces. */
    epoch expected;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(domain, steward, expected);
    }
};

/** Reserves the key of a non-idempotent request before the request is sent. */
struct reserve_key {
    owner_id owner;
    service_id service;
    idempotency_key key;
    /** Digest of the request, so that a key is not reused for another request. */
    std::string digest;
    process_id entry;
    wall_time expires;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(owner, service, key, digest, entry, expires);
    }
};

/** The recorded response, which is returned if a keyed request is sent again. */
struct recorded_response {
    std::uint32_t status{0};
    std::string content_type;
    std::string body;

    bool operator==(const recorded_response&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(status, content_type, body);
    }
};

/** Records the outcome of a keyed request. */
struct complete_key {
    owner_id owner;
    service_id service;
    idempotency_key key;
    /** The request that made the reservation. */
    request_id reservation;
    /** Empty if the request certainly did not run; the key is then released. */
    std::optional<recorded_response> answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(owner, service, key, reservation, answer);
    }
};

/** Sets the clock of the ledger, and removes the records that are too old by it. */
struct expire_records {
    wall_time now;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(now);
    }
};

using command = std::variant<write_catalogue, start_task, cancel_task, stop_task, assign_tasks,
                             report_tasks, grant_stewardship, reserve_key, complete_key,
                             expire_records, submit_job, cancel_job, record_completions,
                             publish_queues, record_workers, record_crash, record_suspect_start>;

/** A command with its request id; commands with the same id are applied only once. */
struct command_request {
    // Constructors, because g++ 12 destroys aggregates in the operand of co_await twice.
    command_request() = default;
    command_request(request_id request, command content)
        : id{std::move(request)}, body{std::move(content)}
    {
    }

    request_id id;
    command body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, body);
    }
};

/** Outcome of a command. */
enum class command_status : std::uint8_t {
    accepted,
    /** Compare-and-set failed: the response contains the current version. */
    conflict,
    /** The command was applied before; the first outcome is returned. */
    duplicate,
    /** The command is invalid, as `reason` explains. Nothing changed. */
    rejected,
    /** This voter is not the leader; the response names the leader if known. Not applied. */
    not_leader,
    /** No quorum, or too many commands are queued. Certainly not applied. */
    unavailable,
    /** The connection or leadership was lost: it may have been applied. Retry with the same id. */
    unknown,
};

struct command_response {
    command_status status{command_status::unknown};
    std::string reason;
    process_id leader;
    log_index index;
    catalogue_version version;
    std::string digest;
    /** For a duplicate reserve_key: the recorded response, or empty while it is unknown. */
    std::optional<recorded_response> answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(status, reason, leader, index, version, digest, answer);
    }
};

/** Queries, answered by the leader under its lease, or by any voter if `stale_allowed` is set. */
struct get_catalogue {
    /** 0 for the current version. */
    catalogue_version version;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version);
    }
};

struct list_catalogue_history {
    std::uint32_t limit{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(limit);
    }
};

struct get_task {
    task_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

struct list_tasks {
    owner_id owner;
    std::uint32_t limit{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(owner, limit);
    }
};

/** Returns the current queue settings. */
struct get_queues {
    template <class Archive>
    void serialize(Archive& /*archive*/)
    {
    }
};

struct get_ledger_status {
    template <class Archive>
    void serialize(Archive& /*archive*/)
    {
    }
};

using query = std::variant<get_catalogue, list_catalogue_history, get_task, list_tasks,
                           get_ledger_status, get_queues>;

struct query_request {
    // Constructors, because g++ 12 destroys aggregates in the operand of co_await twice.
    query_request() = default;
    query_request(query content, bool stale) : body{std::move(content)}, stale_allowed{stale} {}

    query body;
    bool stale_allowed{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(body, stale_allowed);
    }
};

struct catalogue_document {
    catalogue_version version;
    std::string digest;
    std::string author;
    std::string document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, digest, author, document);
    }
};

struct ledger_status {
    voter_id voter;
    std::string role;
    process_id leader;
    term current_term;
    log_index committed;
    log_index applied;
    std::vector<voter_id> voters;
    std::vector<voter_id> learners;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(voter, role, leader, current_term, committed, applied, voters, learners);
    }
};

enum class query_status : std::uint8_t { found, not_found, not_leader, unavailable };

struct query_response {
    query_status status{query_status::unavailable};
    process_id leader;
    std::vector<catalogue_document> documents;
    std::vector<task_record> tasks;
    std::optional<ledger_status> ledger;
    std::optional<publish_queues> queues;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(status, leader, documents, tasks, ledger, queues);
    }
};

const char* to_string(task_phase phase);
const char* to_string(task_outcome outcome);
const char* to_string(command_status status);

} // namespace galenaturn::wire
