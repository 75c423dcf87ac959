#include "orphans.h"

#include <algorithm>

namespace galenaturn::schedule {

void mark_orphan(job_scheduler& state, job_worker& worker, const wire::task_ref& ref,
                 std::uint32_t run, time_point now)
{
    ++state.counts.orphans;
    worker.has_orphans = true;
    const orphan_run orphan{worker.record.id, ref, run};
    const auto [stops, added] = state.orphans.try_emplace(orphan);
    stops->second.last_listed_at = now;
    if (!added)
        return;
    stops->second.first_listed_at = now;
    state.orphan_stops_due.set(orphan, now);
    if (auto* task = find_task(state, ref))
        ++task->orphans;
    // The lease may be that of an earlier leader.
    worker.lease_expires_at =
        std::max(worker.lease_expires_at, now + certain_expiry(state.settings.lease));
    state.next_lease_expiry = std::min(state.next_lease_expiry, worker.lease_expires_at);
}

void forget_orphans(job_scheduler& state, const worker_id& worker, time_point listed_since)
{
    if (state.orphans.empty())
        return;
    auto orphan = state.orphans.lower_bound({worker, {}, 0});
    while (orphan != state.orphans.end() && orphan->first.worker == worker) {
        if (orphan->second.last_listed_at >= listed_since) {
            ++orphan;
            continue;
        }
        if (auto* task = find_task(state, orphan->first.task)) {
            --task->orphans;
            // It may start now.
            state.changed_jobs.insert(orphan->first.task.job);
        }
        state.orphan_stops_due.erase(orphan->first);
        orphan = state.orphans.erase(orphan);
    }
}

bool has_known_orphans(const job_scheduler& state, const worker_id& worker)
{
    const auto orphan = state.orphans.lower_bound({worker, {}, 0});
    return orphan != state.orphans.end() && orphan->first.worker == worker;
}

} // namespace galenaturn::schedule
