#include "slotbroker.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenaturn::entryd {

namespace asio = boost::asio;

namespace {

/** Bounds the memory that requests can take at one entry. */
constexpr std::int64_t held_requests_limit = 20'000;

} // namespace

slot_broker::slot_broker(asio::io_context& io, broker_settings settings, request_metrics& metrics)
    : io_{io}, settings_{std::move(settings)}, metrics_{metrics}, entries_{settings_.self}
{
    admission_.held_limit = held_requests_limit;
}

std::uint32_t slot_broker::service_number(const service_id& id)
{
    const auto next = static_cast<std::uint32_t>(admission_.services.size());
    const auto [place, added] = service_numbers_.try_emplace(id, next);
    if (added)
        admission_.services.emplace_back();
    return place->second;
}

void slot_broker::set_catalogue(const catalogue& entries)
{
    for (const auto& [id, owner] : entries.owners) {
        const auto next = static_cast<std::uint32_t>(admission_.owners.size());
        const auto [place, added] = owner_numbers_.try_emplace(id, next);
        if (added)
            admission_.owners.emplace_back();
        admission_.owners[place->second].limits = {owner.weight, owner.rate, owner.concurrency};
    }
    for (const auto& [id, service] : entries.services) {
        auto& limits = admission_.services[service_number(id)].limits;
        limits = {service.shed_class, service.concurrency, service.queue,
                  service.latency_objective};
    }
    dispatch_all();
}

void slot_broker::announce(const wire::upstream_announcement& news)
{
    if (news.domain != settings_.domain)
        return;
    const auto service = service_number(news.service);
    const bool known = route::find_upstream(table_, news.id).has_value();
    if (!route::announce_upstream(table_, service, news))
        return;
    const auto place = *route::find_upstream(table_, news.id);
    if (!known) {
        place_upstream(place);
        // Before the first report no home is known; what it shows free is free.
        route::withhold_slots(table_, place, news.busy_slots);
    }
    refresh_capacity();
    dispatch(service);
}

void slot_broker::lapse(const upstream_id& id)
{
    route::lapse_upstream(table_, id);
    refresh_capacity();
}

void slot_broker::set_entries(const std::vector<live_entry>& entries)
{
    entries_.clear();
    for (const auto& entry : entries)
        entries_.push_back(entry.process);
    if (std::find(entries_.begin(), entries_.end(), settings_.self) == entries_.end())
        entries_.push_back(settings_.self);
    for (route::upstream_index place = 0; place < table_.records.size(); ++place)
        place_upstream(place);
    refresh_capacity();
    dispatch_all();
}

void slot_broker::place_upstream(route::upstream_index place)
{
    const auto home = route::home_of(table_.records[place].id, entries_);
    route::set_home(table_, place, entries_[home] == settings_.self);
}

void slot_broker::refresh_capacity()
{
    for (std::uint32_t service = 0; service < admission_.services.size(); ++service)
        admission_.services[service].slots = route::pool_of(table_, service).slots;
}

std::optional<early_refusal> slot_broker::check(const owner_id& owner, const service_id& service,
                                                time_point deadline)
{
    const auto refused = route::check_request(
        admission_, {owner_numbers_.at(owner), service_numbers_.at(service), deadline},
        monotonic_now());
    if (!refused)
        return {};
    return early_refusal{*refused->refused, refused->retry_after};
}

asio::awaitable<void> slot_broker::acquire(slot_waiter& waiter, owner_id owner, service_id service,
                                           time_point deadline)
{
    waiter.owner = owner_numbers_.at(owner);
    waiter.service = service_numbers_.at(service);
    const auto now = monotonic_now();
    if (!route::has_upstream(table_, waiter.service)) {
        waiter.refused = route::refusal_reason::no_upstream;
        co_return;
    }
    const auto decision =
        route::submit_request(admission_, {waiter.owner, waiter.service, deadline}, now);
    if (decision.pushed_out)
        refuse_waiter(*decision.pushed_out, route::refusal_reason::queue_full);
    if (decision.refused) {
        waiter.refused = decision.refused;
        waiter.retry_after = decision.retry_after;
        co_return;
    }
    waiter.ticket = decision.ticket;
    waiters_.emplace(decision.ticket.value(), &waiter);
    dispatch(waiter.service);
    if (!waiter.grant) {
        waiter.wake.expires_at(decision.latest_start);
        co_await waiter.wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    waiters_.erase(decision.ticket.value());
    metrics_.queue_time.record(monotonic_now() - now);
    if (waiter.grant || waiter.refused)
        co_return;
    route::cancel_request(admission_, waiter.service, waiter.owner, waiter.ticket);
    waiter.refused = route::refusal_reason::deadline_passed;
    waiter.retry_after =
        route::expected_wait(admission_.services[waiter.service], waiter.owner, deadline);
}

void slot_broker::cancel(slot_waiter& waiter)
{
    if (waiter.grant || waiter.refused)
        return;
    if (!route::cancel_request(admission_, waiter.service, waiter.owner, waiter.ticket))
        return;
    waiter.refused = route::refusal_reason::caller_gone;
    waiter.wake.cancel();
}

void slot_broker::refuse_waiter(route::ticket_number ticket, route::refusal_reason reason)
{
    const auto found = waiters_.find(ticket.value());
    if (found == waiters_.end())
        return;
    found->second->refused = reason;
    found->second->wake.cancel();
}

slot_grant slot_broker::grant_at(route::upstream_index place)
{
    route::take_slot(table_, place);
    const auto& upstream = table_.records[place];
    return {{upstream.id, upstream.life, upstream.address,
             route::idle_connection_limit(upstream.slots, upstream.connections, settings_.entries)},
            place};
}

void slot_broker::dispatch(std::uint32_t service)
{
    while (admission_.services[service].queue.waiting > 0) {
        const auto place = route::choose_upstream(table_, service, {});
        if (!place)
            break;
        const auto started = route::start_next(admission_, service);
        if (!started)
            break;
        auto& waiter = *waiters_.at(started->request.ticket.value());
        waiter.grant = grant_at(*place);
        waiter.wake.cancel();
    }
    update_gauges();
}

void slot_broker::dispatch_all()
{
    for (std::uint32_t service = 0; service < admission_.services.size(); ++service)
        dispatch(service);
}

std::optional<slot_grant> slot_broker::acquire_other(std::uint32_t service,
                                                     const std::vector<upstream_id>& tried)
{
    std::vector<route::upstream_index> excluded;
    for (const auto& id : tried) {
        if (const auto place = route::find_upstream(table_, id))
            excluded.push_back(*place);
    }
    const auto place = route::choose_upstream(table_, service, excluded);
    if (!place)
        return {};
    return grant_at(*place);
}

void slot_broker::settle(const slot_grant& grant, route::attempt_outcome outcome, duration took)
{
    const auto change = route::record_attempt(
        table_, grant.place, route::counts_as_failure(outcome), took, monotonic_now());
    route::return_slot(table_, grant.place);
    if (change == route::health_change::ejected) {
        metrics_.ejections.add();
        log_event(log_level::warning, "upstream_ejected",
                  {{"upstream", grant.target.id},
                   {"ejections", table_.records[grant.place].health.ejections}});
        refresh_capacity();
        schedule_probe(grant.place);
    }
    if (change == route::health_change::recovered) {
        metrics_.recoveries.add();
        log_event(log_level::info, "upstream_recovered", {{"upstream", grant.target.id}});
    }
    dispatch(table_.records[grant.place].service);
}

void slot_broker::schedule_probe(route::upstream_index place)
{
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_at(table_.records[place].health.until);
    timer->async_wait([this, place, timer](const boost::system::error_code& error) {
        const auto service = table_.records[place].service;
        if (error || route::end_ejections(table_, service, monotonic_now()) == 0)
            return;
        refresh_capacity();
        dispatch(service);
    });
}

void slot_broker::finish(const slot_waiter& waiter, std::optional<duration> took)
{
    route::finish_request(admission_, waiter.service, waiter.owner, took);
    // The owner may wait with requests for other services that its own limit held back.
    dispatch_all();
}

std::size_t slot_broker::held() const
{
    return static_cast<std::size_t>(admission_.held);
}

void slot_broker::update_gauges()
{
    metrics_.waiting.set(static_cast<double>(waiters_.size()));
    metrics_.in_progress.set(static_cast<double>(admission_.held));
}

} // namespace galenaturn::entryd
