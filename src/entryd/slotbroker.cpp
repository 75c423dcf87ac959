#include "slotbroker.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenaturn::entryd {

namespace asio = boost::asio;

namespace {

/** Maximum number of requests in progress or waiting; bounds the memory of an entry. */
constexpr std::int64_t max_admitted_requests = 20'000;

} // namespace

slot_broker::slot_broker(asio::io_context& io, broker_settings settings, request_metrics& metrics)
    : io_{io}, settings_{std::move(settings)}, metrics_{metrics}, entries_{settings_.self}
{
    admission_.max_admitted = max_admitted_requests;
}

std::uint32_t slot_broker::service_number(const service_id& id)
{
    const auto next = static_cast<std::uint32_t>(admission_.services.size());
    const auto [entry, added] = service_numbers_.try_emplace(id, next);
    if (added) {
        admission_.services.emplace_back();
        service_names_.push_back(id);
        timeouts_.emplace_back();
    }
    return entry->second;
}

void slot_broker::set_catalogue(const catalogue& entries)
{
    for (const auto& [id, owner] : entries.owners) {
        const auto next = static_cast<std::uint32_t>(admission_.owners.size());
        const auto [entry, added] = owner_numbers_.try_emplace(id, next);
        if (added)
            admission_.owners.emplace_back();
        admission_.owners[entry->second].limits = {owner.weight, owner.rate, owner.concurrency};
    }
    for (const auto& [id, service] : entries.services) {
        const auto number = service_number(id);
        timeouts_[number] = service.timeout;
        auto& limits = admission_.services[number].limits;
        limits = {service.shed_class, service.concurrency, service.queue,
                  service.latency_objective};
    }
    dispatch_all();
}

void slot_broker::on_announcement(const wire::upstream_announcement& announcement)
{
    if (announcement.domain != settings_.domain)
        return;
    const auto service = service_number(announcement.service);
    const bool known = route::find_upstream(table_, announcement.id).has_value();
    if (!route::announce_upstream(table_, service, announcement))
        return;
    const auto index = *route::find_upstream(table_, announcement.id);
    if (!known) {
        update_home(index);
        // A new upstream may still run requests that an earlier home entry, unknown here, sent to
        // it: only the slots that the upstream announces as free are handed out.
        route::withhold_slots(table_, index, announcement.busy_slots);
    }
    refresh_capacity();
    dispatch(service);
}

void slot_broker::expire(const upstream_id& id)
{
    route::expire_upstream(table_, id);
    refresh_capacity();
}

void slot_broker::set_entries(const std::vector<live_entry>& entries)
{
    entries_.clear();
    for (const auto& entry : entries)
        entries_.push_back(entry.process);
    if (std::find(entries_.begin(), entries_.end(), settings_.self) == entries_.end())
        entries_.push_back(settings_.self);
    for (route::upstream_index index = 0; index < table_.records.size(); ++index)
        update_home(index);
    refresh_capacity();
    dispatch_all();
}

void slot_broker::update_home(route::upstream_index index)
{
    const auto home = route::home_entry_index(table_.records[index].id, entries_);
    route::set_home(table_, index, entries_[home] == settings_.self);
}

void slot_broker::refresh_capacity()
{
    for (std::uint32_t service = 0; service < admission_.services.size(); ++service)
        admission_.services[service].slots = route::known_slots(table_, service);
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
    if (!route::has_upstream(table_, waiter.service) && !(can_borrow_ && can_borrow_())) {
        waiter.refused = route::refusal_reason::no_upstream;
        co_return;
    }
    const auto decision =
        route::submit_request(admission_, {waiter.owner, waiter.service, deadline}, now);
    if (decision.evicted_ticket)
        refuse_waiter(*decision.evicted_ticket, route::refusal_reason::queue_full);
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

slot_grant slot_broker::grant_at(route::upstream_index index)
{
    route::take_slot(table_, index);
    const auto& upstream = table_.records[index];
    slot_grant grant;
    grant.target = {upstream.id, upstream.incarnation_number, upstream.address,
                    max_idle_connections(upstream.slots, upstream.connections)};
    grant.index = index;
    return grant;
}

std::size_t slot_broker::max_idle_connections(std::uint32_t slots, std::uint32_t connections) const
{
    return route::idle_connection_limit(slots, connections, settings_.entries);
}

void slot_broker::dispatch(std::uint32_t service)
{
    while (admission_.services[service].queue.waiting > 0) {
        const auto index = route::choose_upstream(table_, service, {});
        if (!index)
            break;
        const auto started = route::start_next(admission_, service);
        if (!started)
            break;
        auto& waiter = *waiters_.at(started->request.ticket.value());
        waiter.grant = grant_at(*index);
        waiter.wake.cancel();
    }
    if (admission_.services[service].queue.waiting > 0 && route::can_start(admission_, service) &&
        shortage_handler_)
        shortage_handler_(service);
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
        if (const auto index = route::find_upstream(table_, id))
            excluded.push_back(*index);
    }
    const auto index = route::choose_upstream(table_, service, excluded);
    if (!index)
        return {};
    return grant_at(*index);
}

std::optional<slot_grant> slot_broker::lend(const service_id& service,
                                            const std::vector<upstream_id>& excluded)
{
    const auto number = service_numbers_.find(service);
    if (number == service_numbers_.end() || waiting(number->second) > 0)
        return {};
    return acquire_other(number->second, excluded);
}

bool slot_broker::assign_borrowed_slot(std::uint32_t service, const slot_grant& grant)
{
    const auto started = route::start_next(admission_, service);
    if (!started)
        return false;
    auto& waiter = *waiters_.at(started->request.ticket.value());
    waiter.grant = grant;
    waiter.wake.cancel();
    update_gauges();
    return true;
}

void slot_broker::refuse_waiting(const service_id& service)
{
    const auto number = service_numbers_.find(service);
    if (number == service_numbers_.end() || has_upstreams(service))
        return;
    for (auto& [ticket, waiter] : waiters_) {
        if (waiter->service != number->second || waiter->grant || waiter->refused)
            continue;
        route::cancel_request(admission_, waiter->service, waiter->owner, waiter->ticket);
        waiter->refused = route::refusal_reason::no_upstream;
        waiter->wake.cancel();
    }
}

bool slot_broker::has_upstreams(const service_id& service) const
{
    const auto number = service_numbers_.find(service);
    return number != service_numbers_.end() && route::known_slots(table_, number->second) > 0;
}

std::size_t slot_broker::waiting(std::uint32_t service) const
{
    return static_cast<std::size_t>(admission_.services.at(service).queue.waiting);
}

const service_id& slot_broker::service_name(std::uint32_t service) const
{
    return service_names_.at(service);
}

duration slot_broker::max_request_duration(const service_id& service) const
{
    return timeouts_.at(service_numbers_.at(service));
}

void slot_broker::release_slot(const slot_grant& grant, route::attempt_outcome outcome,
                               duration took)
{
    if (outcome != route::attempt_outcome::cancelled)
        record(grant, outcome, took);
    route::return_slot(table_, grant.index);
    dispatch(table_.records[grant.index].service);
}

void slot_broker::record(const slot_grant& grant, route::attempt_outcome outcome, duration took)
{
    // What an earlier incarnation did not answer says nothing about the current one.
    if (grant.target.incarnation_number != table_.records[grant.index].incarnation_number)
        return;
    const auto change = route::record_attempt(
        table_, grant.index, route::counts_as_failure(outcome), took, monotonic_now());
    if (change == route::health_change::ejected) {
        metrics_.ejections.add();
        log_event(log_level::warning, "upstream_ejected",
                  {{"upstream", grant.target.id},
                   {"ejections", table_.records[grant.index].health.ejections}});
        schedule_probe(grant.index);
    }
    if (change == route::health_change::recovered) {
        metrics_.recoveries.add();
        log_event(log_level::info, "upstream_recovered", {{"upstream", grant.target.id}});
    }
}

void slot_broker::schedule_probe(route::upstream_index index)
{
    auto timer = std::make_shared<wire::boot_timer>(io_);
    timer->expires_at(table_.records[index].health.ejected_until);
    timer->async_wait([this, index, timer](const boost::system::error_code& error) {
        const auto service = table_.records[index].service;
        if (!error && route::end_ejections(table_, service, monotonic_now()) > 0)
            dispatch(service);
    });
}

void slot_broker::finish(const slot_waiter& waiter, std::optional<duration> took)
{
    route::finish_request(admission_, waiter.service, waiter.owner, took);
    // Requests of the same owner for other services may have waited for its concurrency limit.
    dispatch_all();
}

std::size_t slot_broker::admitted_count() const
{
    return static_cast<std::size_t>(admission_.admitted);
}

void slot_broker::update_gauges()
{
    metrics_.waiting.set(static_cast<double>(waiters_.size()));
    metrics_.in_progress.set(static_cast<double>(admission_.admitted));
}

} // namespace galenaturn::entryd
