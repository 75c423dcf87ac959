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

/** Why a task left a worker before its end. */
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

/** Why a task was parked: it can never run as declared. */
enum class park_reason : std::uint8_t { fits_no_worker, out_of_memory, keeps_failing, count };

const char* to_string(eviction_reason reason);
const char* to_string(wait_reason reason);
const char* to_string(park_reason reason);

/** Place of a waiting task in the order of placement. Smaller goes first. */
struct queue_key {
    /** 0 for urgent work, then services, watchers and batch. */
    int rank{0};
    /** When the task must start at the latest. */
    wall_time latest_start;
    task_id id;

    auto operator<=>(const queue_key&) const = default;
};

/** Returns the place of a task that is expected to run for `run_time`. */
queue_key make_queue_key(const wire::task_record& record, duration run_time);

/** A task assigned to this domain, as its steward sees it. */
struct task_entry {
    wire::task_record record;
    /** State of charts/task.yaml. */
    std::string state;
    worker_id worker;
    /** Number of the rack that its reservation is counted for. */
    std::size_t rack{0};
    /** Epoch of the last placement; no older report counts. */
    epoch placement;
    std::uint32_t placements{0};
    /** The worker's life to which the placement was granted; no other one is told to start it. */
    incarnation placed_life;
    /** Whether the worker has listed the placement. */
    bool seen{false};
    /** Where the task stands in the queue while it waits. */
    queue_key place;
    resources reserved;
    /** The worker may run the task no longer than this, by the steward's clock. */
    time_point lease_until;
    /** Not placed before: a predecessor's lease or a pause after a failure. */
    time_point not_before;
    bool inherited{false};
    time_point started;
    /** Whether it began from a checkpoint. */
    bool resumed{false};
    /** Processors the worker may use while throttled. */
    millicores throttled_to;
    bool restore_speed{false};
    /** The ledger no longer has the task here: nothing is reported when it ends. */
    bool dropped{false};
    /** A later assignment of a dropped task to this same domain. */
    std::optional<wire::task_record> successor;
    wait_reason waits_for{wait_reason::none};
    time_point waiting_since;
    std::uint32_t evictions{0};
    time_point last_eviction;
    /** A checkpoint that precedes an eviction is awaited no longer than this. */
    time_point checkpoint_deadline;
    time_point last_checkpoint;
    /** Since when it fits on no worker of the domain, however empty. */
    time_point unfit_since;
    /** What the ledger's record says of why it waits. */
    wait_reason reported_wait{wait_reason::none};
    time_point wait_reported;
    std::uint32_t failures{0};
    std::set<worker_id> failed_on;
    resources used;
    /** End that a predecessor's worker reported, until the predecessor's leases are over. */
    std::optional<wire::worker_task> inherited_end;
    worker_id inherited_end_worker;
    wire::task_outcome outcome{wire::task_outcome::none};
    std::string outcome_reason;
};

/** What a worker's failures say of it. */
struct worker_health {
    /** Failures since the last success here that speak against the worker, not the job. */
    std::uint32_t failures{0};
    bool quarantined{false};
    time_point probe_at;
    duration probe_pause{};
    /** The one task that tests a quarantined worker. */
    task_id probe;
};

/** What a job's failures say of it. */
struct job_evidence {
    /** Workers on which its tasks failed since its last success. */
    std::set<worker_id> failed_on;
    bool succeeded{false};
};

/** Which tasks ran on a worker from some moment on. */
struct occupancy {
    time_point since;
    std::vector<task_id> tasks;
    /** Jobs and owners of the services, and the other tasks as their neighbours. */
    std::vector<job_id> services;
    std::vector<owner_id> owners;
    std::vector<neighbour> neighbours;
};

/** A worker of this domain. */
struct worker_entry {
    worker_id id;
    rack_id rack;
    std::size_t rack_number{0};
    incarnation life;
    heartbeat_number heartbeat;
    time_point received_at;
    resources capacity;
    /** Everything granted and not yet known to have ended. */
    resources reserved;
    std::set<task_id> tasks;
    /** How many of them belong to a job, and how many are services. */
    std::map<job_id, std::uint32_t> jobs;
    std::uint32_t services{0};
    /** Tasks of the last announcement with their epochs. */
    std::map<task_id, epoch> listed;
    /** Listed tasks that the worker must stop: not ours, or of an old epoch. */
    std::map<task_id, epoch> strays;
    bool leaving{false};
    std::size_t slot{0};
    /** Commands wait for the worker's next answer. */
    bool due{false};
    /** Nothing was heard for so long that nothing new is placed here. */
    bool silent{false};
    /** The first of its tasks' leases to end. */
    time_point next_lease_end{time_point::max()};
    worker_health health;
    std::deque<occupancy> history;
    /** Last measured latency in relation to the objective, and what ran then. */
    double latency_ratio{0};
    time_point latency_measured;
    occupancy measured_occupancy;
    std::uint32_t high_samples{0};
    std::uint32_t low_samples{0};
    time_point last_reaction;
    /** The task for which the worker's room is kept, until `held_until`. */
    task_id held_for;
    time_point held_until;
};

/** Counts since the process started, by reason. */
struct steward_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(eviction_reason::count)> evictions{};
    std::array<std::uint64_t, static_cast<std::size_t>(park_reason::count)> parked{};
    std::uint64_t placements{0};
    std::uint64_t placements_refused{0};
    std::uint64_t leases_lapsed{0};
    std::uint64_t stale_reports{0};
    std::uint64_t throttles{0};
    std::uint64_t workers_held{0};
    std::uint64_t quarantines{0};
    std::uint64_t quarantines_capped{0};
    std::uint64_t released{0};
    std::uint64_t out_of_memory{0};
    std::uint64_t task_failures{0};
};

/** All that the steward of one failure domain knows. Changed only by the functions of steward.h. */
struct steward_state {
    failure_domain_id domain;
    lease_terms terms;
    const state_chart* chart{nullptr};
    /** The stewardship held; 0 while the process is not the steward. */
    epoch stewardship;
    /** Sending time of the last heartbeat that a leader acknowledged. */
    time_point acknowledged;
    /** The predecessor's worker leases are over from here on. */
    time_point predecessor_until;
    /** Whether the ends that predecessors' workers reported still wait for that moment. */
    bool inheritance_open{false};
    /** Whether another process of the domain could become steward. */
    bool succession_possible{false};
    /** Jobs and owners as the catalogue in force declares them. */
    std::map<job_id, job_entry> jobs;
    std::map<owner_id, duration> objectives;
    std::map<owner_id, resources> quotas;
    /** How many failure domains there are; a task that fits in none is parked. */
    std::uint32_t domain_count{1};
    /** Whether reactions wait for measurements made after the last one. */
    bool hysteresis{true};
    interference_model interference;
    job_sizes sizes;
    std::map<job_id, job_evidence> evidence;

    std::unordered_map<task_id, task_entry> tasks;
    std::map<worker_id, worker_entry> workers;
    /** The workers by their slots in the index; entries of `workers` never move. */
    std::vector<worker_entry*> slots;
    /** Workers kept for one task, or set aside. */
    std::vector<worker_id> special_workers;
    /** How many tasks of a job are on a rack. */
    std::unordered_map<job_id, std::vector<std::uint32_t>> job_racks;
    /** Numbers of the racks, from 0. */
    std::map<rack_id, std::size_t> racks;
    /** Unknown pairs that are tried on one worker at a time, and until when. */
    std::map<std::pair<job_id, job_id>, time_point> trials;
    capacity_index index;
    std::set<queue_key> queue;
    /** Set when a waiting task may now fit. */
    bool queue_changed{false};
    time_point next_queue_pass;
    time_point next_settling;
    time_point next_wait_report;
    /** Largest amount of each resource that any worker has. */
    resources largest_capacity;
    /** What the ledger must learn, by task; kept until it has accepted it. */
    std::map<task_id, wire::report_tasks::item> reports;
    /** Dropped tasks that have ended and are to be forgotten. */
    std::vector<task_id> ended_drops;
    steward_counters counters;
};

} // namespace galenaturn::schedule
