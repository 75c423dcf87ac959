#pragma once

#include <galenaturn/messages.h>

#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace galenaturn::ledger {

/** Which process places the tasks of a domain. A higher number ends the one before. */
struct stewardship {
    process_id steward;
    epoch number;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(steward, number);
    }
};

/** The key of a non-idempotent request and, once known, its answer. */
struct key_record {
    std::string digest;
    request_id reservation;
    process_id entry;
    wall_time expires;
    std::optional<wire::recorded_answer> answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(digest, reservation, entry, expires, answer);
    }
};

using key_name = std::tuple<owner_id, service_id, idempotency_key>;

/** The outcome of a catalogue write, for a resend of the same request. */
struct recorded_write {
    request_id id;
    /** Of the document that the request carried. */
    std::string digest;
    wire::command_response outcome;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, digest, outcome);
    }
};

/** A finished task and since when, in the order of finishing. */
struct finished_task {
    task_id id;
    wall_time finished;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, finished);
    }
};

/** The replicated state: what every voter has after the same commands. */
struct ledger_state {
    /** Catalogue versions in order; the last one is in force. Bounded; see catalogue_bounds. */
    std::vector<wire::catalogue_document> catalogue_history;
    /** The last version, parsed. Not replicated: derived from its document. */
    catalogue entries;
    /** All open tasks, and finished ones for as long as task_bounds says. */
    std::map<task_id, wire::task_record> tasks;
    std::map<failure_domain_id, stewardship> stewardships;
    std::map<key_name, key_record> keys;
    /** How many keys each owner holds. Not replicated: derived from `keys`. */
    std::map<owner_id, std::size_t> keys_per_owner;
    std::deque<recorded_write> writes;
    std::deque<finished_task> finished;
    /** All open jobs, and ended ones for as long as state_bounds says. */
    std::map<submission_id, wire::job_record> jobs;
    /** Ended jobs in the order of ending. */
    std::deque<submission_id> ended_jobs;
    /** The queues in force; version 0 before the first. */
    wire::publish_queues queues;
    /** Every worker that may hold a run of a job's task. */
    std::map<worker_id, wire::worker_record> workers;
    /** Wall time of the last expire_records; the only clock of the state machine. */
    wall_time clock;
    /** A start submitted no later than this is refused unless its task is still known. */
    wall_time latest_removed_submission;
};

/** What one applied command changed, so that subscribers need not scan the state. */
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
