#include "restartingworkers.h"

#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

constexpr duration poll_check_interval = std::chrono::milliseconds{5};

command_reply reply_of(schedule::command_result result, std::chrono::milliseconds clock)
{
    command_reply reply;
    reply.result = result;
    reply.clock = clock;
    return reply;
}

command_reply refused_connection()
{
    command_reply reply;
    reply.result = schedule::command_result::unreachable;
    reply.connection_refused = true;
    return reply;
}

} // namespace

void restarting_workers::begin_life(const std::string& name, incarnation life,
                                    std::chrono::milliseconds clock)
{
    auto& worker = workers_[name];
    auto held = std::move(worker.held_calls);
    const auto starts = worker.starts;
    worker = {};
    worker.life = life;
    worker.began = monotonic_now() - clock;
    worker.lease_ends = worker.began;
    worker.starts = starts;
    worker.held_calls = std::move(held);
}

void restarting_workers::end_life(const std::string& name)
{
    auto& worker = workers_[name];
    worker.over = true;
    worker.running.clear();
    worker.ended.clear();
}

void restarting_workers::carry_out_held_calls(const std::string& name, time_point sent_until)
{
    for (auto& call : std::exchange(workers_[name].held_calls, {})) {
        if (call.sent_at <= sent_until)
            call.carry_out();
        else
            workers_[name].held_calls.push_back(std::move(call));
    }
}

void restarting_workers::end_runs(const std::string& name, std::size_t count)
{
    auto& worker = workers_[name];
    expire_lease(worker);
    for (; count > 0 && !worker.running.empty(); --count) {
        const auto [task, run] = *worker.running.begin();
        worker.running.erase(worker.running.begin());
        worker.ended.push_back(
            {++worker.last_completion, task, run, schedule::run_outcome::succeeded, ""});
        succeeded_[task] = name;
    }
}

std::size_t restarting_workers::running(const std::string& name)
{
    expire_lease(workers_[name]);
    return workers_[name].running.size();
}

std::chrono::milliseconds restarting_workers::clock_of(const worker_state& worker)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(monotonic_now() - worker.began);
}

void restarting_workers::expire_lease(worker_state& worker)
{
    if (monotonic_now() < worker.lease_ends)
        return;
    for (const auto& [task, run] : std::exchange(worker.running, {}))
        worker.ended.push_back(
            {++worker.last_completion, task, run, schedule::run_outcome::expired, ""});
}

bool restarting_workers::accept_call(worker_state& worker, const command_header& header) const
{
    expire_lease(worker);
    if (header.token < worker.token)
        return false;
    worker.token = header.token;
    if (header.lease_until) {
        const auto now = monotonic_now();
        const auto ends = std::min(worker.began + *header.lease_until, now + lease_limit_);
        worker.lease_ends = std::max(worker.lease_ends, ends);
    }
    return true;
}

command_reply restarting_workers::carry_out_start(const std::string& name,
                                                  const schedule::start_command& command,
                                                  const command_header& header)
{
    auto& worker = workers_[name];
    if (!accept_call(worker, header))
        return reply_of(schedule::command_result::fenced, clock_of(worker));
    if (worker.began + *header.lease_until < monotonic_now())
        return reply_of(schedule::command_result::too_late, clock_of(worker));
    for (auto& [other_name, other] : workers_) {
        expire_lease(other);
        if (other_name != name && other.running.contains(command.task))
            doubled_.push_back(command.task);
    }
    if (succeeded_.contains(command.task))
        doubled_.push_back(command.task);
    ++worker.starts;
    worker.running[command.task] = command.run;
    return reply_of(schedule::command_result::accepted, clock_of(worker));
}

poll_reply restarting_workers::carry_out_poll(const std::string& name, std::uint64_t acknowledged,
                                              const command_header& header)
{
    auto& worker = workers_[name];
    poll_reply polled;
    const bool accepted = accept_call(worker, header);
    polled.reply =
        reply_of(accepted ? schedule::command_result::accepted : schedule::command_result::fenced,
                 clock_of(worker));
    polled.life = worker.life;
    if (!accepted)
        return polled;
    std::erase_if(worker.ended, [&](const auto& end) { return end.number <= acknowledged; });
    polled.report.ended = worker.ended;
    for (const auto& [task, run] : worker.running)
        polled.report.running.push_back({task, run, "", 50, 0});
    return polled;
}

asio::awaitable<void> restarting_workers::wait_until(time_point deadline)
{
    wire::boot_timer timer{io_, deadline};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<command_reply> restarting_workers::start(worker_target worker,
                                                         schedule::start_command command,
                                                         command_header header)
{
    const auto name = name_of(worker.id);
    auto& state = workers_[name];
    const bool held = state.holds_calls || state.holds_starts;
    if (state.over && !state.cut)
        co_return refused_connection();
    if (!state.cut && !held)
        co_return carry_out_start(name, command, header);
    if (held)
        state.held_calls.push_back({monotonic_now(), [this, name, command, header] {
                                        carry_out_start(name, command, header);
                                    }});
    co_await wait_until(header.reply_deadline);
    co_return command_reply{};
}

asio::awaitable<command_reply> restarting_workers::stop(worker_target worker,
                                                        schedule::stop_command command,
                                                        command_header header)
{
    auto& state = workers_[name_of(worker.id)];
    if (state.over && !state.cut)
        co_return refused_connection();
    if (state.cut || state.holds_calls) {
        co_await wait_until(header.reply_deadline);
        co_return command_reply{};
    }
    if (!accept_call(state, header))
        co_return reply_of(schedule::command_result::fenced, clock_of(state));
    if (state.running.erase(command.task) > 0)
        state.ended.push_back({++state.last_completion, command.task, command.run,
                               schedule::run_outcome::stopped, ""});
    co_return reply_of(schedule::command_result::accepted, clock_of(state));
}

asio::awaitable<command_reply> restarting_workers::pace(worker_target worker,
                                                        schedule::pace_command /*command*/,
                                                        command_header /*header*/)
{
    co_return reply_of(schedule::command_result::accepted, clock_of(workers_[name_of(worker.id)]));
}

asio::awaitable<poll_reply> restarting_workers::poll(worker_target worker,
                                                     std::uint64_t acknowledged_completions,
                                                     std::chrono::milliseconds wait,
                                                     command_header header)
{
    const auto name = name_of(worker.id);
    auto& state = workers_[name];
    const auto life = state.life;
    const auto replies_at = monotonic_now() + wait;
    if (state.over && !state.cut)
        co_return poll_reply{refused_connection(), {}, {}};
    if (state.holds_calls)
        state.held_calls.push_back(
            {monotonic_now(), [this, name, acknowledged_completions, header] {
                 carry_out_poll(name, acknowledged_completions, header);
             }});
    const bool arrives = !state.cut && !state.holds_calls;
    if (arrives)
        carry_out_poll(name, acknowledged_completions, header);
    while (arrives && state.ended.empty() && state.life == life && !state.over &&
           monotonic_now() < replies_at)
        co_await wait_until(monotonic_now() + poll_check_interval);
    if (state.over && !state.cut) {
        poll_reply closed;
        closed.reply.closed = true;
        co_return closed;
    }
    if (!arrives || state.life != life || state.cut) {
        co_await wait_until(header.reply_deadline);
        co_return poll_reply{};
    }
    auto polled = carry_out_poll(name, 0, header);
    if (polled.reply.result == schedule::command_result::accepted &&
        polled.life != incarnation_of(worker.id))
        polled.reply.result = schedule::command_result::other_incarnation;
    co_return polled;
}

} // namespace galenaturn::controld
