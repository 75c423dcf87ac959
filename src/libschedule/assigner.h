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

/** A task that is not finished, as the assigner sees it. */
struct assigner_task {
    wire::task_record record;
    queue_key place;
    bool queued{false};
    /** Proposed to the ledger and not yet applied. */
    bool proposed{false};
    failure_domain_id proposed_domain;
    /** How often each domain gave the task back. */
    std::map<failure_domain_id, std::uint32_t> returned_by;
    pending_reason waits_for{pending_reason::none};
    time_point pending_since;
    time_point unfit_since;
};

/** What an owner may use and uses over all domains. */
struct owner_view {
    double weight{1};
    std::optional<resources> quota;
    resources used;
    std::set<queue_key> waiting;
    /** Assignments of others since this owner's first task could have been assigned. */
    std::uint64_t passed_over{0};
};

/** What the leader knows of a failure domain. */
struct domain_view {
    /** As the ledger says. */
    process_id steward;
    epoch stewardship;
    /** The life of the steward to which this leader granted that stewardship. */
    std::optional<incarnation> granted_life;
    std::optional<incarnation> proposed_life;
    process_id proposed_steward;
    time_point grant_proposed;
    time_point last_heard;
    heartbeat_number heartbeat;
    incarnation life;
    domain_load load;
    /** Assigned since the state that the load was counted in. */
    std::deque<std::pair<log_index, resources>> uncounted;
    resources uncounted_sum;
    resources proposed;
    std::map<task_id, duration> tasks;
    std::set<std::pair<duration, task_id>> holds;
    std::map<job_id, std::uint32_t> jobs;
    bool succession_possible{false};
};

/** Counts since the process started. */
struct assigner_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(pending_reason::count)> refused{};
    std::uint64_t assigned{0};
    std::uint64_t moved{0};
    std::uint64_t overtake_limit_reached{0};
    std::uint64_t grants{0};
    std::uint64_t heartbeats_refused{0};
};

/** All that the assigner at the ledger's leader knows. Changed only by the functions below. */
struct assigner_state {
    lease_terms terms;
    bool leading{false};
    time_point led_since;
    std::map<task_id, assigner_task> tasks;
    std::map<owner_id, owner_view> owners;
    std::map<failure_domain_id, domain_view> domains;
    std::map<job_id, job_entry> jobs;
    assigner_counters counters;
};

/** Begins to lead: every silent domain's holds count from now. */
void begin_leading(assigner_state& assigner, time_point now);
void end_leading(assigner_state& assigner);
/** Takes over what the catalogue in force declares. */
void on_catalogue(assigner_state& assigner, const catalogue& entries);
/** Takes over the ledger's record of a task, or null where it has none, as of command `index`. */
void on_record(assigner_state& assigner, const task_id& id, const wire::task_record* record,
               log_index index, time_point now);
/** Takes over a stewardship of the ledger. */
void on_stewardship(assigner_state& assigner, const failure_domain_id& domain,
                    const process_id& steward, epoch number);

/** What the leader does about a heartbeat. */
struct heartbeat_decision {
    /** Nothing: the heartbeat is not answered. */
    std::optional<steward_heartbeat_answer> answer;
    std::optional<wire::grant_stewardship> grant;
};
heartbeat_decision on_steward_heartbeat(assigner_state& assigner, const steward_heartbeat& beat,
                                        time_point now);

/**
 * Chooses domains for pending tasks, at most `limit`: owners in the order of their weighted
 * dominant shares, an owner's tasks by urgency, class and slack to the deadline, within quotas.
 */
wire::assign_tasks assign_pending(assigner_state& assigner, std::size_t limit, time_point now);
/** Chooses new domains for tasks whose domain was silent for longer than their hold. */
wire::assign_tasks reclaim_silent(assigner_state& assigner, std::size_t limit, time_point now);
/** The ledger did not take the proposal: its tasks may be proposed again. */
void on_proposal_failed(assigner_state& assigner, const wire::assign_tasks& proposal);

/** Returns the share of the whole that the owner uses of the resource it uses most. */
double dominant_share(const resources& used, const resources& whole);

} // namespace galenaturn::schedule
