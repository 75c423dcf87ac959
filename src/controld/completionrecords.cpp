#include "jobservice.h"
#include "workercalls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using wire::command_status;

/**
 * A worker that may not forget its completions replies to a poll at once. It is polled at this
 * interval until they are recorded, to extend its lease.
 */
constexpr duration recording_poll_interval = std::chrono::milliseconds{500};
/** Pause before completions that the ledger did not accept are submitted again. */
constexpr duration record_retry_pause = std::chrono::milliseconds{50};
constexpr duration record_timeout = std::chrono::seconds{3};

} // namespace

asio::awaitable<void> job_service::submit_until_recorded(wire::command body, std::size_t items,
                                                         std::uint64_t generation)
{
    const auto began = monotonic_now();
    while (in_term(generation)) {
        const auto outcome = co_await hub_.submit(body, monotonic_now() + record_timeout);
        if (outcome.status == command_status::accepted)
            break;
        log_event(log_level::warning, "ends_not_recorded",
                  {{"items", items},
                   {"status", wire::to_string(outcome.status)},
                   {"reason", outcome.reason}});
        co_await pause(shared_.io, record_retry_pause);
    }
    const auto elapsed = monotonic_now() - began;
    record_latency_.record(elapsed);
    load_.longest_record = std::max(load_.longest_record, elapsed);
}

asio::awaitable<void>
job_service::record_completions(job_service* self, worker_id worker,
                                std::vector<wire::record_completions::item> items,
                                std::uint64_t read_up_to, std::uint64_t generation)
{
    wire::record_completions completions;
    completions.items = items;
    completions.now = ledger::record_time(self->hub_.state(), wall_now());
    wire::command body{std::move(completions)};
    co_await self->submit_until_recorded(std::move(body), items.size(), generation);
    if (!self->in_term(generation))
        co_return;
    schedule::on_completions_recorded(self->scheduler_, items);
    schedule::acknowledge_completions(self->scheduler_, worker, read_up_to);
    self->schedule_pass();
    const auto connection = self->connections_.find(worker);
    if (connection == self->connections_.end() || connection->second.recording == 0)
        co_return;
    if (--connection->second.recording == 0 && connection->second.recording_timer)
        connection->second.recording_timer->cancel();
}

asio::awaitable<void> job_service::await_recording(worker_id worker, std::uint64_t generation)
{
    const auto connection = connections_.find(worker);
    if (!in_term(generation) || connection == connections_.end() ||
        connection->second.recording == 0)
        co_return;
    const auto timer = std::make_shared<wire::boot_timer>(shared_.io, recording_poll_interval);
    connection->second.recording_timer = timer;
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> job_service::record_crash(job_service* self, wire::record_crash crash,
                                                std::uint64_t generation)
{
    const auto items = crash.items;
    wire::command body{std::move(crash)};
    co_await self->submit_until_recorded(std::move(body), items.size(), generation);
    if (!self->in_term(generation))
        co_return;
    schedule::on_crash_recorded(self->scheduler_, items);
    self->schedule_pass();
}

} // namespace galenaturn::controld
