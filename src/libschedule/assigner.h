#pragma once

#include "leaseterms.h"
#include "stewardmessages.h"
#include "stewardstate.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::schedule {

/** Why a pending task is not assigned to a failure domain. */
enum class pending_reason : std::uint8_t {
    none,
    quota,
    no_domain,
    no_capacity,
    fits_no_worker,
    count
};

const char* to_string(pending_reason reason);

/** An unfinished task, as tracked by the assigner. */
struct assigner_task {
    wire::task_record record;
    queue_key queue_position;
    bool queued{false};
    /** Whether an assignment was proposed to the ledger and is not yet applied. */
    bool proposed{false};
    failure_domain_id proposed_domain;
    /** How often each domain returned the task. */
    std::map<failure_domain_id, std::uint32_t> returns_per_domain;
    pending_reason blocking_reason{pending_reason::none};
    time_point pending_since;
    time_point oversized_since;
};

/** Quota and resource use of an owner over all domains. */
struct owner_view {
    double weight{1};
    std::optional<resources> quota;
    resources used;
    std::set<queue_key> waiting;
    /** Number of assignments to other owners while this owner had an assignable task. */
    std::uint64_t passed_over_count{0};
};

/** What the leader knows about a failure domain. */
struct domain_view {
    /** The stewardship recorded in the ledger. */
    process_id steward;
    epoch stewardship;
    /** Incarnation of the steward to which this leader granted the stewardship. */
    std::optional<incarnation> granted_incarnation;
    std::optional<incarnation> proposed_incarnation;
    process_id proposed_steward;
    time_point grant_proposed_at;
    time_point last_heartbeat_at;
    heartbeat_number heartbeat;
    incarnation steward_incarnation;
    domain_load load;
    /** Demands of assignments that the last reported load does not yet include, by ledger index. */
    std::deque<std::pair<log_index, resources>> unreported_assignments;
    resources unreported_demand;
    resources proposed_demand;
    std::map<task_id, duration> task_holds;
    std::set<std::pair<duration, task_id>> holds;
    std::map<job_id, std::uint32_t> tasks_per_job;
    bool succession_possible{false};
};

/** Counts since the process started. */
struct assigner_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(pending_reason::count)> refusals{};
    std::uint64_t assigned{0};
    std::uint64_t moved{0};
    std::uint64_t overtake_limit_reached{0};
    std::uint64_t grants{0};
    std::uint64_t heartbeats_refused{0};
};

/**
 * State of the assigner, the scheduler at the ledger's leader, which assigns tasks to failure
 * domains. Modified only through the functions below.
 */
struct assigner_state {
    lease_terms terms;
    bool leading{false};
    time_point leading_since;
    std::map<task_id, assigner_task> tasks;
    std::map<owner_id, owner_view> owners;
    std::map<failure_domain_id, domain_view> domains;
    std::map<job_id, job_entry> jobs;
    assigner_counters counters;
};

/**
 * Starts leading. For domains that have sent this leader no heartbeat, hold times count from now.
 */
void begin_leading(assigner_state& assigner, time_point now);
void end_leading(assigner_state& assigner);
/** Applies the jobs, weights and quotas of the catalogue in force. */
void on_catalogue(assigner_state& assigner, const catalogue& entries);
/** Applies the ledger's record of a task as of command `index`, or null if the ledger has none. */
void on_task_record(assigner_state& assigner, const task_id& id, const wire::task_record* record,
                    log_index index, time_point now);
/** Applies a stewardship recorded in the ledger. */
void on_stewardship(assigner_state& assigner, const failure_domain_id& domain,
                    const process_id& steward, epoch number);

/** How the leader reacts to a heartbeat. */
struct heartbeat_decision {
    /** Empty if no response is sent. */
    std::optional<steward_heartbeat_response> response;
    std::optional<wire::grant_stewardship> grant;
};
heartbeat_decision on_steward_heartbeat(assigner_state& assigner, const steward_heartbeat& beat,
                                        time_point now);

/**
 * Chooses domains for at most `limit` pending tasks within the owners' quotas. Owners are ordered
 * by their weighted dominant shares, the tasks of an owner by urgency, class and latest start.
 */
wire::assign_tasks assign_pending(assigner_state& assigner, std::size_t limit, time_point now);
/** Chooses new domains for tasks whose domain has been silent for longer than their hold time. */
wire::assign_tasks reassign_from_silent_domains(assigner_state& assigner, std::size_t limit,
                                                time_point now);
/**
 * Makes those tasks of the proposal that the ledger did not assign available for assignment again.
 */
void on_proposal_failed(assigner_state& assigner, const wire::assign_tasks& proposal);

/**
 * Returns the largest of the owner's shares of `whole` over all resources (dominant resource
 * fairness).
 */
double dominant_share(const resources& used, const resources& whole);

} // namespace galenaturn::schedule
