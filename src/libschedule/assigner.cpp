#include "assigner.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

constexpr std::chrono::seconds grant_retry_interval{2};

queue_key make_queue_position(const assigner_state& assigner, const wire::task_record& record)
{
    const auto job = assigner.jobs.find(record.job);
    return make_queue_key(record,
                          job == assigner.jobs.end() ? duration{} : job->second.expected_run_time);
}

void remove_from_domain(assigner_state& assigner, const assigner_task& task)
{
    auto& domain = assigner.domains[task.record.domain];
    const auto held = domain.task_holds.find(task.record.id);
    if (held == domain.task_holds.end())
        return;
    domain.holds.erase({held->second, task.record.id});
    domain.task_holds.erase(held);
    if (--domain.tasks_per_job[task.record.job] == 0)
        domain.tasks_per_job.erase(task.record.job);
    assigner.owners[task.record.owner].used -= task.record.demand;
}

void add_to_domain(assigner_state& assigner, const wire::task_record& record, log_index index)
{
    auto& domain = assigner.domains[record.domain];
    const auto hold = effective_hold(assigner.terms, record.hold);
    domain.task_holds[record.id] = hold;
    domain.holds.insert({hold, record.id});
    ++domain.tasks_per_job[record.job];
    assigner.owners[record.owner].used += record.demand;
    domain.unreported_assignments.emplace_back(index, record.demand);
    domain.unreported_demand += record.demand;
}

/** Removes the task from all queues and resource sums. */
void detach(assigner_state& assigner, assigner_task& task)
{
    if (task.queued)
        assigner.owners[task.record.owner].waiting.erase(task.queue_position);
    task.queued = false;
    if (task.record.phase == wire::task_phase::assigned)
        remove_from_domain(assigner, task);
    if (task.proposed) {
        assigner.domains[task.proposed_domain].proposed_demand -= task.record.demand;
        if (task.record.phase == wire::task_phase::pending)
            assigner.owners[task.record.owner].used -= task.record.demand;
    }
    task.proposed = false;
}

bool may_replace_steward(const assigner_state& assigner, const domain_view& domain, time_point now)
{
    const auto silent_since = std::max(domain.last_heartbeat_at, assigner.leading_since);
    if (domain.succession_possible)
        return now > silent_since + grantor_span(assigner.terms, assigner.terms.stewardship_limit);
    if (domain.holds.empty())
        return true;
    return now > silent_since + grantor_span(assigner.terms, domain.holds.rbegin()->first);
}

void on_load_report(domain_view& domain, const steward_heartbeat& beat)
{
    domain.load = beat.load;
    while (!domain.unreported_assignments.empty() &&
           domain.unreported_assignments.front().first <= beat.applied_index) {
        domain.unreported_demand -= domain.unreported_assignments.front().second;
        domain.unreported_assignments.pop_front();
    }
}

void propose_grant(assigner_state& assigner, domain_view& domain, const steward_heartbeat& beat,
                   time_point now, heartbeat_decision& decision)
{
    if (domain.proposed_incarnation == beat.process_incarnation &&
        now < domain.grant_proposed_at + grant_retry_interval)
        return;
    domain.proposed_incarnation = beat.process_incarnation;
    domain.grant_proposed_at = now;
    ++assigner.counters.grants;
    decision.grant = wire::grant_stewardship{beat.domain, beat.process, domain.stewardship};
}

} // namespace

double dominant_share(const resources& used, const resources& whole)
{
    const auto part = [](std::int64_t share, std::int64_t all) {
        return all <= 0 ? 0.0 : static_cast<double>(share) / static_cast<double>(all);
    };
    return std::max({part(used.processors.value(), whole.processors.value()),
                     part(used.memory.value(), whole.memory.value()),
                     part(used.accelerators.value(), whole.accelerators.value())});
}

void begin_leading(assigner_state& assigner, time_point now)
{
    assigner.leading = true;
    assigner.leading_since = now;
    for (auto& [id, domain] : assigner.domains) {
        domain.granted_incarnation.reset();
        domain.proposed_incarnation.reset();
        domain.last_heartbeat_at = time_point{};
    }
}

void end_leading(assigner_state& assigner)
{
    assigner.leading = false;
}

void on_catalogue(assigner_state& assigner, const catalogue& entries)
{
    assigner.jobs = entries.jobs;
    for (auto& [id, owner] : assigner.owners)
        owner.quota.reset();
    for (const auto& [id, entry] : entries.owners) {
        assigner.owners[id].weight = entry.weight;
        assigner.owners[id].quota = entry.quota;
    }
}

void on_task_record(assigner_state& assigner, const task_id& id, const wire::task_record* record,
                    log_index index, time_point now)
{
    const auto found = assigner.tasks.find(id);
    if (found != assigner.tasks.end()) {
        auto& task = found->second;
        const bool unchanged = record != nullptr && record->phase == task.record.phase &&
                               record->assignment == task.record.assignment;
        if (unchanged) {
            task.record = *record;
            return;
        }
        detach(assigner, task);
    }
    if (record == nullptr || record->phase == wire::task_phase::finished) {
        if (found != assigner.tasks.end())
            assigner.tasks.erase(found);
        return;
    }
    auto& task = assigner.tasks[id];
    const auto from = task.record.domain;
    const bool returned = task.record.phase == wire::task_phase::assigned &&
                          record->phase == wire::task_phase::pending;
    if (returned)
        ++task.returns_per_domain[from];
    task.record = *record;
    if (record->phase == wire::task_phase::assigned) {
        add_to_domain(assigner, *record, index);
        return;
    }
    task.pending_since = now;
    task.oversized_since = time_point{};
    task.queue_position = make_queue_position(assigner, *record);
    task.queued = true;
    assigner.owners[record->owner].waiting.insert(task.queue_position);
}

void on_stewardship(assigner_state& assigner, const failure_domain_id& domain,
                    const process_id& steward, epoch number)
{
    auto& view = assigner.domains[domain];
    if (view.stewardship == number)
        return;
    const bool granted_here = view.proposed_incarnation.has_value() &&
                              view.proposed_steward == steward && number == view.stewardship.next();
    view.granted_incarnation = granted_here ? view.proposed_incarnation : std::nullopt;
    view.proposed_incarnation.reset();
    view.steward = steward;
    view.stewardship = number;
}

heartbeat_decision on_steward_heartbeat(assigner_state& assigner, const steward_heartbeat& beat,
                                        time_point now)
{
    heartbeat_decision decision;
    auto& domain = assigner.domains[beat.domain];
    const bool outdated = beat.process == domain.steward &&
                          (beat.process_incarnation < domain.steward_incarnation ||
                           (beat.process_incarnation == domain.steward_incarnation &&
                            beat.number <= domain.heartbeat));
    if (outdated || !assigner.leading) {
        ++assigner.counters.heartbeats_refused;
        return decision;
    }
    decision.response = steward_heartbeat_response{beat.number, epoch{}};
    const bool is_current_steward = domain.steward == beat.process;
    if (!is_current_steward && !domain.steward.empty() &&
        !may_replace_steward(assigner, domain, now))
        return decision;
    if (is_current_steward && domain.granted_incarnation == beat.process_incarnation) {
        domain.steward_incarnation = beat.process_incarnation;
        domain.heartbeat = beat.number;
        domain.last_heartbeat_at = now;
        on_load_report(domain, beat);
        decision.response->stewardship = domain.stewardship;
        return decision;
    }
    domain.proposed_steward = beat.process;
    propose_grant(assigner, domain, beat, now, decision);
    return decision;
}

} // namespace galenaturn::schedule
