#include "jobruns.h"
#include "jobscheduler.h"

namespace galenaturn::schedule {

namespace {

/** A stop without a reply is sent again after this time. */
constexpr duration stop_resend_interval = std::chrono::milliseconds{600};
/**
 * A pace change without a reply is sent again after this time. Shorter than for a stop, because a
 * tail stays over its target meanwhile.
 */
constexpr duration pace_resend_interval = std::chrono::milliseconds{300};

void plan_run_stops(job_scheduler& state, time_point now, std::vector<stop_command>& commands)
{
    for (const auto& ref : state.stops_due.due(now)) {
        auto& run = *find_task(state, ref)->run;
        run.phase_since = now;
        ++state.counts.stops;
        commands.push_back({ref, run.number, run.worker, run.cause, run.stop_requested_at, now});
        state.stops_due.set(ref, now + stop_resend_interval);
    }
}

void plan_orphan_stops(job_scheduler& state, time_point now, std::vector<stop_command>& commands)
{
    for (const auto& orphan : state.orphan_stops_due.due(now)) {
        auto& stops = state.orphans.at(orphan);
        commands.push_back({orphan.task, orphan.run, orphan.worker, stop_cause::orphan,
                            stops.first_listed_at, now});
        state.orphan_stops_due.set(orphan, now + stop_resend_interval);
    }
}

/** Plans the stops of the starts that the worker may still carry out. */
void plan_doubtful_stops(job_worker& worker, time_point now, std::vector<stop_command>& commands)
{
    for (auto& doubtful : worker.doubtful_starts) {
        if (doubtful.stop_sent_at && now - *doubtful.stop_sent_at < stop_resend_interval)
            continue;
        doubtful.stop_sent_at = now;
        commands.push_back({doubtful.task, doubtful.run, worker.record.id, stop_cause::unconfirmed,
                            doubtful.since, now});
    }
}

} // namespace

std::vector<stop_command> plan_stops(job_scheduler& state, time_point now)
{
    std::vector<stop_command> commands;
    plan_run_stops(state, now, commands);
    plan_orphan_stops(state, now, commands);
    for (auto id = state.workers_in_doubt.begin(); id != state.workers_in_doubt.end();) {
        const auto worker = state.workers.find(*id);
        if (worker == state.workers.end() || worker->second.doubtful_starts.empty()) {
            id = state.workers_in_doubt.erase(id);
            continue;
        }
        if (!worker->second.lost)
            plan_doubtful_stops(worker->second, now, commands);
        ++id;
    }
    return commands;
}

std::vector<pace_command> plan_paces(job_scheduler& state, time_point now)
{
    std::vector<pace_command> commands;
    for (const auto& ref : state.paces_due.due(now)) {
        const auto& run = *find_task(state, ref)->run;
        ++state.counts.pace_changes;
        commands.push_back({ref, run.number, run.worker, run.pace_percent});
        state.paces_due.set(ref, now + pace_resend_interval);
    }
    return commands;
}

} // namespace galenaturn::schedule
