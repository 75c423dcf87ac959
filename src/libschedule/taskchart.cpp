#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

worker_entry* worker_of(task_step& step)
{
    const auto found = step.steward.workers.find(step.task.worker);
    return found == step.steward.workers.end() ? nullptr : &found->second;
}

bool is_service(const task_entry& task)
{
    return task.record.task_class == work_class::interactive;
}

void wake_worker(task_step& step)
{
    if (auto* worker = worker_of(step))
        worker->due = true;
}

void reserve(task_step& step)
{
    auto* worker = worker_of(step);
    GN_INVARIANT(worker != nullptr, {"task", step.task.record.id});
    step.steward.queue.erase(step.task.place);
    worker->reserved += step.task.reserved;
    GN_INVARIANT(worker->tasks.insert(step.task.record.id).second, {"task", step.task.record.id},
                 {"worker", worker->id});
    step.task.rack = worker->rack_number;
    ++worker->jobs[step.task.record.job];
    worker->services += is_service(step.task) ? 1 : 0;
    auto& racks = step.steward.job_racks[step.task.record.job];
    racks.resize(std::max(racks.size(), step.task.rack + 1));
    ++racks[step.task.rack];
    step.task.waits_for = wait_reason::none;
    step.task.started = step.now;
    worker->due = true;
    worker->next_lease_end = std::min(worker->next_lease_end, step.task.lease_until);
    update_index(step.steward, *worker);
}

void free_reservation(task_step& step)
{
    auto* worker = worker_of(step);
    GN_INVARIANT(worker != nullptr, {"task", step.task.record.id});
    GN_INVARIANT(worker->tasks.erase(step.task.record.id) == 1, {"task", step.task.record.id});
    worker->reserved -= step.task.reserved;
    if (--worker->jobs[step.task.record.job] == 0)
        worker->jobs.erase(step.task.record.job);
    worker->services -= is_service(step.task) ? 1 : 0;
    --step.steward.job_racks[step.task.record.job][step.task.rack];
    GN_INVARIANT(fits({}, worker->reserved), {"worker", worker->id});
    step.task.throttled_to = {};
    step.task.restore_speed = false;
    step.task.worker = worker_id{};
    step.steward.queue_changed = true;
    update_index(step.steward, *worker);
}

duration run_time_of(const task_step& step)
{
    const auto job = step.steward.jobs.find(step.task.record.job);
    const auto declared =
        job == step.steward.jobs.end() ? duration{} : job->second.expected_run_time;
    return expected_run_time(step.steward.sizes, step.task.record.job, declared);
}

void enqueue(task_step& step)
{
    step.task.waiting_since = step.now;
    step.task.waits_for = wait_reason::none;
    step.task.place = make_queue_key(step.task.record, run_time_of(step));
    step.steward.queue.insert(step.task.place);
    step.steward.queue_changed = true;
}

/**
 * Queues a report of the task's outcome, unless the ledger has withdrawn the task from this domain.
 */
void report(task_step& step, wire::task_outcome outcome, const std::string& reason)
{
    step.steward.queue.erase(step.task.place);
    if (step.task.dropped) {
        step.steward.ended_drops.push_back(step.task.record.id);
        return;
    }
    GN_INVARIANT(step.task.outcome == wire::task_outcome::none, {"task", step.task.record.id});
    step.task.outcome = outcome;
    auto& item = step.steward.reports[step.task.record.id];
    item.id = step.task.record.id;
    item.assignment = step.task.record.assignment;
    item.outcome = outcome;
    item.checkpoint = step.task.record.checkpoint;
    item.reason = reason;
    item.worker = step.task.record.worker;
}

void report_end(task_step& step)
{
    const auto outcome = step.task.record.cancel_requested ? wire::task_outcome::cancelled
                                                           : wire::task_outcome::stopped;
    report(step, outcome, "requested by an operator");
}

void report_release(task_step& step)
{
    if (step.task.dropped)
        return;
    report(step, wire::task_outcome::none, step.task.outcome_reason);
    step.steward.reports[step.task.record.id].released = true;
    ++step.steward.counters.released;
}

const chart_actions<task_step>& task_actions()
{
    static const chart_actions<task_step> actions{
        {"reserve", reserve},
        {"free", free_reservation},
        {"enqueue", enqueue},
        {"note_start", [](task_step& step) { step.task.started = step.now; }},
        {"order_stop", wake_worker},
        {"order_checkpoint", wake_worker},
        {"order_throttle", wake_worker},
        {"order_full_speed",
         [](task_step& step) {
             step.task.throttled_to = {};
             step.task.restore_speed = true;
             wake_worker(step);
         }},
        {"report_end", report_end},
        {"report_success",
         [](task_step& step) { report(step, wire::task_outcome::succeeded, "succeeded"); }},
        {"report_failure",
         [](task_step& step) {
             report(step, wire::task_outcome::failed, step.task.outcome_reason);
         }},
        {"report_parked",
         [](task_step& step) {
             report(step, wire::task_outcome::parked, step.task.outcome_reason);
         }},
        {"report_release", report_release},
    };
    return actions;
}

} // namespace

state_chart load_task_chart(const std::string& folder, findings& found)
{
    return load_chart(folder, "task", action_names(task_actions()), found);
}

bool apply_task_event(steward_state& steward, task_entry& task, std::string_view event,
                      time_point now)
{
    task_step step{steward, task, now};
    return static_cast<bool>(apply_event(*steward.chart, task_actions(), task.state, event, step));
}

void enqueue_task(steward_state& steward, task_entry& task, time_point now)
{
    task_step step{steward, task, now};
    enqueue(step);
}

bool on_worker(const task_entry& task)
{
    return !task.worker.empty();
}

void update_index(steward_state& steward, const worker_entry& worker)
{
    const bool closed =
        worker.silent || worker.leaving || worker.health.quarantined || !worker.held_for.empty();
    constexpr resources nothing{millicores{-1}, bytes{-1}, accelerator_count{-1}};
    steward.index.set(worker.slot, closed ? nothing : worker.capacity - worker.reserved);
}

} // namespace galenaturn::schedule
