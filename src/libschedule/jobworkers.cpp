#include "jobplacement.h"
#include "jobruns.h"
#include "orphans.h"
#include "workercrashes.h"
#include "workerlives.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** How long after its lease a crashed worker may return in its next life, which tells of it. */
constexpr duration max_crash_silence = std::chrono::seconds{30};
/** No start is carried out later than this after it was sent. */
constexpr duration max_start_delay = std::chrono::seconds{60};

/** Returns whether a task may run on the worker, be it of an earlier leader. */
bool may_run(const job_scheduler& state, const job_worker& worker, time_point now)
{
    return now <= worker.lease_expires_at || !worker.runs.empty() ||
           state.unread_workers.contains(worker.record.id) ||
           has_known_orphans(state, worker.record.id);
}

/** Returns whether the run has not begun, or has certainly begun in this life of the worker and
 * ended with it. */
bool has_ended_with(const job_worker& worker, const task_run& run)
{
    if (is_unsent(run.phase))
        return true;
    if (incarnation_of(worker.record.id) == incarnation{})
        return false;
    return run.listed || (worker.lost && worker.lost->closed && run.confirmed_at &&
                          *run.confirmed_at <= worker.lost->at);
}

/** Passes on the starts that a worker which is gone may carry out in this life. */
void inherit_departed_starts(job_scheduler& state, job_worker& worker)
{
    auto departed = state.departed_starts.extract(name_of(worker.record.id));
    if (departed.empty())
        return;
    auto& starts = departed.mapped();
    worker.doubtful_starts.insert(worker.doubtful_starts.end(), starts.begin(), starts.end());
    state.workers_in_doubt.insert(worker.record.id);
}

/** Keeps the starts that a worker which is gone may carry out if it comes back. */
void keep_departed_starts(job_scheduler& state, const job_worker& worker)
{
    auto starts = worker.doubtful_starts;
    for (const auto& [ref, number] : worker.runs) {
        const auto& run = *find_task(state, ref)->run;
        if (is_unanswered_start(run) && incarnation_of(worker.record.id) != incarnation{})
            starts.push_back({ref, number, run.phase_since, std::nullopt, 0});
    }
    if (starts.empty())
        return;
    auto& kept = state.departed_starts[name_of(worker.record.id)];
    kept.insert(kept.end(), starts.begin(), starts.end());
}

/** Moves the runs that the next life of the worker may have, or may still get. */
void begin_next_life(job_scheduler& state, job_worker& earlier, const worker_id& next,
                     time_point now)
{
    const auto [found, added] = state.workers.try_emplace(next);
    auto& worker = found->second;
    if (added) {
        worker.record = earlier.record;
        worker.record.id = next;
        // It may be of another size, and gets no tasks before it has announced itself.
        worker.record.capacity = {};
    }
    worker.lease_sent_at = std::max(worker.lease_sent_at, earlier.lease_sent_at);
    extend_lease_to_limit(state, next, now);
    if (state.unread_workers.erase(earlier.record.id) > 0 && !worker.report_read)
        state.unread_workers.insert(next);
    // A command names the worker only, so the next life may carry it out.
    worker.doubtful_starts.insert(worker.doubtful_starts.end(), earlier.doubtful_starts.begin(),
                                  earlier.doubtful_starts.end());
    earlier.doubtful_starts.clear();
    if (!worker.doubtful_starts.empty())
        state.workers_in_doubt.insert(next);
    const auto runs = earlier.runs;
    for (const auto& [ref, number] : runs) {
        auto* task = find_task(state, ref);
        if (task == nullptr || task->succeeded || has_ended_with(earlier, *task->run))
            continue;
        auto run = *task->run;
        clear_run(state, ref, *task);
        run.worker = next;
        run.stops_sent = 0;
        run.listed = false;
        run.confirmed_at.reset();
        const bool stops = is_being_stopped(run.phase);
        const auto cause = run.cause;
        set_phase(run, run_phase::unknown, now);
        begin_run(state, ref, *task, std::move(run));
        if (stops)
            stop_run(state, ref, *task, cause, now);
    }
}

/**
 * Ends the run on a worker whose lease has expired. A start without a reply is kept as one that the
 * worker may still carry out once it has a lease again.
 */
void end_expired_run(job_scheduler& state, job_worker& worker, const wire::task_ref& ref,
                     std::uint32_t number, time_point now)
{
    auto& task = *find_task(state, ref);
    if (is_unanswered_start(*task.run) && task.run->phase != run_phase::stopped) {
        worker.doubtful_starts.push_back({ref, number, now, std::nullopt, 0});
        state.workers_in_doubt.insert(worker.record.id);
    }
    ++state.counts.expired;
    clear_run(state, ref, task);
    forget_if_ended(state, ref.job);
}

/**
 * Ends the runs of a worker whose lease has expired, but for the starts that its next life may
 * still carry out.
 */
expired_lease end_expired_runs(job_scheduler& state, job_worker& worker, time_point now)
{
    expired_lease expired{worker.record.id, 0, {}};
    // The worker may have crashed or be partitioned; its next response tells. One that has left is
    // silent because it has ended.
    auto items = worker.left ? std::vector<wire::record_crash::item>{} : crash_items(state, worker);
    const auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
        auto& run = *find_task(state, ref)->run;
        if (!next_life_may_run(state, worker, run, now)) {
            end_expired_run(state, worker, ref, number, now);
            ++expired.ended;
            continue;
        }
        state.next_lease_expiry =
            std::min(state.next_lease_expiry, last_possible_end(state, worker, run));
        std::erase_if(items, [&ref = ref](const auto& item) { return item.task == ref; });
        if (!std::exchange(run.in_doubt, true)) {
            ++state.counts.in_doubt;
            expired.in_doubt.emplace_back(ref, number);
        }
    }
    for (auto& item : items) {
        auto* task = find_task(state, item.task);
        if (task != nullptr && item.suspicion != wire::crash_suspicion::cleared)
            task->lost_in_silence = true;
        worker.unexplained.push_back(std::move(item));
    }
    return expired;
}

void end_all_runs(job_scheduler& state, job_worker& worker)
{
    const auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
        if (auto* task = find_task(state, ref))
            clear_run(state, ref, *task);
        forget_if_ended(state, ref.job);
    }
}

void mark_left(job_scheduler& state, const worker_id& id)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end())
        return;
    worker->second.leaving = true;
    worker->second.left = true;
    mark_changed(state, worker->second);
}

} // namespace

void forget_departed_starts(job_scheduler& state, time_point now)
{
    std::erase_if(state.departed_starts, [&](const auto& entry) {
        return now - entry.second.back().since > max_start_delay;
    });
}

void on_worker_announcement(job_scheduler& state, const wire::worker_presence& presence)
{
    if (presence.left)
        return mark_left(state, presence.worker.id);
    const auto [found, added] = state.workers.try_emplace(presence.worker.id);
    auto& worker = found->second;
    if (!added && worker.leaving == presence.leaving && worker.record == presence.worker)
        return;
    worker.record = presence.worker;
    worker.leaving = presence.leaving;
    if (added)
        inherit_departed_starts(state, worker);
    mark_changed(state, worker);
}

void admit_worker(job_scheduler& state, const worker_id& id)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end() || worker->second.admitted)
        return;
    worker->second.admitted = true;
    mark_changed(state, worker->second);
}

std::vector<wire::worker_record>
withdraw_admissions(job_scheduler& state, const std::map<worker_id, wire::worker_record>& recorded)
{
    std::vector<wire::worker_record> withdrawn;
    for (auto& [id, worker] : state.workers) {
        if (!worker.admitted || recorded.contains(id))
            continue;
        worker.admitted = false;
        mark_changed(state, worker);
        withdrawn.push_back(worker.record);
    }
    return withdrawn;
}

void remove_worker(job_scheduler& state, const worker_id& id)
{
    state.unread_workers.erase(id);
    forget_orphans(state, id, time_point::max());
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end())
        return;
    state.counts.lost += worker->second.runs.size();
    keep_departed_starts(state, worker->second);
    end_all_runs(state, worker->second);
    state.workers.erase(worker);
}

bool has_left(const job_scheduler& state, const worker_id& id)
{
    const auto worker = state.workers.find(id);
    return worker != state.workers.end() && worker->second.left;
}

std::vector<worker_id> ended_departures(const job_scheduler& state, time_point now)
{
    std::vector<worker_id> ended;
    for (const auto& [id, worker] : state.workers) {
        if (worker.left && !may_run(state, worker, now))
            ended.push_back(id);
    }
    return ended;
}

std::vector<worker_id> silent_workers(const job_scheduler& state, time_point now)
{
    std::vector<worker_id> silent;
    for (const auto& [id, worker] : state.workers) {
        const bool awaits_next_life =
            !worker.unexplained.empty() && now <= worker.lease_expires_at + max_crash_silence;
        const bool may_start = std::any_of(
            worker.doubtful_starts.begin(), worker.doubtful_starts.end(), [&](const auto& start) {
                return now <= last_possible_end(state.settings, start.since);
            });
        const bool responds = worker.has_reported && !worker.lost;
        if (!responds && !worker.left && !awaits_next_life && !may_start &&
            worker.recording.empty() && !may_run(state, worker, now))
            silent.push_back(id);
    }
    return silent;
}

std::vector<wire::record_crash::item> on_worker_crash(job_scheduler& state, const worker_id& id,
                                                      const worker_id& next, time_point now)
{
    const auto found = state.workers.find(id);
    if (found == state.workers.end())
        return {};
    auto& worker = found->second;
    std::vector<wire::record_crash::item> items;
    // A worker that leaves ends its remaining runs without a crash. Of a worker whose life is not
    // known, the next one may be the same.
    const bool may_be_same = !next.empty() && incarnation_of(id) == incarnation{};
    if (!worker.leaving && !may_be_same) {
        items = crash_items(state, worker);
        items.insert(items.end(), worker.unexplained.begin(), worker.unexplained.end());
        ++state.counts.worker_crashes;
    }
    if (!next.empty())
        begin_next_life(state, worker, next, now);
    remove_worker(state, id);
    std::erase_if(items, [&](const auto& item) {
        auto* task = find_task(state, item.task);
        if (task == nullptr)
            return true;
        state.counts.crash_suspects += item.suspicion == wire::crash_suspicion::cleared ? 0 : 1;
        task->recording_crash = true;
        return false;
    });
    return items;
}

std::vector<worker_id> earlier_lives(const job_scheduler& state, const worker_id& id)
{
    const auto name = name_of(id);
    std::vector<worker_id> earlier;
    for (auto worker = state.workers.lower_bound(worker_id{name}); worker != state.workers.end();
         ++worker) {
        if (!worker->first.value().starts_with(name))
            break;
        if (name_of(worker->first) == name && incarnation_of(worker->first) < incarnation_of(id))
            earlier.push_back(worker->first);
    }
    return earlier;
}

void on_crash_recorded(job_scheduler& state, const std::vector<wire::record_crash::item>& items)
{
    for (const auto& item : items) {
        if (auto* task = find_task(state, item.task))
            task->recording_crash = false;
    }
}

bool may_extend_lease(const job_scheduler& state, const worker_id& id)
{
    const auto worker = state.workers.find(id);
    return worker != state.workers.end() && worker->second.doubtful_starts.empty();
}

void extend_lease(job_scheduler& state, const worker_id& id, time_point now)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end())
        return;
    auto& sent = worker->second.leases_sent;
    sent = now == worker->second.lease_sent_at ? sent + 1 : 1;
    worker->second.lease_sent_at = std::max(worker->second.lease_sent_at, now);
    worker->second.lease_expires_at =
        std::max(worker->second.lease_expires_at, now + certain_expiry(state.settings.lease));
}

void withdraw_lease(job_scheduler& state, const worker_id& id, time_point requested_at,
                    time_point earlier)
{
    const auto worker = state.workers.find(id);
    // Another command of the same moment may have been sent.
    if (worker == state.workers.end() || worker->second.leases_sent != 1 ||
        worker->second.lease_expires_at != requested_at + certain_expiry(state.settings.lease))
        return;
    worker->second.lease_expires_at = earlier;
    if (!worker->second.runs.empty() || has_known_orphans(state, id))
        state.next_lease_expiry = std::min(state.next_lease_expiry, earlier);
}

void record_reply(job_scheduler& state, const worker_id& id, time_point requested_at)
{
    const auto worker = state.workers.find(id);
    if (worker != state.workers.end())
        worker->second.last_reply_at = std::max(worker->second.last_reply_at, requested_at);
}

std::vector<expired_lease> expire_leases(job_scheduler& state, time_point now)
{
    std::vector<expired_lease> expired;
    if (now <= state.next_lease_expiry)
        return expired;
    state.next_lease_expiry = time_point::max();
    for (auto& [id, worker] : state.workers) {
        if (worker.runs.empty() && !has_known_orphans(state, id))
            continue;
        if (now <= worker.lease_expires_at) {
            state.next_lease_expiry = std::min(state.next_lease_expiry, worker.lease_expires_at);
            continue;
        }
        auto lease = end_expired_runs(state, worker, now);
        if (lease.ended > 0 || !lease.in_doubt.empty())
            expired.push_back(std::move(lease));
        forget_orphans(state, id, time_point::max());
    }
    return expired;
}

} // namespace galenaturn::schedule
