#include "stateimage.h"

#include "statemachine.h"

#include <cereal/types/deque.hpp>

#include <array>

namespace galenaturn::ledger {

namespace {

struct image_header {
    std::uint32_t version{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version);
    }
};

constexpr std::size_t header_size = sizeof(std::uint32_t);

struct image_v1 {
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
    wall_time forgotten_until;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(catalogue_history, tasks, stewardships, keys, writes, finished, clock,
                forgotten_until);
    }
};

/** What version 2 adds behind the parts of version 1. */
struct image_v2 {
    image_v1 tasks;
    std::vector<wire::job_record> jobs;
    std::deque<submission_id> ended_jobs;
    wire::publish_queues queues;
    std::vector<wire::worker_record> workers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(tasks, jobs, ended_jobs, queues, workers);
    }
};

/** Returns whether the parts agree with each other; bytes that pass a checksum may still not. */
bool consistent(const ledger_state& state)
{
    for (const auto& entry : state.finished) {
        const auto task = state.tasks.find(entry.id);
        if (task == state.tasks.end() || task->second.phase != wire::task_phase::finished)
            return false;
    }
    return true;
}

void derive(ledger_state& state)
{
    findings found;
    state.entries = parse_catalogue(catalogue_in_force(state).document, "catalogue", found);
    for (const auto& [name, record] : state.keys)
        ++state.keys_held[std::get<owner_id>(name)];
}

result<ledger_state> to_state(image_v1& image)
{
    ledger_state state;
    state.catalogue_history = std::move(image.catalogue_history);
    for (auto& task : image.tasks)
        state.tasks.emplace(task.id, std::move(task));
    state.stewardships = std::move(image.stewardships);
    for (auto& key : image.keys)
        state.keys.emplace(key_name{key.owner, key.service, key.name}, std::move(key.record));
    state.writes = std::move(image.writes);
    state.finished = std::move(image.finished);
    state.clock = image.clock;
    state.forgotten_until = image.forgotten_until;
    if (!consistent(state))
        return make_error_code(ledger_error::corrupted);
    derive(state);
    return state;
}

result<ledger_state> read_v1(std::string_view body)
{
    auto decoded = wire::decode<image_v1>(body);
    if (!decoded)
        return make_error_code(ledger_error::corrupted);
    return to_state(decoded.value());
}

result<ledger_state> read_v2(std::string_view body)
{
    auto decoded = wire::decode<image_v2>(body);
    if (!decoded)
        return make_error_code(ledger_error::corrupted);
    auto& image = decoded.value();
    auto state = to_state(image.tasks);
    if (!state)
        return state;
    for (auto& job : image.jobs)
        state.value().jobs.emplace(job.id, std::move(job));
    state.value().ended_jobs = std::move(image.ended_jobs);
    state.value().queues = std::move(image.queues);
    for (auto& worker : image.workers)
        state.value().workers.emplace(worker.id, std::move(worker));
    return state;
}

} // namespace

std::string write_image(const ledger_state& state)
{
    image_v1 image;
    image.catalogue_history = state.catalogue_history;
    image.tasks.reserve(state.tasks.size());
    for (const auto& [id, task] : state.tasks)
        image.tasks.push_back(task);
    image.stewardships = state.stewardships;
    for (const auto& [name, record] : state.keys)
        image.keys.push_back({std::get<owner_id>(name), std::get<service_id>(name),
                              std::get<idempotency_key>(name), record});
    image.writes = state.writes;
    image.finished = state.finished;
    image.clock = state.clock;
    image.forgotten_until = state.forgotten_until;
    image_v2 whole;
    whole.tasks = std::move(image);
    whole.jobs.reserve(state.jobs.size());
    for (const auto& [id, job] : state.jobs)
        whole.jobs.push_back(job);
    whole.ended_jobs = state.ended_jobs;
    whole.queues = state.queues;
    for (const auto& [id, worker] : state.workers)
        whole.workers.push_back(worker);
    return wire::encode(image_header{image_version}) + wire::encode(whole);
}

std::uint32_t version_of_image(std::string_view image)
{
    const auto header = wire::decode<image_header>(image.substr(0, header_size));
    return header ? header.value().version : 0;
}

result<ledger_state> read_image(std::string_view image)
{
    const auto version = version_of_image(image);
    if (version == 0)
        return make_error_code(ledger_error::corrupted);
    if (version == image_version)
        return read_v2(image.substr(header_size));
    if (version == 1)
        return read_v1(image.substr(header_size));
    return make_error_code(ledger_error::unknown_image_version);
}

} // namespace galenaturn::ledger
