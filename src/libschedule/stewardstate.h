#pragma once

#include "capacityindex.h"
#include "interference.h"
#include "jobsizes.h"
#include "leaseterms.h"
#include "stewardmessages.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenaturn::schedule {

/** Why a task was removed from a worker before it finished. */
enum class eviction_reason : std::uint8_t {
    service_tail,
    urgent_work,
    worker_lost,
    worker_leaving,
    worker_evicted,
    moved_by_ledger,
    count
};

/** Why a waiting task is not placed. */
enum class wait_reason : std::uint8_t {
    none,
    no_worker,
    no_capacity,
    would_slow_service,
    hold_ending,
    predecessor_lease,
    backing_off,
    fits_no_worker,
    count
};

/** Why a task was parked (given up permanently): it can never run as declared. */
enum class park_reason : std::uint8_t { fits_no_worker, out_of_memory, keeps_failing, count };

const char* to_string(eviction_reason reason);
const char* to_string(wait_reason reason);
const char* to_string(park_reason reason);

/** Position of a waiting task in the placement queue. Smaller keys are placed first. */
struct queue_key {
    /** 0 for urgent tasks, 1 for services, 2 for watchers, 3 for batch tasks. */
    int rank{0};
    /** Latest time at which the task should start. */
    wall_time latest_start;
    task_id id;

    auto operator<=>(const queue_key&) const = default;
};

/** Returns the queue position of a task that is expected to run for `run_time`. */
queue_key make_queue_key(const wire::task_record& record, duration run_time);

/** A task assigned to this domain, as tracked by the steward. */
struct task_entry {
    wire::task_record record;
    /** State of charts/task.yaml. */
    std::string state;
    worker_id worker;
    /** Index of the rack in which its reservation is counted. */
    std::size_t rack_index{0};
    /** Epoch of the last placement; reports with an older epoch are ignored. */
    epoch placement;
    std::uint32_t placement_count{0};
    /**
     * Incarnation of the worker for which the placement was made; the start command is sent to no
     * other incarnation.
     */
    incarnation placed_incarnation;
    /** Whether the worker has reported the placement in an announcement. */
    bool confirmed{false};
    /** Position in the placement queue while the task waits. */
    queue_key queue_position;
    resources reserved;
    /** When the worker's lease for the task expires, on the steward's clock. */
    time_point lease_until;
    /**
     * Earliest time of the next placement: after a previous steward's leases, or after the backoff
     * that follows a failure.
     */
    time_point not_before;
    bool inherited{false};
    time_point started;
    /** Whether the current placement started from a checkpoint. */
    bool resumed{false};
    /** Processors that the task may use while it is throttled. */
    millicores throttled_to;
    /**
     * Until then each response says that the task may run at full speed. A worker that gets none
     * of them ends the task with its lease.
     */
    time_point full_speed_repeated_until;
    /** The ledger no longer assigns the task to this domain: its end is not reported. */
    bool withdrawn{false};
    /** A later assignment to this same domain, applied once the withdrawn task has ended. */
    std::optional<wire::task_record> next_assignment;
    wait_reason blocking_reason{wait_reason::none};
    time_point waiting_since;
    std::uint32_t evictions{0};
    time_point last_eviction;
    /** When to evict the task even if the checkpoint requested before the eviction is missing. */
    time_point checkpoint_deadline;
    time_point last_checkpoint;
    /** Since when the task is larger than every worker of the domain. */
    time_point oversized_since;
    /** The wait reason last reported to the ledger. */
    wait_reason reported_wait_reason{wait_reason::none};
    time_point wait_reported_at;
    std::uint32_t failures{0};
    std::set<worker_id> failed_on;
    resources used;
    /**
     * Outcome reported for a placement of a previous steward. Applied only after that steward's
     * leases have expired.
     */
    std::optional<wire::worker_task> inherited_outcome;
    worker_id inherited_outcome_worker;
    wire::task_outcome outcome{wire::task_outcome::none};
    std::string outcome_reason;
};

/** Failure count and quarantine state of a worker. */
struct worker_health {
    /**
     * Task failures on the worker since its last success, without those attributed to a faulty job.
     */
    std::uint32_t failures{0};
    bool quarantined{false};
    time_point probe_at;
    duration probe_delay{};
    /**
     * The only task that may run on the worker while it is quarantined, to test whether it works
     * again.
     */
    task_id probe_task;
};

/** Failures of a job, used to tell a faulty job from faulty workers. */
struct job_failure_history {
    /** Workers on which tasks of the job failed since its last success. */
    std::set<worker_id> failed_on;
    bool succeeded{false};
};

/** The tasks that run on a worker from `since` on. */
struct occupancy {
    time_point since;
    std::vector<task_id> tasks;
    /** Jobs and owners of the services among the tasks, and the other tasks as their neighbours. */
    std::vector<job_id> service_jobs;
    std::vector<owner_id> service_owners;
    std::vector<neighbour> neighbours;
};

/** A worker of this domain, as tracked by the steward. */
struct worker_entry {
    worker_id id;
    rack_id rack;
    std::size_t rack_index{0};
    incarnation last_incarnation;
    heartbeat_number heartbeat;
    time_point heartbeat_received_at;
    resources capacity;
    /** Sum of the reservations of all placements not yet known to have ended. */
    resources reserved;
    std::set<task_id> tasks;
    /** Number of these tasks for each job, and number of services among them. */
    std::map<job_id, std::uint32_t> tasks_per_job;
    std::uint32_t service_count{0};
    /** Placements in the worker's last announcement, by task. */
    std::map<task_id, epoch> reported_tasks;
    /**
     * Reported placements that the worker must stop or forget: unknown to this steward, or
     * superseded by a later epoch.
     */
    std::map<task_id, epoch> orphans;
    bool leaving{false};
    std::size_t slot{0};
    /** Whether there are commands that should be sent without waiting for the response deadline. */
    bool response_due{false};
    /** No heartbeat arrived for so long that no new tasks are placed on the worker. */
    bool silent{false};
    /** Earliest lease end among the worker's tasks. */
    time_point earliest_lease_end{time_point::max()};
    worker_health health;
    std::deque<occupancy> occupancy_history;
    /**
     * Last measured service latency divided by its objective, and the tasks that ran at that time.
     */
    double latency_ratio{0};
    time_point latency_measured_at;
    occupancy measured_occupancy;
    std::uint32_t consecutive_high_samples{0};
    std::uint32_t consecutive_low_samples{0};
    time_point last_reaction;
    /**
     * The only task that may be placed on the worker until `reserved_until`; empty if there is
     * none.
     */
    task_id reserved_for_task;
    time_point reserved_until;
};

/** Counts since the process started. */
struct steward_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(eviction_reason::count)> evictions{};
    std::array<std::uint64_t, static_cast<std::size_t>(park_reason::count)> parked{};
    std::uint64_t placements{0};
    std::uint64_t placements_refused{0};
    std::uint64_t leases_expired{0};
    std::uint64_t stale_reports{0};
    std::uint64_t throttles{0};
    std::uint64_t workers_reserved{0};
    std::uint64_t quarantines{0};
    std::uint64_t quarantines_over_cap{0};
    std::uint64_t tasks_released{0};
    std::uint64_t out_of_memory{0};
    std::uint64_t task_failures{0};
};

/**
 * State of the steward, the scheduler of one failure domain, which places its tasks on its workers.
 * Modified only through the functions of steward.h.
 */
struct steward_state {
    failure_domain_id domain;
    lease_terms terms;
    const state_chart* chart{nullptr};
    /** The stewardship held; 0 while the process is not the steward. */
    epoch stewardship;
    /** When the last heartbeat that a leader acknowledged was sent. */
    time_point acknowledged_send_time;
    /** When the leases granted by the previous steward have expired. */
    time_point predecessor_leases_end;
    /** Whether outcomes of the previous steward's placements are still held back until then. */
    bool inherited_outcomes_pending{false};
    /** Whether the domain has another control process that could become steward. */
    bool succession_possible{false};
    /** Jobs, and latency objectives and quotas of owners, from the catalogue in force. */
    std::map<job_id, job_entry> jobs;
    std::map<owner_id, duration> latency_objectives;
    std::map<owner_id, resources> quotas;
    /** Number of failure domains. A task that was too large for each of them is parked. */
    std::uint32_t domain_count{1};
    /**
     * Whether to react only to measurements made after the last reaction, and only after several in
     * a row. Disabled in benchmarks for comparison.
     */
    bool hysteresis{true};
    interference_model interference;
    job_sizes sizes;
    std::map<job_id, job_failure_history> job_failures;

    std::unordered_map<task_id, task_entry> tasks;
    std::map<worker_id, worker_entry> workers;
    /**
     * Workers by their slot in `index`. The pointers stay valid because map entries do not move.
     */
    std::vector<worker_entry*> workers_by_slot;
    /** Workers that are reserved for one task or quarantined. */
    std::vector<worker_id> restricted_workers;
    /** Number of tasks of a job on each rack, by rack index. */
    std::unordered_map<job_id, std::vector<std::uint32_t>> job_tasks_per_rack;
    /** Indexes of the racks, from 0. */
    std::map<rack_id, std::size_t> rack_indexes;
    /**
     * Pairs of a service job and another job whose interference is unknown, with the end of the
     * current colocation trial. A pair is tried on one worker at a time.
     */
    std::map<std::pair<job_id, job_id>, time_point> colocation_trials;
    capacity_index index;
    std::set<queue_key> queue;
    /** Set when a waiting task may have become placeable. */
    bool placement_due{false};
    time_point next_placement_pass;
    time_point next_unplaced_pass;
    time_point next_wait_report;
    /** Largest capacity of each resource that any worker has announced. */
    resources largest_capacity;
    /** Reports that the ledger has not yet accepted, by task. */
    std::map<task_id, wire::report_tasks::item> pending_reports;
    /** Withdrawn tasks that have ended and can be erased. */
    std::vector<task_id> ended_withdrawn_tasks;
    steward_counters counters;
};

} // namespace galenaturn::schedule
