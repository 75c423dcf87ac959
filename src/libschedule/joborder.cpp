#include "joborder.h"

#include "jobruns.h"

#include <algorithm>
#include <tuple>

namespace galenaturn::schedule {

bool is_ready(const open_job& job, std::uint32_t occurrence, std::uint32_t step)
{
    const auto first = std::size_t{occurrence} * job.spec.steps.size();
    const auto& after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t earlier) { return job.left[first + earlier] == 0; });
}

wall_time due_at(const wire::job_spec& spec, std::uint32_t occurrence)
{
    return spec.schedule.first_due + spec.schedule.interval * occurrence;
}

bool is_endless(const open_job& job)
{
    return std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                       [](const auto& step) { return step.endless; });
}

namespace {

/** Returns the estimated work of one task in processor seconds. */
double work_of_task(const wire::job_step& step)
{
    return std::chrono::duration<double>(step.estimate).count() *
           static_cast<double>(step.demand.processors.value()) / 1000;
}

} // namespace

duration chain_left(const open_job& job)
{
    const auto steps = job.spec.steps.size();
    duration longest{};
    for (std::size_t first = 0; first < job.left.size(); first += steps) {
        std::vector<duration> ends(steps);
        for (std::size_t index = 0; index < steps; ++index) {
            const auto& step = job.spec.steps[index];
            for (const auto earlier : step.after)
                ends[index] = std::max(ends[index], ends[earlier]);
            if (job.left[first + index] > 0)
                ends[index] += step.estimate;
            longest = std::max(longest, ends[index]);
        }
    }
    return longest;
}

prospect prospect_of(const open_job& job, time_point now)
{
    if (job.endless)
        return prospect::in_time;
    const auto ends = now + job.chain_left;
    if (ends <= job.wanted_by)
        return prospect::in_time;
    return ends <= job.late_by ? prospect::late : prospect::too_late;
}

double work_left(const open_job& job)
{
    double work = 0;
    const auto steps = job.spec.steps.size();
    for (std::size_t slot = 0; slot < job.left.size(); ++slot)
        work += work_of_task(job.spec.steps[slot % steps]) * job.left[slot];
    return work;
}

double yield_of(const open_job& job, double usual_work)
{
    // Every job has this base value; the rest grows with its total work.
    constexpr double worth_of_any = 0.3;
    const auto share = usual_work > 0 ? job.work / usual_work : 1.0;
    const auto left_share = usual_work > 0 ? job.work_left / usual_work : 1.0;
    return (worth_of_any + (1 - worth_of_any) * share) / std::max(left_share, 1e-6);
}

namespace {

/**
 * Jobs with long-running tasks come after finite jobs, but first once they have waited this long.
 */
constexpr duration endless_patience = std::chrono::milliseconds{1500};
constexpr double before_all = -1e9;
/** Relative to an average job. Below 1, because long-running tasks do not return their capacity. */
constexpr double endless_yield = 0.3;

/** Returns whether the job has had tasks to place for longer than `max_long_running_wait`. */
bool has_waited(open_job& job, time_point now)
{
    if (std::none_of(job.tasks.begin(), job.tasks.end(), may_start))
        job.waits_since.reset();
    else if (!job.waits_since)
        job.waits_since = now;
    return job.waits_since && now - *job.waits_since > endless_patience;
}

/** Returns the rank among jobs of equal priority and outlook; lower comes first. */
double place_among_equals(const job_scheduler& state, open_job& job, prospect hope, time_point now)
{
    if (job.endless)
        return has_waited(job, now) ? before_all : -endless_yield;
    // Jobs that are too late for their caller run in order of arrival, so that each of them
    // completes.
    if (hope == prospect::too_late)
        return std::chrono::duration<double>(job.arrived.time_since_epoch()).count();
    const auto usual = state.usual_work.find(job.queue.name);
    return -yield_of(job, usual == state.usual_work.end() ? 0 : usual->second.average);
}

} // namespace

std::vector<open_job*> order_jobs(job_scheduler& state, time_point now)
{
    struct ranked {
        std::tuple<std::uint32_t, prospect, double> rank;
        open_job* job;
    };
    std::vector<ranked> order;
    order.reserve(state.jobs.size());
    for (auto& [id, job] : state.jobs) {
        if (job.ending)
            continue;
        // Jobs that can still meet their objective come first: late jobs gain less from capacity.
        // Within the same outlook, jobs with more value per remaining work come first, which also
        // favours completing the jobs that have begun.
        const auto hope = prospect_of(job, now);
        order.push_back(
            {{job.queue.priority, hope, place_among_equals(state, job, hope, now)}, &job});
    }
    std::sort(order.begin(), order.end(),
              [](const ranked& left, const ranked& right) { return left.rank < right.rank; });
    std::vector<open_job*> jobs;
    jobs.reserve(order.size());
    for (const auto& entry : order)
        jobs.push_back(entry.job);
    return jobs;
}

} // namespace galenaturn::schedule
