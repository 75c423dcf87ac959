#include "jobservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using schedule::order_answer;
using wire::command_status;

/**
 * Timeout of a command. Workers reply within a few milliseconds, so a later reply is not to be
 * expected.
 */
constexpr duration order_limit = std::chrono::milliseconds{800};
/** Maximum time that a worker delays its reply to a poll while no run ends. */
constexpr std::chrono::milliseconds longest_wait{2000};
/**
 * Shorter polls of workers with latency-critical tasks, to renew leases early and to sample tails;
 * shorter still with best-effort load beside them.
 */
constexpr std::chrono::milliseconds serving_wait{1000};
constexpr std::chrono::milliseconds filled_wait{500};
/** Pause before a worker that did not reply is polled again. */
constexpr duration look_pause = std::chrono::milliseconds{200};
/** A worker that was silent for longer gets no new lease until it replies. */
constexpr duration lease_patience = std::chrono::milliseconds{2500};
/** Pause before completions that the ledger did not accept are submitted again. */
constexpr duration record_pause = std::chrono::milliseconds{50};
constexpr duration record_limit = std::chrono::seconds{3};

std::chrono::milliseconds wait_for(const schedule::job_worker& worker)
{
    if (worker.serving_images.empty())
        return longest_wait;
    return worker.filling.value() > 0 ? filled_wait : serving_wait;
}

asio::awaitable<void> pause(asio::io_context& io, duration span)
{
    asio::steady_timer timer{io, span};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

template <class Order>
Order take_first(std::deque<Order>& queue)
{
    auto order = std::move(queue.front());
    queue.pop_front();
    return order;
}

/** Logs a start or stop command with its result. */
template <class Order>
void log_order(std::string_view event, const Order& order, term token, const order_reply& reply)
{
    log_event(log_level::info, event,
              {{"task", order.task},
               {"run", order.run},
               {"worker", order.worker},
               {"token", token},
               {"answer", schedule::to_string(reply.answer)},
               {"reason", reply.reason}});
}

/** Logs each completion that is read for the first time. */
void log_ends(const worker_id& worker, std::uint64_t read_before, const schedule::worker_list& list,
              term token)
{
    for (const auto& ended : list.ended) {
        if (ended.number <= read_before)
            continue;
        log_event(log_level::info, "task_ended",
                  {{"task", ended.task},
                   {"run", ended.run},
                   {"worker", worker},
                   {"token", token},
                   {"how", schedule::to_string(ended.how)},
                   {"number", ended.number}});
    }
}

} // namespace

void job_service::open_line(const worker_id& worker)
{
    const auto [line, added] = lines_.try_emplace(worker);
    if (added)
        asio::co_spawn(shared_.io, watch(this, worker, session_), asio::detached);
}

asio::awaitable<void> job_service::watch(job_service* self, worker_id worker, std::uint64_t session)
{
    while (self->in_term(session) && self->lines_.contains(worker)) {
        if (!self->hub_.leads()) {
            co_await pause(self->shared_.io, look_pause);
            continue;
        }
        const bool answered = co_await self->look(worker, session);
        if (!answered)
            co_await pause(self->shared_.io, look_pause);
    }
}

std::optional<std::chrono::milliseconds> job_service::lease_for(const worker_line& line) const
{
    const auto now = monotonic_now();
    if (!line.clock || now - line.answered > lease_patience)
        return std::nullopt;
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - line.clock_read);
    const auto lease =
        std::chrono::duration_cast<std::chrono::milliseconds>(shared_.settings.jobs.lease);
    return *line.clock + since + lease;
}

void job_service::take_clock(worker_line& line, const order_reply& reply)
{
    if (!reply.clock)
        return;
    line.clock = reply.clock;
    line.clock_read = monotonic_now();
    line.answered = line.clock_read;
}

asio::awaitable<bool> job_service::look(worker_id worker, std::uint64_t session)
{
    const auto known = scheduler_.workers.find(worker);
    if (known == scheduler_.workers.end()) {
        lines_.erase(worker);
        co_return false;
    }
    const auto asked = monotonic_now();
    const bool first = !known->second.read;
    const auto record = known->second.record;
    const auto read_before = known->second.ends_read;
    order_terms terms;
    terms.token = token_;
    terms.lease_until = lease_for(lines_[worker]);
    const auto wait = first ? std::chrono::milliseconds{0} : wait_for(known->second);
    terms.answer_by = asked + wait + order_limit;
    if (terms.lease_until)
        schedule::note_lease(scheduler_, worker, asked);
    const auto told = co_await orders_->list(record, known->second.ends_settled, wait, terms);
    const auto line = lines_.find(worker);
    if (!in_term(session) || line == lines_.end())
        co_return false;
    if (told.reply.answer == order_answer::other_life) {
        retire(worker, "other_life");
        co_return false;
    }
    take_clock(line->second, told.reply);
    if (told.reply.answer != order_answer::accepted) {
        log_event(log_level::debug, "worker_silent",
                  {{"worker", worker},
                   {"answer", schedule::to_string(told.reply.answer)},
                   {"reason", told.reply.reason}});
        co_return false;
    }
    const auto now = monotonic_now();
    schedule::note_answer(scheduler_, worker, asked);
    log_ends(worker, read_before, told.list, token_);
    auto items = schedule::take_list(scheduler_, worker, told.list, asked, now);
    if (!items.empty()) {
        co_await this->record(std::move(items), session);
        if (!in_term(session))
            co_return false;
        schedule::settle_ends(scheduler_, worker);
    }
    wake();
    co_return true;
}

/** Submits completions to the ledger until they are recorded or the term is over. */
asio::awaitable<void> job_service::record(std::vector<wire::record_ends::item> items,
                                          std::uint64_t session)
{
    while (in_term(session)) {
        wire::record_ends ends;
        ends.items = items;
        ends.now = wall_now();
        wire::command body{std::move(ends)};
        const auto outcome = co_await hub_.submit(std::move(body), monotonic_now() + record_limit);
        if (outcome.status == command_status::accepted)
            break;
        log_event(log_level::warning, "ends_not_recorded",
                  {{"items", items.size()}, {"status", wire::to_string(outcome.status)}});
        co_await pause(shared_.io, record_pause);
    }
    if (in_term(session))
        schedule::ends_recorded(scheduler_, items);
}

void job_service::retire(const worker_id& worker, const char* cause)
{
    log_event(log_level::info, "worker_retired", {{"worker", worker}, {"cause", cause}});
    schedule::remove_worker(scheduler_, worker);
    lines_.erase(worker);
    const auto known = announcements_.find(worker);
    if (known != announcements_.end())
        known->second.beat.left = true;
    note_in_ledger({}, {worker});
    wake();
}

void job_service::send_orders(const worker_id& worker)
{
    auto& line = lines_[worker];
    if (std::exchange(line.sending, true))
        return;
    asio::co_spawn(shared_.io, send_queue(this, worker, session_), asio::detached);
}

asio::awaitable<void> job_service::send_queue(job_service* self, worker_id worker,
                                              std::uint64_t session)
{
    while (self->in_term(session)) {
        const auto line = self->lines_.find(worker);
        if (line == self->lines_.end())
            co_return;
        if (!line->second.stops.empty()) {
            co_await self->send_stop(worker, session);
            continue;
        }
        if (!line->second.paces.empty()) {
            co_await self->send_pace(worker, session);
            continue;
        }
        if (line->second.starts.empty()) {
            line->second.sending = false;
            co_return;
        }
        co_await self->send_start(worker, session);
    }
}

asio::awaitable<void> job_service::send_start(worker_id worker, std::uint64_t session)
{
    auto& line = lines_[worker];
    const auto order = take_first(line.starts);
    const auto known = scheduler_.workers.find(worker);
    if (known == scheduler_.workers.end())
        co_return;
    order_terms terms;
    terms.token = token_;
    terms.lease_until = lease_for(line);
    const auto asked = monotonic_now();
    terms.answer_by = asked + order_limit;
    order_reply reply;
    // Without a lease, or without leadership, the command is not sent at all.
    if (!terms.lease_until || !hub_.leads()) {
        reply.answer = order_answer::refused;
    }
    else {
        schedule::note_lease(scheduler_, worker, asked);
        reply = co_await orders_->start(known->second.record, order, terms);
    }
    if (!in_term(session))
        co_return;
    log_order("task_started", order, token_, reply);
    schedule::take_start_answer(scheduler_, order, reply.answer, monotonic_now());
    if (reply.answer == order_answer::other_life)
        co_return retire(worker, "other_life");
    const auto line_now = lines_.find(worker);
    if (line_now != lines_.end())
        take_clock(line_now->second, reply);
    if (reply.answer != order_answer::accepted)
        wake();
}

template <class Order>
asio::awaitable<std::optional<order_reply>>
job_service::give(worker_id worker, std::uint64_t session, Order order, order_call<Order> call)
{
    const auto known = scheduler_.workers.find(worker);
    if (known == scheduler_.workers.end() || !hub_.leads())
        co_return std::nullopt;
    order_terms terms;
    terms.token = token_;
    terms.answer_by = monotonic_now() + order_limit;
    auto reply = co_await ((*orders_).*call)(known->second.record, std::move(order), terms);
    if (!in_term(session))
        co_return std::nullopt;
    co_return std::move(reply);
}

asio::awaitable<void> job_service::send_pace(worker_id worker, std::uint64_t session)
{
    const auto order = take_first(lines_[worker].paces);
    const auto reply = co_await give(worker, session, order, &worker_orders::pace);
    if (!reply)
        co_return;
    log_event(log_level::info, "task_paced",
              {{"task", order.task},
               {"run", order.run},
               {"worker", order.worker},
               {"percent", order.percent},
               {"token", token_},
               {"answer", schedule::to_string(reply->answer)},
               {"reason", reply->reason}});
    schedule::take_pace_answer(scheduler_, order, reply->answer);
    if (reply->answer == order_answer::other_life)
        retire(worker, "other_life");
}

asio::awaitable<void> job_service::send_stop(worker_id worker, std::uint64_t session)
{
    const auto order = take_first(lines_[worker].stops);
    const auto reply = co_await give(worker, session, order, &worker_orders::stop);
    if (!reply)
        co_return;
    log_order("task_stopped", order, token_, *reply);
    schedule::take_stop_answer(scheduler_, order, reply->answer, monotonic_now());
    if (reply->answer == order_answer::other_life)
        retire(worker, "other_life");
}

} // namespace galenaturn::controld
