#include "assigner.h"
#include "faileddemands.h"

#include <algorithm>
#include <limits>

namespace galenaturn::schedule {

namespace {

using std::chrono::seconds;

/** Domains whose steward has sent no heartbeat for longer get no new tasks. */
constexpr seconds silent_steward_limit{3};
/**
 * Share of a domain's capacity that may be assigned beyond its free capacity, so that tasks are
 * already waiting there when capacity becomes free.
 */
constexpr double backlog_capacity_share = 0.05;
/** Maximum number of an owner's waiting tasks that are considered at a time. */
constexpr std::size_t max_considered_tasks = 64;
/**
 * Maximum number of times that an owner with an assignable task is passed over, per known owner.
 */
constexpr std::uint64_t passed_over_limit_per_owner = 16;
/**
 * How long a task waits for a worker with enough free capacity before it is assigned to a domain
 * that must make capacity available for it.
 */
constexpr seconds large_task_wait{5};
/**
 * A task that seems to fit on no worker is assigned after this time, because only the stewards know
 * every worker.
 */
constexpr seconds oversized_task_wait{30};
constexpr double same_job_cost = 0.1;
constexpr double returned_cost = 1.0;

resources scaled(const resources& amount, double factor)
{
    const auto scale = [factor](std::int64_t value) {
        return static_cast<std::int64_t>(static_cast<double>(value) * factor);
    };
    return {millicores{scale(amount.processors.value())}, bytes{scale(amount.memory.value())},
            accelerator_count{scale(amount.accelerators.value())}};
}

bool is_silent(const domain_view& domain, time_point now)
{
    return !domain.granted_incarnation || now > domain.last_heartbeat_at + silent_steward_limit;
}

/**
 * Returns how much demand can still be assigned to the domain. Assignments that its reported load
 * does not include yet are deducted.
 */
resources available(const domain_view& domain)
{
    return domain.load.free + scaled(domain.load.capacity, backlog_capacity_share) -
           domain.load.waiting_demand - domain.unreported_demand - domain.proposed_demand;
}

struct domain_choice {
    domain_view* domain{nullptr};
    failure_domain_id id;
    pending_reason refusal{pending_reason::no_domain};
};

/** Returns `none` if the task may be assigned to the domain now, or else why not. */
pending_reason check_domain(const assigner_task& task, const domain_view& domain, time_point now)
{
    if (is_silent(domain, now))
        return pending_reason::no_domain;
    const auto& demand = task.record.demand;
    if (!fits(demand, domain.load.largest_worker)) {
        // The stewards compare the task with each worker and park it if it fits on none.
        const bool assign_anyway = domain.load.workers > 0 &&
                                   task.oversized_since != time_point{} &&
                                   now >= task.oversized_since + oversized_task_wait;
        return assign_anyway ? pending_reason::none : pending_reason::fits_no_worker;
    }
    const bool may_preempt = task.record.urgent && domain.load.waiting < domain.load.workers;
    if (may_preempt)
        return pending_reason::none;
    if (!fits(demand, available(domain)))
        return pending_reason::no_capacity;
    const bool fits_now = fits(demand, domain.load.largest_free);
    const bool may_wait = now < task.pending_since + large_task_wait;
    return fits_now || !may_wait ? pending_reason::none : pending_reason::no_capacity;
}

double domain_cost(const assigner_task& task, const failure_domain_id& id,
                   const domain_view& domain)
{
    const auto remaining = available(domain) - task.record.demand;
    double cost = dominant_share(domain.load.capacity - remaining, domain.load.capacity);
    if (task.record.task_class != work_class::batch) {
        const auto same = domain.tasks_per_job.find(task.record.job);
        if (same != domain.tasks_per_job.end())
            cost += same_job_cost * static_cast<double>(same->second);
    }
    // Domains that returned the task before are tried last.
    const auto returned = task.returns_per_domain.find(id);
    if (returned != task.returns_per_domain.end())
        cost += returned_cost * returned->second;
    return cost;
}

domain_choice choose_domain(assigner_state& assigner, const assigner_task& task, time_point now)
{
    domain_choice choice;
    double lowest_cost = std::numeric_limits<double>::max();
    for (auto& [id, domain] : assigner.domains) {
        const auto refusal = check_domain(task, domain, now);
        if (refusal != pending_reason::none) {
            if (choice.domain == nullptr && refusal != pending_reason::no_domain &&
                choice.refusal != pending_reason::no_capacity)
                choice.refusal = refusal;
            continue;
        }
        const auto cost = domain_cost(task, id, domain);
        if (cost >= lowest_cost)
            continue;
        lowest_cost = cost;
        choice = {&domain, id, pending_reason::none};
    }
    return choice;
}

/** One assignment pass over the owners' queues. */
class assignment_pass {
public:
    assignment_pass(assigner_state& assigner, time_point now) : assigner_{assigner}, now_{now}
    {
        for (const auto& [id, domain] : assigner.domains) {
            if (!is_silent(domain, now))
                whole_ += domain.load.capacity;
        }
    }

    /**
     * Assigns tasks, always continuing with the owner that has the smallest weighted share; with
     * `urgent_only` only urgent tasks.
     */
    void run(std::size_t limit, bool urgent_only, wire::assign_tasks& chosen)
    {
        std::set<std::pair<double, owner_id>> order;
        for (const auto& [id, owner] : assigner_.owners) {
            if (!owner.waiting.empty())
                order.insert({weighted_share(owner), id});
        }
        while (!order.empty() && chosen.items.size() < limit) {
            const auto next = choose_owner(order);
            const auto id = next->second;
            order.erase(next);
            auto& owner = assigner_.owners[id];
            if (!assign_next(owner, urgent_only, chosen))
                continue;
            count_passed_over(id, order);
            if (!owner.waiting.empty())
                order.insert({weighted_share(owner), id});
        }
    }

private:
    using share_order = std::set<std::pair<double, owner_id>>;

    [[nodiscard]] double weighted_share(const owner_view& owner) const
    {
        return dominant_share(owner.used, whole_) / std::max(owner.weight, 1e-9);
    }

    [[nodiscard]] std::uint64_t max_passed_over() const
    {
        return passed_over_limit_per_owner * std::max<std::size_t>(assigner_.owners.size(), 1);
    }

    /**
     * Returns a starving owner, which was passed over too often, or else the owner with the
     * smallest share.
     */
    share_order::iterator choose_owner(share_order& order)
    {
        const auto starving = std::find_if(order.begin(), order.end(), [this](const auto& entry) {
            return assigner_.owners[entry.second].passed_over_count >= max_passed_over();
        });
        if (starving == order.end())
            return order.begin();
        ++assigner_.counters.overtake_limit_reached;
        return starving;
    }

    void count_passed_over(const owner_id& assigned, const share_order& order)
    {
        assigner_.owners[assigned].passed_over_count = 0;
        for (const auto& [share, id] : order) {
            auto& owner = assigner_.owners[id];
            ++owner.passed_over_count;
            GN_INVARIANT(owner.passed_over_count <= max_passed_over() + assigner_.owners.size(),
                         {"owner", id}, {"passed_over", owner.passed_over_count});
        }
    }

    bool assign_next(owner_view& owner, bool urgent_only, wire::assign_tasks& chosen)
    {
        std::size_t considered = 0;
        for (const auto& position : owner.waiting) {
            if (++considered > max_considered_tasks || (urgent_only && position.rank != 0))
                break;
            auto& task = assigner_.tasks.at(position.id);
            const auto refusal = try_assign(owner, task, chosen);
            task.blocking_reason = refusal;
            if (refusal != pending_reason::fits_no_worker)
                task.oversized_since = time_point{};
            else if (task.oversized_since == time_point{})
                task.oversized_since = now_;
            if (refusal == pending_reason::none)
                return true;
            ++assigner_.counters.refusals[static_cast<std::size_t>(refusal)];
        }
        // No task of this owner can be assigned now, so the owner is not being passed over.
        owner.passed_over_count = 0;
        return false;
    }

    pending_reason try_assign(owner_view& owner, assigner_task& task, wire::assign_tasks& chosen)
    {
        const auto& demand = task.record.demand;
        if (owner.quota && !fits(owner.used + demand, *owner.quota))
            return pending_reason::quota;
        const bool may_wait = !task.record.urgent && now_ < task.pending_since + large_task_wait;
        if (may_wait && failed_demands_.covers(demand))
            return pending_reason::no_capacity;
        const auto choice = choose_domain(assigner_, task, now_);
        if (choice.domain == nullptr) {
            if (may_wait && choice.refusal == pending_reason::no_capacity)
                failed_demands_.add(demand);
            return choice.refusal;
        }
        chosen.items.push_back({task.record.id, choice.id, task.record.assignment, epoch{}});
        choice.domain->proposed_demand += demand;
        task.proposed = true;
        task.proposed_domain = choice.id;
        task.queued = false;
        owner.used += demand;
        owner.waiting.erase(task.queue_position);
        ++assigner_.counters.assigned;
        return pending_reason::none;
    }

    assigner_state& assigner_;
    time_point now_;
    resources whole_;
    failed_demands failed_demands_;
};

} // namespace

wire::assign_tasks assign_pending(assigner_state& assigner, std::size_t limit, time_point now)
{
    wire::assign_tasks chosen;
    if (!assigner.leading)
        return chosen;
    assignment_pass pass{assigner, now};
    pass.run(limit, true, chosen);
    pass.run(limit, false, chosen);
    return chosen;
}

wire::assign_tasks reassign_from_silent_domains(assigner_state& assigner, std::size_t limit,
                                                time_point now)
{
    wire::assign_tasks chosen;
    if (!assigner.leading)
        return chosen;
    for (auto& [id, domain] : assigner.domains) {
        const auto silent_since = std::max(domain.last_heartbeat_at, assigner.leading_since);
        for (const auto& [hold, held_task] : domain.holds) {
            if (now <= silent_since + grantor_span(assigner.terms, hold) ||
                chosen.items.size() >= limit)
                break;
            auto& task = assigner.tasks.at(held_task);
            if (task.proposed)
                continue;
            const auto choice = choose_domain(assigner, task, now);
            if (choice.domain == nullptr || choice.id == id)
                continue;
            // The silent steward gets no response until it holds a later stewardship.
            domain.granted_incarnation.reset();
            domain.proposed_incarnation.reset();
            chosen.items.push_back(
                {held_task, choice.id, task.record.assignment, domain.stewardship});
            choice.domain->proposed_demand += task.record.demand;
            task.proposed = true;
            task.proposed_domain = choice.id;
            ++assigner.counters.moved;
        }
    }
    return chosen;
}

void on_proposal_failed(assigner_state& assigner, const wire::assign_tasks& proposal)
{
    for (const auto& item : proposal.items) {
        const auto found = assigner.tasks.find(item.id);
        if (found == assigner.tasks.end() || !found->second.proposed)
            continue;
        auto& task = found->second;
        task.proposed = false;
        assigner.domains[task.proposed_domain].proposed_demand -= task.record.demand;
        if (task.record.phase != wire::task_phase::pending)
            continue;
        auto& owner = assigner.owners[task.record.owner];
        owner.used -= task.record.demand;
        owner.waiting.insert(task.queue_position);
        task.queued = true;
    }
}

const char* to_string(pending_reason reason)
{
    switch (reason) {
    case pending_reason::none:
        return "none";
    case pending_reason::quota:
        return "quota";
    case pending_reason::no_domain:
        return "no_domain";
    case pending_reason::no_capacity:
        return "no_capacity";
    case pending_reason::fits_no_worker:
        return "fits_no_worker";
    case pending_reason::count:
        break;
    }
    return "invalid";
}

} // namespace galenaturn::schedule
