#include "statesnapshot.h"

#include "statemachine.h"

#include <cereal/types/deque.hpp>

#include <array>

namespace galenaturn::ledger {

namespace {

struct snapshot_header {
    std::uint32_t version{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version);
    }
};

constexpr std::size_t header_size = sizeof(std::uint32_t);

struct snapshot_v1 {
    std::vector<wire::catalogue_document> catalogue_history;
    std::vector<wire::task_record> tasks;
    std::map<failure_domain_id, stewardship> stewardships;
    struct key {
        owner_id owner;
        service_id service;
        idempotency_key name;
        key_record record;

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(owner, service, name, record);
        }
    };
    std::vector<key> keys;
    std::deque<recorded_write> writes;
    std::deque<finished_task> finished;
    wall_time clock;
    wall_time latest_removed_submission;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(catalogue_history, tasks, stewardships, keys, writes, finished, clock,
                latest_removed_submission);
    }
};

/** A job as of version 2: without the crashes under its tasks. */
struct job_v2 {
    wire::job_record job;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(job.id, job.queue, job.spec, job.submitted, job.phase, job.ended, job.tasks);
    }
};

/** A job as of version 3: without the numbers of its failed runs. */
struct job_v3 {
    wire::job_record job;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(job.id, job.queue, job.spec, job.submitted, job.phase, job.ended, job.tasks,
                job.crashes);
    }
};

/**
 * The content of version 1, followed by jobs, queues and workers. Version 2 with job_v2, version 3
 * with job_v3, version 4 with wire::job_record.
 */
template <class Job>
struct snapshot_with_jobs {
    snapshot_v1 v1;
    std::vector<Job> jobs;
    std::deque<submission_id> ended_jobs;
    wire::publish_queues queues;
    std::vector<wire::worker_record> workers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(v1, jobs, ended_jobs, queues, workers);
    }
};

/** The content of version 4, followed by the cancelled submissions. */
struct snapshot_v5 {
    snapshot_with_jobs<wire::job_record> v4;
    std::map<submission_id, wall_time> cancelled_submissions;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(v4, cancelled_submissions);
    }
};

/**
 * Returns whether each entry of `finished` names a stored task that is finished. A snapshot with a
 * valid checksum may still be inconsistent.
 */
bool consistent(const ledger_state& state)
{
    for (const auto& entry : state.finished) {
        const auto task = state.tasks.find(entry.id);
        if (task == state.tasks.end() || task->second.phase != wire::task_phase::finished)
            return false;
    }
    return true;
}

void fill_derived_members(ledger_state& state)
{
    findings found;
    state.entries = parse_catalogue(catalogue_in_force(state).document, "catalogue", found);
    for (const auto& [name, record] : state.keys)
        ++state.keys_per_owner[std::get<owner_id>(name)];
}

result<ledger_state> to_state(snapshot_v1& snapshot)
{
    ledger_state state;
    state.catalogue_history = std::move(snapshot.catalogue_history);
    for (auto& task : snapshot.tasks)
        state.tasks.emplace(task.id, std::move(task));
    state.stewardships = std::move(snapshot.stewardships);
    for (auto& key : snapshot.keys)
        state.keys.emplace(key_name{key.owner, key.service, key.name}, std::move(key.record));
    state.writes = std::move(snapshot.writes);
    state.finished = std::move(snapshot.finished);
    state.clock = snapshot.clock;
    state.latest_removed_submission = snapshot.latest_removed_submission;
    if (!consistent(state))
        return make_error_code(ledger_error::corrupted);
    fill_derived_members(state);
    return state;
}

result<ledger_state> read_v1(std::string_view body)
{
    auto decoded = wire::decode<snapshot_v1>(body);
    if (!decoded)
        return make_error_code(ledger_error::corrupted);
    return to_state(decoded.value());
}

wire::job_record& record_of(job_v2& job)
{
    return job.job;
}

wire::job_record& record_of(job_v3& job)
{
    return job.job;
}

wire::job_record& record_of(wire::job_record& job)
{
    return job;
}

template <class Job>
result<ledger_state> to_state(snapshot_with_jobs<Job>& snapshot)
{
    auto state = to_state(snapshot.v1);
    if (!state)
        return state;
    for (auto& stored : snapshot.jobs) {
        auto& job = record_of(stored);
        state.value().jobs.emplace(job.id, std::move(job));
    }
    state.value().ended_jobs = std::move(snapshot.ended_jobs);
    state.value().queues = std::move(snapshot.queues);
    for (auto& worker : snapshot.workers)
        state.value().workers.emplace(worker.id, std::move(worker));
    return state;
}

template <class Job>
result<ledger_state> read_with_jobs(std::string_view body)
{
    auto decoded = wire::decode<snapshot_with_jobs<Job>>(body);
    if (!decoded)
        return make_error_code(ledger_error::corrupted);
    return to_state(decoded.value());
}

result<ledger_state> read_v5(std::string_view body)
{
    auto decoded = wire::decode<snapshot_v5>(body);
    if (!decoded)
        return make_error_code(ledger_error::corrupted);
    auto state = to_state(decoded.value().v4);
    if (state)
        state.value().cancelled_submissions = std::move(decoded.value().cancelled_submissions);
    return state;
}

} // namespace

std::string encode_snapshot(const ledger_state& state)
{
    snapshot_v1 snapshot;
    snapshot.catalogue_history = state.catalogue_history;
    snapshot.tasks.reserve(state.tasks.size());
    for (const auto& [id, task] : state.tasks)
        snapshot.tasks.push_back(task);
    snapshot.stewardships = state.stewardships;
    for (const auto& [name, record] : state.keys)
        snapshot.keys.push_back({std::get<owner_id>(name), std::get<service_id>(name),
                                 std::get<idempotency_key>(name), record});
    snapshot.writes = state.writes;
    snapshot.finished = state.finished;
    snapshot.clock = state.clock;
    snapshot.latest_removed_submission = state.latest_removed_submission;
    snapshot_v5 latest;
    auto& whole = latest.v4;
    whole.v1 = std::move(snapshot);
    whole.jobs.reserve(state.jobs.size());
    for (const auto& [id, job] : state.jobs)
        whole.jobs.push_back(job);
    whole.ended_jobs = state.ended_jobs;
    whole.queues = state.queues;
    for (const auto& [id, worker] : state.workers)
        whole.workers.push_back(worker);
    latest.cancelled_submissions = state.cancelled_submissions;
    return wire::encode(snapshot_header{snapshot_version}) + wire::encode(latest);
}

std::uint32_t read_snapshot_version(std::string_view snapshot)
{
    const auto header = wire::decode<snapshot_header>(snapshot.substr(0, header_size));
    return header ? header.value().version : 0;
}

result<ledger_state> decode_snapshot(std::string_view snapshot)
{
    const auto version = read_snapshot_version(snapshot);
    if (version == 0)
        return make_error_code(ledger_error::corrupted);
    if (version == snapshot_version)
        return read_v5(snapshot.substr(header_size));
    if (version == 4)
        return read_with_jobs<wire::job_record>(snapshot.substr(header_size));
    if (version == 3)
        return read_with_jobs<job_v3>(snapshot.substr(header_size));
    if (version == 2)
        return read_with_jobs<job_v2>(snapshot.substr(header_size));
    if (version == 1)
        return read_v1(snapshot.substr(header_size));
    return make_error_code(ledger_error::unknown_snapshot_version);
}

} // namespace galenaturn::ledger
