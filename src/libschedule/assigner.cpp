#include "assigner.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

constexpr std::chrono::seconds grant_retry{2};

queue_key make_place(const assigner_state& assigner, const wire::task_record& record)
{
    const auto job = assigner.jobs.find(record.job);
    return make_queue_key(record,
                          job == assigner.jobs.end() ? duration{} : job->second.expected_run_time);
}

void leave_domain(assigner_state& assigner, const assigner_task& task)
{
    auto& domain = assigner.domains[task.record.domain];
    const auto held = domain.tasks.find(task.record.id);
    if (held == domain.tasks.end())
        return;
    domain.holds.erase({held->second, task.record.id});
    domain.tasks.erase(held);
    if (--domain.jobs[task.record.job] == 0)
        domain.jobs.erase(task.record.job);
    assigner.owners[task.record.owner].used -= task.record.demand;
}

void join_domain(assigner_state& assigner, const wire::task_record& record, log_index index)
{
    auto& domain = assigner.domains[record.domain];
    const auto hold = effective_hold(assigner.terms, record.hold);
    domain.tasks[record.id] = hold;
    domain.holds.insert({hold, record.id});
    ++domain.jobs[record.job];
    assigner.owners[record.owner].used += record.demand;
    domain.uncounted.emplace_back(index, record.demand);
    domain.uncounted_sum += record.demand;
}

/** Removes the task from all queues and resource sums. */
void detach(assigner_state& assigner, assigner_task& task)
{
    if (task.queued)
        assigner.owners[task.record.owner].waiting.erase(task.place);
    task.queued = false;
    if (task.record.phase == wire::task_phase::assigned)
        leave_domain(assigner, task);
    if (task.proposed) {
        assigner.domains[task.proposed_domain].proposed -= task.record.demand;
        if (task.record.phase == wire::task_phase::pending)
            assigner.owners[task.record.owner].used -= task.record.demand;
    }
    task.proposed = false;
}

bool may_succeed(const assigner_state& assigner, const domain_view& domain, time_point now)
{
    const auto heard = std::max(domain.last_heard, assigner.led_since);
    if (domain.succession_possible)
        return now > heard + grantor_span(assigner.terms, assigner.terms.stewardship_limit);
    if (domain.holds.empty())
        return true;
    return now > heard + grantor_span(assigner.terms, domain.holds.rbegin()->first);
}

void count_load(domain_view& domain, const steward_heartbeat& beat)
{
    domain.load = beat.load;
    while (!domain.uncounted.empty() && domain.uncounted.front().first <= beat.applied) {
        domain.uncounted_sum -= domain.uncounted.front().second;
        domain.uncounted.pop_front();
    }
}

void propose_grant(assigner_state& assigner, domain_view& domain, const steward_heartbeat& beat,
                   time_point now, heartbeat_decision& decision)
{
    if (domain.proposed_life == beat.life && now < domain.grant_proposed + grant_retry)
        return;
    domain.proposed_life = beat.life;
    domain.grant_proposed = now;
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
    assigner.led_since = now;
    for (auto& [id, domain] : assigner.domains) {
        domain.granted_life.reset();
        domain.proposed_life.reset();
        domain.last_heard = time_point{};
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

void on_record(assigner_state& assigner, const task_id& id, const wire::task_record* record,
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
        ++task.returned_by[from];
    task.record = *record;
    if (record->phase == wire::task_phase::assigned) {
        join_domain(assigner, *record, index);
        return;
    }
    task.pending_since = now;
    task.unfit_since = time_point{};
    task.place = make_place(assigner, *record);
    task.queued = true;
    assigner.owners[record->owner].waiting.insert(task.place);
}

void on_stewardship(assigner_state& assigner, const failure_domain_id& domain,
                    const process_id& steward, epoch number)
{
    auto& view = assigner.domains[domain];
    if (view.stewardship == number)
        return;
    const bool granted_here = view.proposed_life.has_value() && view.proposed_steward == steward &&
                              number == view.stewardship.next();
    view.granted_life = granted_here ? view.proposed_life : std::nullopt;
    view.proposed_life.reset();
    view.steward = steward;
    view.stewardship = number;
}

heartbeat_decision on_steward_heartbeat(assigner_state& assigner, const steward_heartbeat& beat,
                                        time_point now)
{
    heartbeat_decision decision;
    auto& domain = assigner.domains[beat.domain];
    const bool late =
        beat.process == domain.steward &&
        (beat.life < domain.life || (beat.life == domain.life && beat.number <= domain.heartbeat));
    if (late || !assigner.leading) {
        ++assigner.counters.heartbeats_refused;
        return decision;
    }
    decision.answer = steward_heartbeat_answer{beat.number, epoch{}};
    const bool known = domain.steward == beat.process;
    if (!known && !domain.steward.empty() && !may_succeed(assigner, domain, now))
        return decision;
    if (known && domain.granted_life == beat.life) {
        domain.life = beat.life;
        domain.heartbeat = beat.number;
        domain.last_heard = now;
        count_load(domain, beat);
        decision.answer->stewardship = domain.stewardship;
        return decision;
    }
    domain.proposed_steward = beat.process;
    propose_grant(assigner, domain, beat, now, decision);
    return decision;
}

} // namespace galenaturn::schedule
