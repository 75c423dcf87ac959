#include "applycommands.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

using wire::command_status;
using wire::job_phase;
using wire::job_record;

void end_job(apply_context& context, job_record& job, job_phase phase, wall_time now)
{
    job.phase = phase;
    job.ended = now;
    // Only the outcome of an ended job is needed; free the rest.
    job.spec.text.clear();
    job.spec.text.shrink_to_fit();
    std::vector<wire::task_progress>{}.swap(job.tasks);
    job.crashes.clear();
    job.failed_runs.clear();
    context.state.ended_jobs.push_back(job.id);
}

/** Records the cancelling, so that a submission that arrives later is refused. */
wire::command_response cancel_unknown_job(ledger_state& state, const wire::cancel_job& body)
{
    const bool recorded = state.cancelled_submissions.contains(body.id);
    if (!recorded && !can_cancel_unknown_job(state))
        return make_response(command_status::unavailable, "too many unknown jobs were cancelled");
    state.cancelled_submissions[body.id] = std::max(state.clock, body.now);
    return make_response(command_status::rejected, "no such job");
}

bool all_succeeded(const job_record& job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(),
                       [](const auto& task) { return task.succeeded; });
}

/** Marks a task as succeeded; for a gang, the success of any member counts for all members. */
void mark_succeeded(job_record& job, const wire::task_ref& ref, std::size_t position)
{
    const auto& step = job.spec.steps[ref.step];
    if (!step.gang) {
        job.tasks[position].succeeded = true;
        return;
    }
    const auto first = position - ref.index;
    for (auto member = first; member < first + step.count; ++member)
        job.tasks[member].succeeded = true;
}

/** Returns whether the failure of the run was counted already, as far as is known. */
bool is_counted(const wire::task_progress& task, const std::vector<std::uint32_t>& failed_runs,
                std::uint32_t run)
{
    if (std::find(failed_runs.begin(), failed_runs.end(), run) != failed_runs.end())
        return true;
    return failed_runs.size() < task.failures && run <= task.last_run;
}

void record_completion(apply_context& context, job_record& job,
                       const wire::record_completions::item& item, wall_time now)
{
    const auto position = wire::position_of(job.spec, item.task);
    if (job.phase != job_phase::open || !position)
        return;
    const auto& step = job.spec.steps[item.task.step];
    // A gang fails and succeeds as a whole; its runs and failures are counted at its first member.
    const auto counted_at = step.gang ? *position - item.task.index : *position;
    auto& task = job.tasks[counted_at];
    if (task.succeeded)
        return;
    const bool long_running = step.long_running;
    if (!item.succeeded && !long_running) {
        // Failures may be listed several times, and later than those of later runs.
        auto& failed_runs = job.failed_runs[static_cast<std::uint32_t>(counted_at)];
        if (is_counted(task, failed_runs, item.run))
            return;
        failed_runs.push_back(item.run);
        ++task.failures;
    }
    // The checkpoint of an older run has less of the work.
    if (!item.checkpoint.empty() && item.run >= task.last_run)
        task.checkpoint = item.checkpoint;
    task.last_run = std::max(task.last_run, item.run);
    if (item.succeeded && !long_running)
        mark_succeeded(job, item.task, *position);
    context.change.jobs.push_back(job.id);
    if (!item.succeeded && !long_running && task.failures >= job.queue.max_attempts)
        return end_job(context, job, job_phase::failed, now);
    if (all_succeeded(job))
        end_job(context, job, job_phase::succeeded, now);
}

/** Returns whether no further worker is risked for the task. */
bool is_given_up(const wire::task_crashes& crashes, wire::crash_suspicion suspicion)
{
    // A single crash may be a coincidence.
    constexpr std::uint32_t min_crashes = 2;
    constexpr std::uint32_t max_crashes = 4;
    const bool is_only_suspect = suspicion == wire::crash_suspicion::only_suspect;
    return crashes.count >= (is_only_suspect ? min_crashes : max_crashes);
}

void record_crash_under(apply_context& context, job_record& job,
                        const wire::record_crash::item& item, wall_time now)
{
    const auto position = wire::position_of(job.spec, item.task);
    if (job.phase != job_phase::open || !position || job.tasks[*position].succeeded)
        return;
    auto& crashes = job.crashes[static_cast<std::uint32_t>(*position)];
    // This run or a later one was recorded already.
    if (item.run <= crashes.last_run)
        return;
    crashes.last_run = item.run;
    context.change.jobs.push_back(job.id);
    // Every task meets unrelated crashes now and then, so only those in a row count.
    const bool is_cleared = item.suspicion == wire::crash_suspicion::cleared;
    crashes.count = is_cleared ? 0 : crashes.count + 1;
    if (is_given_up(crashes, item.suspicion))
        end_job(context, job, job_phase::failed, now);
}

} // namespace

bool can_cancel_unknown_job(const ledger_state& state)
{
    return state.cancelled_submissions.size() < limits.max_cancelled_submissions;
}

wire::command_response apply(apply_context& context, const wire::submit_job& body)
{
    if (context.state.cancelled_submissions.contains(body.id))
        return make_response(command_status::conflict, "the job was cancelled before");
    const auto [found, added] = context.state.jobs.try_emplace(body.id);
    if (!added)
        return make_response(command_status::duplicate);
    auto& job = found->second;
    job.id = body.id;
    job.queue = body.queue;
    job.spec = body.spec;
    job.submitted = body.submitted;
    job.tasks.resize(wire::tasks_of_occurrence(job.spec) * wire::occurrences_of(job.spec));
    context.change.jobs.push_back(body.id);
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::cancel_job& body)
{
    const auto job = context.state.jobs.find(body.id);
    if (job == context.state.jobs.end())
        return cancel_unknown_job(context.state, body);
    if (job->second.phase != job_phase::open)
        return make_response(command_status::duplicate);
    end_job(context, job->second, job_phase::cancelled, body.now);
    context.change.jobs.push_back(body.id);
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::record_completions& body)
{
    for (const auto& item : body.items) {
        const auto job = context.state.jobs.find(item.task.job);
        if (job != context.state.jobs.end())
            record_completion(context, job->second, item, body.now);
    }
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::publish_queues& body)
{
    auto& current = context.state.queues;
    if (body.version <= current.version)
        return make_response(command_status::duplicate);
    current = body;
    context.change.queues = true;
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::record_workers& body)
{
    for (const auto& worker : body.admitted)
        context.state.workers[worker.id] = worker;
    for (const auto& worker : body.retired)
        context.state.workers.erase(worker);
    context.change.workers = true;
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::record_crash& body)
{
    for (const auto& item : body.items) {
        const auto job = context.state.jobs.find(item.task.job);
        if (job != context.state.jobs.end())
            record_crash_under(context, job->second, item, body.now);
    }
    return make_response(command_status::accepted);
}

wire::command_response apply(apply_context& context, const wire::record_suspect_start& body)
{
    const auto job = context.state.jobs.find(body.task.job);
    if (job == context.state.jobs.end() || job->second.phase != job_phase::open)
        return make_response(command_status::rejected, "no such open job");
    const auto position = wire::position_of(job->second.spec, body.task);
    if (!position)
        return make_response(command_status::rejected, "no such task");
    auto& crashes = job->second.crashes[static_cast<std::uint32_t>(*position)];
    crashes.started_run = body.run;
    crashes.started_on = body.worker;
    return make_response(command_status::accepted);
}

void remove_old_ended_jobs(ledger_state& state)
{
    auto& ended = state.ended_jobs;
    while (!ended.empty()) {
        const auto job = state.jobs.find(ended.front());
        const bool removable = job == state.jobs.end() ||
                               job->second.ended + limits.ended_job_retention < state.clock ||
                               ended.size() > limits.max_ended_jobs;
        if (!removable)
            return;
        if (job != state.jobs.end())
            state.jobs.erase(job);
        ended.pop_front();
    }
}

void remove_old_cancelled_submissions(ledger_state& state)
{
    std::erase_if(state.cancelled_submissions, [&](const auto& cancelled) {
        return cancelled.second + limits.cancelled_submission_retention < state.clock;
    });
}

} // namespace galenaturn::ledger
