#include "failedplacements.h"

#include "jobplacement.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** Above this number the kinds, of which most are outdated then, are forgotten. */
constexpr std::size_t max_kinds = 1024;

placement_kind_view kind_of(const placement_request& request)
{
    const auto& step = *request.step;
    return {step.best_effort,
            step.tail_target.count() > 0,
            request.oversubscribes,
            request.slowed,
            step.image,
            step.required_label,
            request.job->queue.service.value()};
}

/** Returns whether the demand fails wherever the one of `failure` has failed. */
bool covers(const failed_placement& failure, const resources& demand, millicores best_effort)
{
    return fits(failure.demand, demand) && failure.best_effort <= best_effort;
}

/** Returns the key of a step in failed_placements::by_job. */
std::tuple<std::size_t, bool, bool> step_key_of(const placement_request& request)
{
    const auto index =
        std::size_t{request.task.occurrence} * request.job->spec.steps.size() + request.task.step;
    return {index, request.oversubscribes, request.slowed};
}

} // namespace

placement_kind::placement_kind(const placement_kind_view& view)
    : service{view.service}, image{view.image}, label{view.label}, best_effort{view.best_effort},
      latency_critical{view.latency_critical}, oversubscribes{view.oversubscribes}, slowed{
                                                                                        view.slowed}
{
}

placement_kind::operator placement_kind_view() const
{
    return {best_effort, latency_critical, oversubscribes, slowed, image, label, service};
}

void record_failure(failed_placements& failed, const placement_request& request,
                    std::uint64_t change)
{
    const auto& step = *request.step;
    if (step.max_per_worker > 0) {
        auto& latest = failed.by_job[request.job->id][step_key_of(request)];
        latest = std::max(latest, change);
        return;
    }
    if (failed.by_kind.size() >= max_kinds)
        failed.by_kind.clear();
    const auto kind = kind_of(request);
    auto matching = failed.by_kind.find(kind);
    if (matching == failed.by_kind.end())
        matching =
            failed.by_kind.emplace(placement_kind{kind}, std::vector<failed_placement>{}).first;
    auto& failures = matching->second;
    const auto demand = reservation_of(step);
    const auto best_effort = best_effort_demand_of(step);
    std::erase_if(failures, [&](const failed_placement& earlier) {
        return earlier.change <= change &&
               covers({demand, best_effort, change}, earlier.demand, earlier.best_effort);
    });
    failures.push_back({demand, best_effort, change});
}

std::uint64_t last_failure(const failed_placements& failed, const placement_request& request)
{
    const auto& step = *request.step;
    std::uint64_t change = 0;
    if (step.max_per_worker > 0) {
        const auto job = failed.by_job.find(request.job->id);
        if (job != failed.by_job.end()) {
            const auto found = job->second.find(step_key_of(request));
            change = found == job->second.end() ? 0 : found->second;
        }
    }
    const auto failures = failed.by_kind.find(kind_of(request));
    if (failures == failed.by_kind.end())
        return change;
    const auto demand = reservation_of(step);
    const auto best_effort = best_effort_demand_of(step);
    for (const auto& failure : failures->second) {
        if (failure.change > change && covers(failure, demand, best_effort))
            change = failure.change;
    }
    return change;
}

} // namespace galenaturn::schedule
