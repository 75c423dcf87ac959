#pragma once

#include <galenaturn/messages.h>

#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace galenaturn::ledger {

/**
 * The process that is the steward of a failure domain: the scheduler that places its tasks on its
 * workers. A grant with a higher number supersedes all earlier ones.
 */
struct stewardship {
    process_id steward;
    epoch number;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(steward, number);
    }
};

/** Record of an idempotency key: the request that reserved it and, once known, its response. */
struct key_record {
    std::string digest;
    request_id reservation;
    process_id entry;
    wall_time expires;
    std::optional<wire::recorded_response> answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(digest, reservation, entry, expires, answer);
    }
};

using key_name = std::tuple<owner_id, service_id, idempotency_key>;

/** The outcome of a catalogue write; returned again when the same request is resent. */
struct recorded_write {
    request_id id;
    /** Digest of the document in the request. */
    std::string digest;
    wire::command_response outcome;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, digest, outcome);
    }
};

/** A finished task and the time when it finished. */
struct finished_task {
    task_id id;
    wall_time finished;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, finished);
    }
};

/** The replicated state. Voters that have applied the same commands have the same state. */
struct ledger_state {
    /** Catalogue versions, oldest first; the last one is in force. Limited by state_limits. */
    std::vector<wire::catalogue_document> catalogue_history;
    /** The version in force, parsed. Not in the snapshot: derived from its document. */
    catalogue entries;
    /** All open tasks, and finished ones as long as state_limits allows. */
    std::map<task_id, wire::task_record> tasks;
    std::map<failure_domain_id, stewardship> stewardships;
    std::map<key_name, key_record> keys;
    /** Number of keys of each owner. Not in the snapshot: derived from `keys`. */
    std::map<owner_id, std::size_t> keys_per_owner;
    std::deque<recorded_write> writes;
    /** Finished tasks, in the order in which they finished. */
    std::deque<finished_task> finished;
    /** All open jobs, and ended ones as long as state_limits allows. */
    std::map<submission_id, wire::job_record> jobs;
    /** Ended jobs, in the order in which they ended. */
    std::deque<submission_id> ended_jobs;
    /**
     * When jobs were cancelled that the ledger does not know. Their submissions may still be on the
     * way and are refused. Limited by state_limits.
     */
    std::map<submission_id, wall_time> cancelled_submissions;
    /** The queues in force; version 0 until queues are first published. */
    wire::publish_queues queues;
    /** Every worker that may be running a task of a job. */
    std::map<worker_id, wire::worker_record> workers;
    /**
     * Time by which records age: that of the latest expire_records command. The state machine's
     * only clock.
     */
    wall_time clock;
    /**
     * Latest submission time of a finished task that was removed early. A start submitted at or
     * before it is refused unless its task is still stored: the task may have finished already.
     */
    wall_time latest_removed_submission;
};

/** What one applied command changed, so that subscribers need not scan the whole state. */
struct applied_change {
    log_index index;
    std::vector<task_id> tasks;
    bool catalogue{false};
    bool stewardships{false};
    std::vector<submission_id> jobs;
    bool queues{false};
    bool workers{false};
};

} // namespace galenaturn::ledger
