#pragma once

#include "entryhub.h"
#include "requestmetrics.h"
#include "upstreamclient.h"

#include <galenaturn/route.h>

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace galenaturn::entryd {

/** The right to send one request to one upstream. */
struct slot_grant {
    upstream_target target;
    /** Place in this entry's table; no_upstream where another entry lent the slot. */
    route::upstream_index place{route::no_upstream};
};

/** A request that waits for its slot, owned by the coroutine that waits. */
struct slot_waiter {
    explicit slot_waiter(boost::asio::io_context& io) : wake{io} {}

    boost::asio::steady_timer wake;
    std::uint32_t owner{0};
    std::uint32_t service{0};
    route::ticket_number ticket;
    std::optional<slot_grant> grant;
    std::optional<route::refusal_reason> refused;
    duration retry_after{};
};

/** Why a request is not admitted, and when it may be. */
struct early_refusal {
    route::refusal_reason reason{};
    duration retry_after{};
};

/** What the broker needs to know of its process. */
struct broker_settings {
    process_id self;
    failure_domain_id domain;
    /** Entries of the whole system, over which the connections of an upstream are divided. */
    std::size_t entries{1};
};

/** Owns admission and the table of upstreams; brings waiting requests and free slots together. */
class slot_broker {
public:
    slot_broker(boost::asio::io_context& io, broker_settings settings, request_metrics& metrics);

    void set_catalogue(const catalogue& entries);
    void announce(const wire::upstream_announcement& news);
    void lapse(const upstream_id& id);
    void set_entries(const std::vector<live_entry>& entries);

    /** Returns why the request would be refused now, without queueing it. */
    std::optional<early_refusal> check(const owner_id& owner, const service_id& service,
                                       time_point deadline);
    /**
     * Waits until the request may be sent and `waiter` holds its slot, or is refused. A granted
     * request is given back with `finish`.
     */
    boost::asio::awaitable<void> acquire(slot_waiter& waiter, owner_id owner, service_id service,
                                         time_point deadline);
    /** Wakes a waiting request without a slot. */
    void cancel(slot_waiter& waiter);
    /** Returns a slot at an upstream that is not in `tried`, if there is one now. */
    std::optional<slot_grant> acquire_other(std::uint32_t service,
                                            const std::vector<upstream_id>& tried);
    /** Gives a slot back and records how the attempt went. */
    void settle(const slot_grant& grant, route::attempt_outcome outcome, duration took);
    /** Ends a granted request. `took` is the time of its answer, if it got one. */
    void finish(const slot_waiter& waiter, std::optional<duration> took);

    /** Returns the requests that wait or run. */
    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] const route::upstream_table& table() const { return table_; }

private:
    void dispatch(std::uint32_t service);
    void dispatch_all();
    slot_grant grant_at(route::upstream_index place);
    void place_upstream(route::upstream_index place);
    void refresh_capacity();
    void update_gauges();
    void refuse_waiter(route::ticket_number ticket, route::refusal_reason reason);
    std::uint32_t service_number(const service_id& id);
    void schedule_probe(route::upstream_index place);

    boost::asio::io_context& io_;
    broker_settings settings_;
    request_metrics& metrics_;
    route::admission_state admission_;
    route::upstream_table table_;
    std::vector<process_id> entries_;
    std::unordered_map<owner_id, std::uint32_t> owner_numbers_;
    std::unordered_map<service_id, std::uint32_t> service_numbers_;
    std::unordered_map<std::uint64_t, slot_waiter*> waiters_;
};

} // namespace galenaturn::entryd
