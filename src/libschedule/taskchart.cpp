#include "taskchart.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

worker_entry* worker_of(task_event_context& context)
{
    const auto found = context.steward.workers.find(context.task.worker);
    return found == context.steward.workers.end() ? nullptr : &found->second;
}

bool is_service(const task_entry& task)
{
    return task.record.task_class == work_class::interactive;
}

void mark_response_due(task_event_context& context)
{
    if (auto* worker = worker_of(context))
        worker->response_due = true;
}

void reserve(task_event_context& context)
{
    auto* worker = worker_of(context);
    GN_INVARIANT(worker != nullptr, {"task", context.task.record.id});
    context.steward.queue.erase(context.task.queue_position);
    worker->reserved += context.task.reserved;
    GN_INVARIANT(worker->tasks.insert(context.task.record.id).second,
                 {"task", context.task.record.id}, {"worker", worker->id});
    context.task.rack_index = worker->rack_index;
    ++worker->tasks_per_job[context.task.record.job];
    worker->service_count += is_service(context.task) ? 1 : 0;
    auto& tasks_per_rack = context.steward.job_tasks_per_rack[context.task.record.job];
    tasks_per_rack.resize(std::max(tasks_per_rack.size(), context.task.rack_index + 1));
    ++tasks_per_rack[context.task.rack_index];
    context.task.blocking_reason = wait_reason::none;
    context.task.started = context.now;
    worker->response_due = true;
    worker->earliest_lease_end = std::min(worker->earliest_lease_end, context.task.lease_until);
    update_capacity_index(context.steward, *worker);
}

void free_reservation(task_event_context& context)
{
    auto* worker = worker_of(context);
    GN_INVARIANT(worker != nullptr, {"task", context.task.record.id});
    GN_INVARIANT(worker->tasks.erase(context.task.record.id) == 1,
                 {"task", context.task.record.id});
    worker->reserved -= context.task.reserved;
    if (--worker->tasks_per_job[context.task.record.job] == 0)
        worker->tasks_per_job.erase(context.task.record.job);
    worker->service_count -= is_service(context.task) ? 1 : 0;
    --context.steward.job_tasks_per_rack[context.task.record.job][context.task.rack_index];
    GN_INVARIANT(fits({}, worker->reserved), {"worker", worker->id});
    context.task.throttled_to = {};
    context.task.full_speed_repeated_until = {};
    context.task.worker = worker_id{};
    context.steward.placement_due = true;
    update_capacity_index(context.steward, *worker);
}

duration run_time_of(const task_event_context& context)
{
    const auto job = context.steward.jobs.find(context.task.record.job);
    const auto declared =
        job == context.steward.jobs.end() ? duration{} : job->second.expected_run_time;
    return expected_run_time(context.steward.sizes, context.task.record.job, declared);
}

void order_full_speed(task_event_context& context)
{
    context.task.throttled_to = {};
    repeat_full_speed(context.steward, context.task, context.now);
    mark_response_due(context);
}

void enqueue(task_event_context& context)
{
    context.task.waiting_since = context.now;
    context.task.blocking_reason = wait_reason::none;
    context.task.queue_position = make_queue_key(context.task.record, run_time_of(context));
    context.steward.queue.insert(context.task.queue_position);
    context.steward.placement_due = true;
}

/**
 * Queues a report of the task's outcome, unless the ledger has withdrawn the task from this domain.
 */
void report(task_event_context& context, wire::task_outcome outcome, const std::string& reason)
{
    context.steward.queue.erase(context.task.queue_position);
    if (context.task.withdrawn) {
        context.steward.ended_withdrawn_tasks.push_back(context.task.record.id);
        return;
    }
    GN_INVARIANT(context.task.outcome == wire::task_outcome::none,
                 {"task", context.task.record.id});
    context.task.outcome = outcome;
    auto& item = context.steward.pending_reports[context.task.record.id];
    item.id = context.task.record.id;
    item.assignment = context.task.record.assignment;
    item.outcome = outcome;
    item.checkpoint = context.task.record.checkpoint;
    item.reason = reason;
    item.worker = context.task.record.worker;
}

void report_end(task_event_context& context)
{
    const auto outcome = context.task.record.cancel_requested ? wire::task_outcome::cancelled
                                                              : wire::task_outcome::stopped;
    report(context, outcome, "requested by an operator");
}

void report_release(task_event_context& context)
{
    if (context.task.withdrawn)
        return;
    report(context, wire::task_outcome::none, context.task.outcome_reason);
    context.steward.pending_reports[context.task.record.id].released = true;
    ++context.steward.counters.tasks_released;
}

const chart_actions<task_event_context>& task_actions()
{
    static const chart_actions<task_event_context> actions{
        {"reserve", reserve},
        {"free", free_reservation},
        {"enqueue", enqueue},
        {"note_start", [](task_event_context& context) { context.task.started = context.now; }},
        {"order_stop", mark_response_due},
        {"order_checkpoint", mark_response_due},
        {"order_throttle", mark_response_due},
        {"order_full_speed", order_full_speed},
        {"report_end", report_end},
        {"report_success",
         [](task_event_context& context) {
             report(context, wire::task_outcome::succeeded, "succeeded");
         }},
        {"report_failure",
         [](task_event_context& context) {
             report(context, wire::task_outcome::failed, context.task.outcome_reason);
         }},
        {"report_parked",
         [](task_event_context& context) {
             report(context, wire::task_outcome::parked, context.task.outcome_reason);
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
    task_event_context context{steward, task, now};
    return static_cast<bool>(
        apply_event(*steward.chart, task_actions(), task.state, event, context));
}

void repeat_full_speed(const steward_state& steward, task_entry& task, time_point now)
{
    // Only batch work is throttled.
    if (is_service(task))
        return;
    task.full_speed_repeated_until = now + grantor_span(steward.terms, steward.terms.worker_lease);
}

void enqueue_task(steward_state& steward, task_entry& task, time_point now)
{
    task_event_context context{steward, task, now};
    enqueue(context);
}

bool has_reservation(const task_entry& task)
{
    return !task.worker.empty();
}

void update_capacity_index(steward_state& steward, const worker_entry& worker)
{
    const bool unavailable = worker.silent || worker.leaving || worker.health.quarantined ||
                             !worker.reserved_for_task.empty();
    constexpr resources nothing_free{millicores{-1}, bytes{-1}, accelerator_count{-1}};
    steward.index.set(worker.slot, unavailable ? nothing_free : worker.capacity - worker.reserved);
}

} // namespace galenaturn::schedule
