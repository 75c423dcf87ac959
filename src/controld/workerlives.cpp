#include "jobservice.h"
#include "workercalls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using schedule::command_result;

/** How far the clock of a worker may differ from what is expected of it. */
constexpr std::chrono::milliseconds max_clock_error{250};
constexpr int max_clock_drift_percent = 4;

} // namespace

void job_service::update_clock(worker_connection& connection, const command_reply& reply)
{
    if (!reply.clock)
        return;
    connection.clock = reply.clock;
    connection.clock_read_at = monotonic_now();
    connection.last_reply_at = connection.clock_read_at;
}

void job_service::check_clock(const worker_id& worker, time_point requested_at,
                              command_reply& reply)
{
    const auto connection = connections_.find(worker);
    if (connection == connections_.end() || !reply.clock)
        return;
    const auto now = monotonic_now();
    const auto& known = connection->second;
    const auto since_reading =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - known.clock_read_at);
    const auto tolerance =
        max_clock_error + since_reading * max_clock_drift_percent / 100 +
        std::chrono::duration_cast<std::chrono::milliseconds>(now - requested_at);
    const auto difference =
        known.clock ? *reply.clock - (*known.clock + since_reading) : std::chrono::milliseconds{0};
    // The clock of a later life has begun anew, so it is behind. A reading that was read late, as
    // after a stop of this process, makes it seem ahead, which shortens leases only.
    if (incarnation_of(worker) == incarnation{} || difference >= -tolerance)
        return update_clock(connection->second, reply);
    log_event(log_level::info, "worker_clock_of_other_life",
              {{"worker", worker},
               {"clock_ms", reply.clock->count()},
               {"difference_ms", difference.count()},
               {"answer", schedule::to_string(reply.result)},
               {"token", token_}});
    connection->second.clock.reset();
    reply.result = command_result::none;
    reply.reason = "the clock is that of another life";
    schedule::extend_lease_to_limit(scheduler_, worker, now);
    asio::co_spawn(shared_.io, probe_life(this, worker, generation_), asio::detached);
}

asio::awaitable<void> job_service::probe_life(job_service* self, worker_id worker,
                                              std::uint64_t generation)
{
    const auto found = self->scheduler_.workers.find(worker);
    if (found == self->scheduler_.workers.end())
        co_return;
    command_header header;
    header.token = schedule::token_for(self->scheduler_, self->token_, worker);
    header.reply_deadline = monotonic_now() + command_timeout;
    auto target = target_of(found->second);
    const auto polled =
        co_await self->commands_->poll(std::move(target), 0, std::chrono::milliseconds{0}, header);
    const auto connection = self->connections_.find(worker);
    if (!self->in_term(generation) || connection == self->connections_.end())
        co_return;
    if (polled.reply.result == command_result::other_incarnation)
        co_return self->on_other_life(worker, polled.life);
    if (polled.reply.result == command_result::accepted)
        self->update_clock(connection->second, polled.reply);
}

void job_service::on_other_life(const worker_id& worker, incarnation life)
{
    const bool is_next_life = life > incarnation_of(worker);
    on_worker_crash(worker, is_next_life ? make_worker_id(name_of(worker), life) : worker_id{});
}

void job_service::log_lost_runs(const worker_id& worker, const char* cause) const
{
    const auto found = scheduler_.workers.find(worker);
    if (found == scheduler_.workers.end())
        return;
    const auto now = monotonic_now();
    log_event(log_level::info, "worker_retired",
              {{"worker", worker},
               {"cause", cause},
               {"lost_runs", found->second.runs.size()},
               {"silent_us", (now - found->second.last_reply_at).count()}});
    for (const auto& [ref, number] : found->second.runs) {
        const auto job = scheduler_.jobs.find(ref.job);
        const auto position = wire::position_of(job->second.spec, ref);
        const auto& run = job->second.tasks[*position].run;
        if (schedule::is_unsent(run->phase))
            continue;
        log_event(log_level::info, "run_lost",
                  {{"task", ref},
                   {"run", number},
                   {"worker", worker},
                   {"token", token_},
                   {"since_command_us", (now - run->commanded_at).count()}});
    }
}

void job_service::retire_worker(const worker_id& worker, const char* cause)
{
    log_lost_runs(worker, cause);
    schedule::remove_worker(scheduler_, worker);
    forget_worker(worker);
}

void job_service::retire_if_gone(const worker_id& worker, const command_reply& reply)
{
    if (reply.connection_refused && schedule::has_left(scheduler_, worker))
        retire_worker(worker, "left");
}

void job_service::retire_ended_departures()
{
    if (!term_active_ || !hub_.leads())
        return;
    for (const auto& worker : schedule::ended_departures(scheduler_, monotonic_now()))
        retire_worker(worker, "left_silently");
}

void job_service::retire_silent_workers()
{
    const auto now = monotonic_now();
    if (!term_active_ || !hub_.leads() || now - term_began_at_ < max_announcement_age)
        return;
    for (const auto& worker : schedule::silent_workers(scheduler_, now)) {
        const auto announced = announcements_.find(worker);
        if (announced != announcements_.end() &&
            now - announced->second.last_seen < max_announcement_age)
            continue;
        log_lost_runs(worker, "silent");
        schedule::remove_worker(scheduler_, worker);
        connections_.erase(worker);
        update_ledger_workers({}, {worker});
    }
}

void job_service::repeat_retirements()
{
    // Longer than a command to the ledger takes.
    constexpr duration interval = 2 * ledger_command_timeout;
    const auto now = monotonic_now();
    if (!term_active_ || !hub_.leads() || now < next_retirement_check_)
        return;
    next_retirement_check_ = now + interval;
    std::vector<worker_id> remaining;
    for (const auto& [id, record] : hub_.state().workers) {
        if (!scheduler_.workers.contains(id))
            remaining.push_back(id);
    }
    if (remaining.empty())
        return;
    log_event(log_level::info, "retirements_repeated", {{"workers", remaining.size()}});
    update_ledger_workers({}, std::move(remaining));
}

void job_service::on_worker_crash(const worker_id& worker, const worker_id& next)
{
    log_lost_runs(worker, next.empty() ? "other_life" : "next_life");
    wire::record_crash crash;
    crash.worker = worker;
    crash.items = schedule::on_worker_crash(scheduler_, worker, next, monotonic_now());
    crash.now = ledger::record_time(hub_.state(), wall_now());
    for (const auto& item : crash.items) {
        if (item.suspicion != wire::crash_suspicion::cleared)
            log_event(log_level::info, "crash_suspected",
                      {{"task", item.task},
                       {"run", item.run},
                       {"worker", worker},
                       {"suspicion", wire::to_string(item.suspicion)},
                       {"token", token_}});
    }
    if (!crash.items.empty())
        asio::co_spawn(shared_.io, record_crash(this, std::move(crash), generation_),
                       asio::detached);
    // In one command, so that each leader knows of a life that may have runs.
    std::vector<wire::worker_record> admitted;
    const auto found = scheduler_.workers.find(next);
    if (found != scheduler_.workers.end())
        admitted.push_back(found->second.record);
    forget_worker(worker, std::move(admitted));
}

void job_service::forget_worker(const worker_id& worker, std::vector<wire::worker_record> admitted)
{
    connections_.erase(worker);
    const auto found = announcements_.find(worker);
    if (found != announcements_.end())
        found->second.over = true;
    update_ledger_workers(std::move(admitted), {worker});
    schedule_due_commands();
    schedule_pass();
}

} // namespace galenaturn::controld
