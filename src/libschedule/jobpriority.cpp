#include "jobpriority.h"

#include "jobruns.h"

#include <algorithm>
#include <set>
#include <utility>

namespace galenaturn::schedule {

bool is_ready(const open_job& job, std::uint32_t occurrence, std::uint32_t step)
{
    const auto first = std::size_t{occurrence} * job.spec.steps.size();
    const auto& after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return job.remaining_tasks[first + earlier] == 0;
    });
}

wall_time due_at(const wire::job_spec& spec, std::uint32_t occurrence)
{
    return spec.schedule.first_due + spec.schedule.interval * occurrence;
}

bool is_long_running(const open_job& job)
{
    return std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                       [](const auto& step) { return step.long_running; });
}

namespace {

/** Returns the estimated work of one task in processor seconds. */
double work_of_task(const wire::job_step& step)
{
    return std::chrono::duration<double>(step.estimate).count() *
           static_cast<double>(step.demand.processors.value()) / 1000;
}

} // namespace

duration remaining_critical_path(const open_job& job)
{
    const auto steps = job.spec.steps.size();
    duration longest{};
    for (std::size_t first = 0; first < job.remaining_tasks.size(); first += steps) {
        std::vector<duration> finish_times(steps);
        for (std::size_t index = 0; index < steps; ++index) {
            const auto& step = job.spec.steps[index];
            for (const auto earlier : step.after)
                finish_times[index] = std::max(finish_times[index], finish_times[earlier]);
            if (job.remaining_tasks[first + index] > 0)
                finish_times[index] += step.estimate;
            longest = std::max(longest, finish_times[index]);
        }
    }
    return longest;
}

deadline_outlook deadline_outlook_of(const open_job& job, time_point now)
{
    const auto completion = now + job.remaining_critical_path;
    if (completion <= job.target_completion)
        return deadline_outlook::in_time;
    return completion <= job.latest_useful_completion ? deadline_outlook::late
                                                      : deadline_outlook::too_late;
}

double remaining_work(const open_job& job)
{
    double work = 0;
    const auto steps = job.spec.steps.size();
    for (std::size_t index = 0; index < job.remaining_tasks.size(); ++index)
        work += work_of_task(job.spec.steps[index % steps]) * job.remaining_tasks[index];
    return work;
}

double value_density(const open_job& job, double average_work)
{
    // Every job has this base value; the rest grows with its total work.
    constexpr double base_value = 0.3;
    const auto share = average_work > 0 ? job.work / average_work : 1.0;
    const auto remaining_share = average_work > 0 ? job.remaining_work / average_work : 1.0;
    return (base_value + (1 - base_value) * share) / std::max(remaining_share, 1e-6);
}

namespace {

/**
 * Finite tasks return their capacity soon, so finite jobs that can be in time or have begun come
 * before new long-running jobs while finite tasks hold less than this share of the processors of
 * the service. Above it, and where a task that was running has to continue elsewhere, long-running
 * jobs come first once they have waited for `max_long_running_wait`.
 */
constexpr std::int64_t finite_share_percent = 25;
constexpr duration max_long_running_wait = std::chrono::milliseconds{1500};
/** Relative to an average job. Below 1, because long-running tasks do not return their capacity. */
constexpr double long_running_value_density = 0.3;

/** Groups of jobs of equal priority, in the order in which they are placed. */
enum class placement_group : std::uint8_t {
    long_running_waited,
    in_time,
    begun_and_late,
    long_running,
    late,
    too_late
};

/** Position of a job among those of equal priority; lower comes first. */
struct job_rank {
    placement_group group{placement_group::in_time};
    /** Jobs that are not ranked by size come before the others of the group. */
    bool by_size{true};
    double rank{0};

    auto operator<=>(const job_rank&) const = default;
};

/** Returns the services on which finite tasks hold their share of the processors. */
std::set<service_id> services_with_finite_share(const job_scheduler& state)
{
    struct processors {
        std::int64_t finite{0};
        std::int64_t capacity{0};
    };
    std::map<service_id, processors> services;
    // Most workers have the service of the one before.
    auto service = services.end();
    for (const auto& [id, worker] : state.workers) {
        if (service == services.end() || service->first != worker.record.service)
            service = services.try_emplace(worker.record.service).first;
        service->second.finite += worker.finite_processors.value();
        service->second.capacity += worker.record.capacity.processors.value();
    }
    std::set<service_id> with_share;
    for (const auto& [id, service] : services) {
        if (service.finite * 100 >= service.capacity * finite_share_percent)
            with_share.insert(id);
    }
    return with_share;
}

/** Returns whether the job has had tasks to place for longer than `max_long_running_wait`. */
bool has_waited_too_long(open_job& job, time_point now)
{
    if (std::none_of(job.tasks.begin(), job.tasks.end(), needs_run))
        job.waiting_since.reset();
    else if (!job.waiting_since)
        job.waiting_since = now;
    return job.waiting_since && now - *job.waiting_since > max_long_running_wait;
}

/** Returns whether a task of the job has run before, or may have under an earlier leader. */
bool is_interrupted(const open_job& job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(),
                       [](const auto& task) { return needs_run(task) && task.last_run > 0; });
}

job_rank rank_of_long_running(open_job& job, bool finite_tasks_have_share, time_point now)
{
    const bool waited = has_waited_too_long(job, now);
    if (waited && (finite_tasks_have_share || is_interrupted(job)))
        return {placement_group::long_running_waited, true, 0};
    if (!finite_tasks_have_share)
        return {placement_group::long_running, true, 0};
    return {placement_group::in_time, true, -long_running_value_density};
}

/** Returns whether some of the job's work is done or in progress. */
bool has_begun(const open_job& job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(),
                       [](const auto& task) { return task.succeeded || task.run; });
}

double seconds_of(time_point time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

/**
 * Jobs that have begun come first, in order of arrival. Of the others the newest comes first:
 * under overload the older ones would complete just too late.
 */
double rank_regardless_of_size(const open_job& job)
{
    constexpr double begun = -1e12;
    return has_begun(job) ? begun + seconds_of(job.arrived) : -seconds_of(job.arrived);
}

/**
 * Jobs that can still meet their objective come first: late jobs gain less from capacity. Within a
 * group, jobs with more value per remaining work come first, which also favours completing the jobs
 * that have begun.
 */
job_rank rank_of_finite(job_scheduler& state, open_job& job, time_point now)
{
    const auto outlook = deadline_outlook_of(job, now);
    // Jobs that are too late for their caller run in order of arrival, so that each of them
    // completes.
    if (outlook == deadline_outlook::too_late) {
        count_outcome_once(state, job, false);
        return {placement_group::too_late, true, seconds_of(job.arrived)};
    }
    auto group = placement_group::in_time;
    if (outlook == deadline_outlook::late) {
        group = has_begun(job) ? placement_group::begun_and_late : placement_group::late;
        // All others come first, so an overloaded queue does not serve it. That is known here
        // several objectives before it is too late, which is long for large jobs.
        if (group == placement_group::late)
            count_outcome_once(state, job, false);
    }
    if (!job.ranked_by_size)
        return {group, false, rank_regardless_of_size(job)};
    const auto queue = state.queue_sizes_of.find(job.queue.name);
    const auto average = queue == state.queue_sizes_of.end() ? 0 : queue->second.average_work;
    return {group, true, -value_density(job, average)};
}

} // namespace

void count_outcome_once(job_scheduler& state, open_job& job, bool useful)
{
    if (!job.long_running && !std::exchange(job.outcome_counted, true))
        count_outcome(state.queue_sizes_of[job.queue.name], job.work, useful);
}

std::vector<open_job*> order_jobs(job_scheduler& state, time_point now)
{
    struct ranked_job {
        std::pair<std::uint32_t, job_rank> rank;
        open_job* job;
    };
    std::vector<ranked_job> ranked_jobs;
    ranked_jobs.reserve(state.jobs.size());
    const auto with_finite_share = services_with_finite_share(state);
    for (auto& [id, job] : state.jobs) {
        if (job.ending)
            continue;
        const auto rank =
            job.long_running
                ? rank_of_long_running(job, with_finite_share.contains(job.queue.service), now)
                : rank_of_finite(state, job, now);
        ranked_jobs.push_back({{job.queue.priority, rank}, &job});
    }
    std::sort(
        ranked_jobs.begin(), ranked_jobs.end(),
        [](const ranked_job& left, const ranked_job& right) { return left.rank < right.rank; });
    std::vector<open_job*> jobs;
    jobs.reserve(ranked_jobs.size());
    for (const auto& ranked : ranked_jobs)
        jobs.push_back(ranked.job);
    return jobs;
}

} // namespace galenaturn::schedule
