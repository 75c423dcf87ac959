#pragma once

#include "commands.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaturn::wire {

/** State that an upstream announces. Each announcement replaces the previous one. */
struct upstream_announcement {
    upstream_id id;
    service_id service;
    failure_domain_id domain;
    rack_id rack;
    ip_endpoint address;
    incarnation incarnation_number;
    /** Sequence number within an incarnation; outdated announcements (lower numbers) are ignored.
     */
    std::uint64_t sequence{0};
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    std::uint32_t busy_slots{0};
    bool leaving{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, service, domain, rack, address, incarnation_number, sequence, slots,
                connections, busy_slots, leaving);
    }
};

/** State of a task on its worker. */
enum class worker_task_state : std::uint8_t {
    starting,
    running,
    checkpointing,
    stopped,
    succeeded,
    failed,
    out_of_memory,
    evicted,
};

/** One task in a worker's report. */
struct worker_task {
    task_id id;
    epoch assignment;
    worker_task_state state{worker_task_state::starting};
    std::optional<checkpoint_id> checkpoint;
    resources used;
    std::string reason;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, assignment, state, checkpoint, used, reason);
    }
};

/** State that a worker announces; also the heartbeat that renews its leases. */
struct worker_announcement {
    worker_id id;
    failure_domain_id domain;
    rack_id rack;
    incarnation incarnation_number;
    heartbeat_number heartbeat;
    resources capacity;
    std::vector<worker_task> tasks;
    /** Age of the usage data when the announcement is sent. */
    duration usage_age{};
    /** 99th percentile of the latency of the service tasks that run on the worker. */
    duration service_latency{};
    bool leaving{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, domain, rack, incarnation_number, heartbeat, capacity, tasks, usage_age,
                service_latency, leaving);
    }
};

enum class worker_command_kind : std::uint8_t { start, renew, throttle, checkpoint, stop };

/** A command to a worker. The worker rejects it if it has seen a higher epoch of the task. */
struct worker_command {
    worker_command_kind kind{worker_command_kind::renew};
    task_id id;
    epoch assignment;
    job_id job;
    resources demand;
    /** Only for `start`: the checkpoint from which the task resumes. */
    std::optional<checkpoint_id> checkpoint;
    /** Only for `throttle`: the new processor limit of the task. */
    millicores processors;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, id, assignment, job, demand, checkpoint, processors);
    }
};

/**
 * Response to a worker's heartbeat. Each task named under `renew` or `start` may run until
 * `lease` after the time at which the worker sent heartbeat number `heartbeat`.
 */
struct worker_response {
    heartbeat_number heartbeat;
    epoch stewardship;
    duration lease{};
    std::vector<worker_command> commands;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(heartbeat, stewardship, lease, commands);
    }
};

/** First message on a connection between galenaturn processes. */
struct hello {
    process_id process;
    failure_domain_id domain;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(process, domain);
    }
};

const char* to_string(worker_task_state state);
const char* to_string(worker_command_kind kind);

} // namespace galenaturn::wire
