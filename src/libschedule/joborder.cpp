#include "joborder.h"

#include <algorithm>
#include <tuple>

namespace galenaturn::schedule {

duration longest_chain(const wire::job_spec& spec)
{
    std::vector<duration> ends(spec.steps.size());
    duration longest{};
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        duration begins{};
        for (const auto earlier : spec.steps[index].after)
            begins = std::max(begins, ends[earlier]);
        ends[index] = begins + spec.steps[index].estimate;
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

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

/** Returns the longest chain of estimated work that is left. */
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

} // namespace

prospect prospect_of(const open_job& job, time_point now)
{
    if (is_endless(job))
        return prospect::in_time;
    const auto ends = now + chain_left(job);
    if (ends <= job.wanted_by)
        return prospect::in_time;
    return ends <= job.late_by ? prospect::late : prospect::too_late;
}

std::vector<open_job*> order_jobs(job_scheduler& state, time_point now)
{
    struct ranked {
        std::tuple<std::uint32_t, prospect, time_point> rank;
        open_job* job;
    };
    std::vector<ranked> order;
    order.reserve(state.jobs.size());
    for (auto& [id, job] : state.jobs) {
        if (job.ending)
            continue;
        // Room goes first to what can still be in time: what cannot gains less by it. The rest is
        // served in the order of its objectives, so that nothing waits for ever.
        order.push_back({{job.queue.priority, prospect_of(job, now), job.wanted_by}, &job});
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
