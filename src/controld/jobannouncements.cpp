#include "jobservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

using schedule::announcement_effect;
using wire::command_status;

/**
 * Announcements are forwarded in batches at this interval. A worker that is leaving has to be known
 * to all processes well before its drain ends.
 */
constexpr duration share_interval = std::chrono::milliseconds{200};

} // namespace

bool job_service::accept_announcement(const wire::worker_presence& presence)
{
    const auto effect = schedule::record_announcement(announcements_, presence, monotonic_now());
    if (effect == announcement_effect::new_worker)
        log_event(log_level::info, "worker_announced",
                  {{"worker", presence.worker.id},
                   {"address", presence.worker.address},
                   {"failure_domain", presence.worker.domain},
                   {"sequence", presence.sequence}});
    if (effect == announcement_effect::departure)
        log_event(log_level::info, "worker_leaving",
                  {{"worker", presence.worker.id},
                   {"left", presence.left},
                   {"sequence", presence.sequence}});
    return effect != announcement_effect::outdated;
}

void job_service::on_announcement(wire::worker_presence presence)
{
    schedule::resolve_departure(announcements_, presence);
    if (!accept_announcement(presence))
        return;
    apply_announcement(presence);
    queue_for_sharing(presence);
}

void job_service::queue_for_sharing(const wire::worker_presence& presence)
{
    announcements_to_share_.push_back(presence);
    if (presence.leaving || presence.left)
        return send_queued_announcements();
    if (!share_pending_)
        start_share_timer();
}

void job_service::start_share_timer()
{
    share_pending_ = true;
    share_timer_.expires_after(share_interval);
    share_timer_.async_wait([this](const boost::system::error_code& error) {
        share_pending_ = false;
        if (!error)
            send_queued_announcements();
    });
}

void job_service::send_queued_announcements()
{
    const wire::worker_presences announcements{std::exchange(announcements_to_share_, {})};
    if (announcements.presences.empty())
        return;
    send_to_controls(wire::frame_kind::worker_presences, wire::encode(announcements));
}

void job_service::send_to_controls(wire::frame_kind kind, const std::string& payload)
{
    for (const auto& [process, member] : roster_.current_roster().controls) {
        if (auto* link = shared_.peers.find(process))
            link->send(kind, payload);
    }
}

void job_service::apply_announcement(const wire::worker_presence& presence)
{
    if (!term_active_)
        return;
    schedule::on_worker_announcement(scheduler_, presence);
    if (presence.left)
        return schedule_pass();
    const auto& id = presence.worker.id;
    const auto& recorded = hub_.state().workers;
    for (const auto& earlier : schedule::earlier_lives(scheduler_, id))
        on_worker_crash(earlier, id);
    // The next leader may not have heard of a capacity that has changed.
    const auto found = recorded.find(id);
    if (found == recorded.end() || found->second.capacity != presence.worker.capacity)
        update_ledger_workers({presence.worker}, {});
}

void job_service::update_ledger_workers(std::vector<wire::worker_record> admitted,
                                        std::vector<worker_id> retired)
{
    asio::co_spawn(shared_.io,
                   record_in_ledger(this, {std::move(admitted), std::move(retired)}, generation_),
                   asio::detached);
}

asio::awaitable<void> job_service::record_in_ledger(job_service* self, wire::record_workers changes,
                                                    std::uint64_t generation)
{
    if (!self->in_term(generation))
        co_return;
    wire::command body{std::move(changes)};
    const auto outcome =
        co_await self->hub_.submit(std::move(body), monotonic_now() + ledger_command_timeout);
    // The next announcement of the worker retries.
    if (outcome.status != command_status::accepted)
        log_event(log_level::warning, "worker_not_noted",
                  {{"status", wire::to_string(outcome.status)}, {"reason", outcome.reason}});
}

} // namespace galenaturn::controld
