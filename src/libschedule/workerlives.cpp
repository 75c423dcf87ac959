#include "workerlives.h"

#include "jobruns.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** Bits of a token that number the lives of a worker within a term. */
constexpr unsigned life_bits = 20;
constexpr std::uint64_t max_life_number = (std::uint64_t{1} << life_bits) - 1;

/** Returns whether a start was sent to the worker of which it is not known where it arrived. */
bool has_unconfirmed_start(job_scheduler& state, const job_worker& worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
        return is_unanswered_start(*find_task(state, entry.first)->run);
    });
}

} // namespace

fencing_token token_for(job_scheduler& state, term leader, const worker_id& worker)
{
    std::uint64_t number = 0;
    const auto life = incarnation_of(worker);
    if (life != incarnation{}) {
        auto& known =
            state.known_lives.try_emplace(name_of(worker), worker_lives{life, 0}).first->second;
        if (life > known.latest)
            known = {life, known.earlier + 1};
        number = life < known.latest ? known.earlier - 1 : known.earlier;
    }
    return fencing_token{(leader.value() << life_bits) | std::min(number, max_life_number)};
}

void extend_lease_to_limit(job_scheduler& state, const worker_id& id, time_point now)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end() || incarnation_of(id) == incarnation{})
        return;
    worker->second.lease_expires_at =
        std::max(worker->second.lease_expires_at, last_possible_expiry(state.settings, now));
}

void on_poll_unanswered(job_scheduler& state, const worker_id& id, time_point now)
{
    const auto worker = state.workers.find(id);
    if (worker != state.workers.end() && has_unconfirmed_start(state, worker->second))
        extend_lease_to_limit(state, id, now);
}

time_point last_possible_expiry(const job_settings& settings, time_point now)
{
    return now + certain_expiry(std::max(settings.lease, settings.lease_limit));
}

bool is_unanswered_start(const task_run& run)
{
    return !is_unsent(run.phase) && !run.confirmed_at;
}

time_point last_possible_end(const job_settings& settings, time_point sent_at)
{
    return last_possible_expiry(settings, sent_at + settings.start_delay_limit);
}

time_point last_possible_end(const job_scheduler& state, const job_worker& worker,
                             const task_run& run)
{
    return last_possible_end(state.settings, std::max(run.commanded_at, worker.lease_sent_at));
}

bool next_life_may_begin(const job_scheduler& state, const job_worker& worker, const task_run& run,
                         time_point now)
{
    return incarnation_of(worker.record.id) != incarnation{} && is_unanswered_start(run) &&
           now <= run.commanded_at + state.settings.start_delay_limit;
}

bool next_life_may_run(const job_scheduler& state, const job_worker& worker, const task_run& run,
                       time_point now)
{
    return incarnation_of(worker.record.id) != incarnation{} && is_unanswered_start(run) &&
           now <= last_possible_end(state, worker, run);
}

} // namespace galenaturn::schedule
