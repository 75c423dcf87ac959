#include "clustersimulation.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration worker_tick = milliseconds{100};
constexpr double failure_probability = 0.002;
constexpr double out_of_memory_probability = 0.0005;
constexpr double checkpoint_probability = 0.02;

} // namespace

void cluster_simulation::tick_worker(worker_site& site)
{
    if (!site.worker.up)
        return;
    site.worker.advance(local_time(site.clock_rate), worker_tick);
    end_runs(site);
}

void cluster_simulation::end_runs(worker_site& site)
{
    const auto runs = site.worker.runs();
    for (const auto& [id, run] : runs) {
        if (!is_active(run))
            continue;
        const auto needed = work_needed_.at(id);
        if (needed != duration{} && run.work_done >= needed)
            site.worker.end_run(id, wire::worker_task_state::succeeded);
        else if (faults_enabled_ && chance(failure_probability))
            site.worker.end_run(id, wire::worker_task_state::failed);
        else if (faults_enabled_ && chance(out_of_memory_probability))
            site.worker.end_run(id, wire::worker_task_state::out_of_memory);
        else if (chance(checkpoint_probability))
            site.worker.request_checkpoint(id);
    }
}

void cluster_simulation::send_worker_heartbeat(worker_site& site)
{
    if (!site.worker.up)
        return;
    const auto announced = site.worker.announce(local_time(site.clock_rate));
    if (site.disconnected)
        return;
    send([this, announced, control_index = site.control_index] {
        receive_announcement(*controls_[control_index], announced);
    });
}

void cluster_simulation::on_worker_response(worker_site& site, const wire::worker_response& reply,
                                            incarnation incarnation_number)
{
    if (!site.worker.up || site.disconnected ||
        site.worker.worker_incarnation != incarnation_number)
        return;
    const auto now = local_time(site.clock_rate);
    for (const auto& id : site.worker.on_worker_response(reply, now)) {
        const auto& run = site.worker.runs().at(id);
        const auto placed = started_on_.emplace(std::pair{id, run.placement}, site.worker.id);
        GN_INVARIANT(placed.first->second == site.worker.id, {"seed", options_.seed}, {"task", id},
                     {"epoch", run.placement});
        if (placed.second) {
            ++counts_.starts;
            const auto checkpointed = assigned_progress_.at({id, assignment_of(run.placement)});
            GN_INVARIANT(checkpoint_progress(run.checkpoint) >= checkpointed,
                         {"seed", options_.seed}, {"task", id});
        }
        // The lease must expire on the worker before the steward that granted it considers it
        // expired.
        const auto& control = *controls_[site.control_index];
        const auto entry = control.steward.tasks.find(id);
        if (!control.up || entry == control.steward.tasks.end() ||
            entry->second.placement != run.placement || !has_reservation(entry->second))
            continue;
        const auto remaining_on_worker =
            static_cast<double>((run.lease_until - now).count()) / site.clock_rate;
        const auto remaining_on_steward =
            static_cast<double>(
                (entry->second.lease_until - local_time(control.clock_rate)).count()) /
            control.clock_rate;
        GN_INVARIANT(remaining_on_worker <= remaining_on_steward, {"seed", options_.seed},
                     {"task", id});
    }
}

void cluster_simulation::start_faults()
{
    const auto inject_repeatedly = [this](duration max_interval,
                                          void (cluster_simulation::*fault)()) {
        for (duration when = random_span({}, max_interval); when < options_.fault_period;
             when += random_span(milliseconds{1}, max_interval))
            schedule_at(when, [this, fault] { (this->*fault)(); });
    };
    inject_repeatedly(seconds{50}, &cluster_simulation::crash_control);
    inject_repeatedly(seconds{30}, &cluster_simulation::crash_worker);
    inject_repeatedly(seconds{60}, &cluster_simulation::partition_domain);
    inject_repeatedly(seconds{40}, &cluster_simulation::disconnect_worker);
    inject_repeatedly(seconds{30}, &cluster_simulation::cancel_random_tasks);
    schedule_at(options_.fault_period, [this] { end_faults(); });
}

void cluster_simulation::crash_control()
{
    auto& control = *controls_[random_() % controls_.size()];
    if (!control.up)
        return;
    ++counts_.steward_crashes;
    control.up = false;
    end_stewardship(control.steward);
    end_leading(control.assigner);
    control.deferred_responses.clear();
    control.granted = epoch{};
    schedule_at(now_ + random_span(milliseconds{200}, seconds{20}), [&control] {
        control.up = true;
        control.incarnation_number = control.incarnation_number.next();
        control.heartbeat = heartbeat_number{};
    });
}

void cluster_simulation::crash_worker()
{
    auto& site = *workers_[random_() % workers_.size()];
    if (!site.worker.up)
        return;
    ++counts_.worker_crashes;
    site.worker.crash();
    schedule_at(now_ + random_span(milliseconds{200}, seconds{15}),
                [&site] { site.worker.up = true; });
}

void cluster_simulation::partition_domain()
{
    const auto domain = random_() % domain_partitioned_.size();
    ++counts_.partitions;
    domain_partitioned_[domain] = true;
    schedule_at(now_ + random_span(seconds{1}, seconds{90}),
                [this, domain] { domain_partitioned_[domain] = false; });
}

void cluster_simulation::disconnect_worker()
{
    auto& site = *workers_[random_() % workers_.size()];
    site.disconnected = true;
    schedule_at(now_ + random_span(seconds{1}, seconds{20}),
                [&site] { site.disconnected = false; });
}

void cluster_simulation::cancel_random_tasks()
{
    for (const auto& [id, record] : committed_.tasks) {
        if (!chance(0.02) || leader() == nullptr)
            continue;
        if (record.task_class == work_class::watcher)
            commit(wire::stop_task{id});
        else
            commit(wire::cancel_task{id});
    }
}

/** Removes all faults, and later stops the watchers, which would run indefinitely. */
void cluster_simulation::end_faults()
{
    faults_enabled_ = false;
    std::fill(domain_partitioned_.begin(), domain_partitioned_.end(), false);
    for (auto& site : workers_)
        site->disconnected = false;
    schedule_at(now_ + seconds{30}, [this] {
        for (const auto& [id, record] : committed_.tasks) {
            if (record.task_class == work_class::watcher)
                commit(wire::stop_task{id});
        }
    });
}

void cluster_simulation::check_invariants()
{
    std::map<task_id, worker_id> workers_by_task;
    for (const auto& site : workers_) {
        for (const auto& [id, run] : site->worker.runs()) {
            // A run ends when its lease expires, even between two steps of its worker.
            if (!is_active(run) || local_time(site->clock_rate) >= run.lease_until)
                continue;
            const auto inserted = workers_by_task.emplace(id, site->worker.id);
            GN_INVARIANT(inserted.second, {"seed", options_.seed}, {"task", id},
                         {"first", inserted.first->second}, {"second", site->worker.id});
        }
    }
    counts_.finished = 0;
    for (const auto& [id, record] : committed_.tasks)
        counts_.finished += record.phase == wire::task_phase::finished ? 1 : 0;
}

void cluster_simulation::check_quotas() const
{
    std::map<owner_id, resources> used;
    for (const auto& [id, record] : committed_.tasks) {
        if (record.phase == wire::task_phase::assigned)
            used[record.owner] += record.demand;
    }
    for (const auto& [owner, sum] : used)
        GN_INVARIANT(fits(sum, catalogue_.owners.at(owner).quota), {"seed", options_.seed},
                     {"owner", owner}, {"processors", sum.processors});
}

} // namespace galenaturn::schedule
