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

std::vector<open_job*> order_jobs(job_scheduler& state, time_point now)
{
    std::vector<open_job*> order;
    order.reserve(state.jobs.size());
    for (auto& [id, job] : state.jobs) {
        if (!job.ending)
            order.push_back(&job);
    }
    // What can no longer be of use in time waits behind what can; it still runs in the end.
    const auto rank = [now](const open_job& job) {
        return std::tuple{now > job.late_by, job.queue.priority, job.wanted_by};
    };
    std::sort(order.begin(), order.end(), [&](const open_job* left, const open_job* right) {
        return rank(*left) < rank(*right);
    });
    return order;
}

} // namespace galenaturn::schedule
