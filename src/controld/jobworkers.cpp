#include "jobservice.h"
#include "workercalls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using schedule::command_result;

/**
 * Stops to one worker that may be in flight at the same time, so that a lost reply delays few
 * others.
 */
constexpr std::size_t max_stops_in_flight = 4;
/** Maximum time that a worker delays its reply to a poll while no run ends. */
constexpr std::chrono::milliseconds max_poll_wait{2000};
/**
 * Workers with latency-critical tasks are polled more often, to renew leases early and to sample
 * tails; with best-effort load beside these tasks, more often still.
 */
constexpr std::chrono::milliseconds serving_poll_wait{1000};
constexpr std::chrono::milliseconds best_effort_poll_wait{500};
/** Pause before a worker that did not reply is polled again. */
constexpr duration poll_retry_pause = std::chrono::milliseconds{200};
/** The same for a worker that has left, whose tasks wait for its end. */
constexpr duration departure_poll_pause = std::chrono::milliseconds{20};
/** A worker that was silent for longer gets no new lease until it replies. */
constexpr duration max_silence = std::chrono::milliseconds{2500};
std::chrono::milliseconds poll_wait_for(const schedule::job_worker& worker)
{
    if (worker.serving_images.empty())
        return max_poll_wait;
    return worker.best_effort_processors.value() > 0 ? best_effort_poll_wait : serving_poll_wait;
}

template <class Command>
Command pop_first(std::deque<Command>& queue)
{
    auto command = std::move(queue.front());
    queue.pop_front();
    return command;
}

bool is_unanswered(const command_reply& reply)
{
    return reply.result == command_result::none || reply.result == command_result::unreachable;
}

/** Logs a start command with its result, and how long it had waited until it was sent. */
void log_start(const schedule::start_command& command, term token, const command_reply& reply,
               duration queued)
{
    log_event(log_level::info, "task_started",
              {{"task", command.task},
               {"run", command.run},
               {"worker", command.worker},
               {"token", token},
               {"answer", schedule::to_string(reply.result)},
               {"reason", reply.reason},
               {"queued_us", queued.count()}});
}

/** Logs each completion that is read for the first time. */
void log_completions(const worker_id& worker, std::uint64_t read_up_to,
                     const schedule::worker_report& report, term token)
{
    for (const auto& ended : report.ended) {
        if (ended.number <= read_up_to)
            continue;
        log_event(log_level::info, "task_ended",
                  {{"task", ended.task},
                   {"run", ended.run},
                   {"worker", worker},
                   {"token", token},
                   {"how", schedule::to_string(ended.outcome)},
                   {"number", ended.number}});
    }
}

} // namespace

void job_service::open_connection(const worker_id& worker)
{
    const auto [connection, added] = connections_.try_emplace(worker);
    if (!added)
        return;
    connection->second.number = ++last_connection_;
    asio::co_spawn(shared_.io, poll_worker(this, worker, last_connection_), asio::detached);
}

bool job_service::is_connected(const worker_id& worker, std::uint64_t connection) const
{
    const auto found = connections_.find(worker);
    return found != connections_.end() && found->second.number == connection;
}

asio::awaitable<void> job_service::poll_worker(job_service* self, worker_id worker,
                                               std::uint64_t connection)
{
    const auto generation = self->generation_;
    while (self->in_term(generation) && self->is_connected(worker, connection)) {
        if (!self->hub_.leads()) {
            co_await pause(self->shared_.io, poll_retry_pause);
            continue;
        }
        const bool replied = co_await self->poll_once(worker, connection, generation);
        if (replied)
            continue;
        const bool left = schedule::has_left(self->scheduler_, worker);
        co_await pause(self->shared_.io, left ? departure_poll_pause : poll_retry_pause);
    }
}

std::optional<std::chrono::milliseconds> job_service::lease_for(const worker_connection& connection,
                                                                time_point now) const
{
    if (!connection.clock || now - connection.last_reply_at > max_silence)
        return std::nullopt;
    const auto since_reading =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - connection.clock_read_at);
    const auto lease =
        std::chrono::duration_cast<std::chrono::milliseconds>(shared_.settings.jobs.lease);
    return *connection.clock + since_reading + lease;
}

asio::awaitable<bool> job_service::poll_once(worker_id worker, std::uint64_t number,
                                             std::uint64_t generation)
{
    const auto found = scheduler_.workers.find(worker);
    if (found == scheduler_.workers.end()) {
        connections_.erase(worker);
        co_return false;
    }
    const auto requested_at = monotonic_now();
    // The first response, and the first one after a silence, is wanted at once.
    const bool is_urgent = !found->second.report_read || found->second.lost;
    auto target = target_of(found->second);
    const auto read_up_to = found->second.completions_read;
    command_header header;
    header.token = schedule::token_for(scheduler_, token_, worker);
    // After a silence the next life may be there: its clock and its numbers are others.
    const bool may_restart = incarnation_of(worker) != incarnation{};
    const bool may_be_other_life = found->second.lost && may_restart;
    // Each number is sent until it is confirmed: any poll may be carried out late by the next life.
    const bool is_confirmed = may_restart && found->second.completions_acknowledged ==
                                                 connections_[worker].forgotten_up_to;
    const auto acknowledged =
        may_be_other_life || is_confirmed ? 0 : found->second.completions_acknowledged;
    if (!may_be_other_life && schedule::may_extend_lease(scheduler_, worker))
        header.lease_until = lease_for(connections_[worker], requested_at);
    const auto wait = is_urgent ? std::chrono::milliseconds{0} : poll_wait_for(found->second);
    header.reply_deadline = requested_at + wait + command_timeout;
    const auto lease_before = found->second.lease_expires_at;
    if (header.lease_until)
        schedule::extend_lease(scheduler_, worker, requested_at);
    const auto polled = co_await commands_->poll(std::move(target), acknowledged, wait, header);
    if (!in_term(generation) || !is_connected(worker, number))
        co_return false;
    const auto connection = connections_.find(worker);
    if (polled.reply.result == command_result::other_incarnation) {
        log_event(log_level::info, "poll_reached_other_life",
                  {{"worker", worker},
                   {"life", polled.life},
                   {"token", header.token},
                   {"acknowledged", acknowledged},
                   {"lease_until_ms", header.lease_until ? header.lease_until->count() : 0},
                   {"clock_ms", polled.reply.clock ? polled.reply.clock->count() : 0}});
        on_other_life(worker, polled.life);
        co_return false;
    }
    update_clock(connection->second, polled.reply);
    if (polled.reply.result != command_result::accepted) {
        if (header.lease_until && polled.reply.result == command_result::unreachable)
            schedule::withdraw_lease(scheduler_, worker, requested_at, lease_before);
        else if (header.lease_until)
            schedule::on_poll_unanswered(scheduler_, worker, monotonic_now());
        schedule::record_contact_loss(scheduler_, worker, monotonic_now(), polled.reply.closed);
        log_event(log_level::debug, "worker_silent",
                  {{"worker", worker},
                   {"answer", schedule::to_string(polled.reply.result)},
                   {"reason", polled.reply.reason}});
        retire_if_gone(worker, polled.reply);
        co_return false;
    }
    const auto now = monotonic_now();
    connection->second.forgotten_up_to = std::max(connection->second.forgotten_up_to, acknowledged);
    schedule::record_reply(scheduler_, worker, requested_at);
    log_completions(worker, read_up_to, polled.report, token_);
    if (!polled.report.complete)
        log_event(log_level::info, "report_incomplete",
                  {{"worker", worker},
                   {"running", polled.report.running.size()},
                   {"ended", polled.report.ended.size()},
                   {"read_up_to", read_up_to},
                   {"token", token_}});
    auto items = schedule::on_worker_report(scheduler_, worker, polled.report, requested_at, now);
    send_due_commands();
    if (!items.empty()) {
        ++connection->second.recording;
        const auto read = scheduler_.workers.at(worker).completions_read;
        asio::co_spawn(shared_.io,
                       record_completions(this, worker, std::move(items), read, generation),
                       asio::detached);
    }
    schedule_pass();
    co_await await_recording(worker, generation);
    co_return in_term(generation);
}

/** Submits the command to the ledger until it is recorded or the term is over. */
void job_service::send_commands(const worker_id& worker)
{
    if (!hub_.leads()) {
        held_workers_.insert(worker);
        return;
    }
    for (auto& stop : take_stops(connections_[worker]))
        asio::co_spawn(shared_.io, send_stop(this, std::move(stop), generation_), asio::detached);
    // A reply that was there at once may have ended the connection.
    const auto connection = connections_.find(worker);
    if (connection != connections_.end() && !std::exchange(connection->second.sending, true))
        asio::co_spawn(shared_.io, send_queued_commands(this, worker, generation_), asio::detached);
}

void job_service::send_held_commands()
{
    for (const auto& worker : std::exchange(held_workers_, {})) {
        if (connections_.contains(worker))
            send_commands(worker);
    }
}

std::vector<schedule::stop_command> job_service::take_stops(worker_connection& connection)
{
    std::vector<schedule::stop_command> taken;
    std::deque<schedule::stop_command> waiting;
    for (auto& stop : connection.stops) {
        const run_key run{stop.task, stop.run};
        if (!schedule::is_due(scheduler_, stop))
            continue;
        if (connection.stopping.size() == max_stops_in_flight || connection.starting == run ||
            !connection.stopping.insert(run).second) {
            waiting.push_back(std::move(stop));
            continue;
        }
        taken.push_back(std::move(stop));
    }
    connection.stops = std::move(waiting);
    return taken;
}

asio::awaitable<void> job_service::send_queued_commands(job_service* self, worker_id worker,
                                                        std::uint64_t generation)
{
    while (self->in_term(generation)) {
        const auto found = self->connections_.find(worker);
        if (found == self->connections_.end())
            co_return;
        auto& connection = found->second;
        // A start may need the capacity that a stop frees.
        const bool may_start = connection.stops.empty() && connection.stopping.empty();
        const bool is_idle = connection.paces.empty() && (connection.starts.empty() || !may_start);
        if (is_idle || !self->hub_.leads()) {
            connection.sending = false;
            if (!is_idle)
                self->held_workers_.insert(worker);
            co_return;
        }
        if (!connection.paces.empty())
            co_await self->send_pace(worker, generation);
        else
            co_await self->send_start(worker, generation);
    }
}

asio::awaitable<void> job_service::send_start(worker_id worker, std::uint64_t generation)
{
    auto& connection = connections_[worker];
    const auto command = pop_first(connection.starts);
    const auto found = scheduler_.workers.find(worker);
    if (found == scheduler_.workers.end())
        co_return;
    command_header header;
    header.token = schedule::token_for(scheduler_, token_, worker);
    const auto requested_at = monotonic_now();
    header.lease_until = lease_for(connection, requested_at);
    header.reply_deadline = requested_at + command_timeout;
    auto obstacle = schedule::reason_to_drop(scheduler_, command);
    if (!obstacle && !header.lease_until)
        obstacle = schedule::drop_reason::no_lease;
    if (obstacle)
        co_return drop_start(command, *obstacle);
    const auto lease_before = found->second.lease_expires_at;
    schedule::extend_lease(scheduler_, worker, requested_at);
    schedule::on_start_sent(scheduler_, command, requested_at);
    connection.starting = run_key{command.task, command.run};
    auto target = target_of(found->second);
    auto reply = co_await commands_->start(std::move(target), command, header);
    if (!in_term(generation))
        co_return;
    if (reply.result == command_result::unreachable)
        schedule::withdraw_lease(scheduler_, worker, requested_at, lease_before);
    check_clock(worker, requested_at, reply);
    const auto current_connection = connections_.find(worker);
    if (current_connection != connections_.end())
        current_connection->second.starting.reset();
    log_start(command, token_, reply, requested_at - command.planned_at);
    schedule::on_start_result(scheduler_, command, reply.result, monotonic_now());
    if (reply.result == command_result::other_incarnation)
        co_return on_worker_crash(worker);
    if (current_connection != connections_.end())
        send_commands(worker);
    if (is_unanswered(reply))
        drop_queued_starts(worker);
    // A run that starts slowed gets its pace now.
    send_due_commands();
    if (reply.result != command_result::accepted)
        schedule_pass();
}

void job_service::drop_queued_starts(const worker_id& worker)
{
    const auto connection = connections_.find(worker);
    if (connection == connections_.end())
        return;
    for (const auto& command : std::exchange(connection->second.starts, {}))
        drop_start(command, schedule::drop_reason::unanswered);
}

void job_service::drop_start(const schedule::start_command& command, schedule::drop_reason reason)
{
    const auto now = monotonic_now();
    log_event(log_level::info, "start_dropped",
              {{"task", command.task},
               {"run", command.run},
               {"worker", command.worker},
               {"token", token_},
               {"reason", schedule::to_string(reason)},
               {"queued_us", (now - command.planned_at).count()}});
    schedule::drop_start(scheduler_, command, reason, now);
    // Without it, the other members of a gang are stopped.
    schedule_due_commands();
    schedule_pass();
}

template <class Command>
asio::awaitable<std::optional<command_reply>>
job_service::send_command(worker_id worker, std::uint64_t generation, Command command,
                          command_call<Command> method)
{
    const auto found = scheduler_.workers.find(worker);
    if (found == scheduler_.workers.end())
        co_return std::nullopt;
    const auto requested_at = monotonic_now();
    command_header header;
    header.token = schedule::token_for(scheduler_, token_, worker);
    header.reply_deadline = requested_at + command_timeout;
    auto target = target_of(found->second);
    auto reply = co_await ((*commands_).*method)(std::move(target), std::move(command), header);
    if (!in_term(generation))
        co_return std::nullopt;
    check_clock(worker, requested_at, reply);
    co_return std::move(reply);
}

asio::awaitable<void> job_service::send_pace(worker_id worker, std::uint64_t generation)
{
    const auto command = pop_first(connections_[worker].paces);
    if (!schedule::is_due(scheduler_, command))
        co_return;
    const auto reply = co_await send_command(worker, generation, command, &worker_commands::pace);
    if (!reply)
        co_return;
    log_event(log_level::info, "task_paced",
              {{"task", command.task},
               {"run", command.run},
               {"worker", command.worker},
               {"percent", command.percent},
               {"token", token_},
               {"answer", schedule::to_string(reply->result)},
               {"reason", reply->reason}});
    schedule::on_pace_result(scheduler_, command, reply->result);
    if (reply->result == command_result::other_incarnation)
        on_worker_crash(worker);
}

asio::awaitable<void> job_service::send_stop(job_service* self, schedule::stop_command command,
                                             std::uint64_t generation)
{
    const auto worker = command.worker;
    const auto sent_at = monotonic_now();
    const auto attempt = schedule::on_stop_sent(self->scheduler_, command);
    const auto waited = sent_at - command.requested_at;
    if (attempt == 1) {
        self->stop_delay_.record(waited);
        self->load_.longest_stop_delay = std::max(self->load_.longest_stop_delay, waited);
    }
    const auto reply =
        co_await self->send_command(worker, generation, command, &worker_commands::stop);
    if (!reply)
        co_return;
    log_event(log_level::info, "task_stopped",
              {{"task", command.task},
               {"run", command.run},
               {"worker", command.worker},
               {"cause", schedule::to_string(command.cause)},
               {"attempt", attempt},
               {"waited_us", waited.count()},
               {"queued_us", (sent_at - command.planned_at).count()},
               {"token", self->token_},
               {"answer", schedule::to_string(reply->result)},
               {"reason", reply->reason}});
    schedule::on_stop_result(self->scheduler_, command, reply->result, monotonic_now());
    if (is_unanswered(*reply))
        self->drop_queued_starts(worker);
    if (reply->result == command_result::other_incarnation)
        self->on_worker_crash(worker);
    self->retire_if_gone(worker, *reply);
    const auto connection = self->connections_.find(worker);
    if (connection == self->connections_.end())
        co_return;
    connection->second.stopping.erase({command.task, command.run});
    self->send_commands(worker);
}

} // namespace galenaturn::controld
