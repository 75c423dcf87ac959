#pragma once

#include "entryhub.h"
#include "requestmetrics.h"
#include "upstreamclient.h"

#include <galenaturn/route.h>
#include <galenaturn/wire.h>

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace galenaturn::entryd {

/** The right to send one request to one upstream. */
struct slot_grant {
    upstream_target target;
    /** Index in this entry's upstream table; no_upstream if another entry lent the slot. */
    route::upstream_index index{route::no_upstream};
    /** For a borrowed slot: the lending entry, the number of the loan, and when it expires. */
    process_id lender;
    std::uint64_t loan{0};
    time_point usable_until{time_point::max()};

    [[nodiscard]] bool borrowed() const { return index == route::no_upstream; }
};

/** A request that waits for a slot. Owned by the waiting coroutine. */
struct slot_waiter {
    explicit slot_waiter(boost::asio::io_context& io) : wake{io} {}

    wire::boot_timer wake;
    std::uint32_t owner{0};
    std::uint32_t service{0};
    route::ticket_number ticket;
    std::optional<slot_grant> grant;
    std::optional<route::refusal_reason> refused;
    duration retry_after{};
};

/** Why a request is not admitted, and after what time a retry may be admitted. */
struct early_refusal {
    route::refusal_reason reason{};
    duration retry_after{};
};

/** Identity of the broker's process and size of the system. */
struct broker_settings {
    process_id self;
    failure_domain_id domain;
    /** Number of entries in the system; they share the connections of each upstream. */
    std::size_t entries{1};
};

/** Owns the admission state and the upstream table; assigns free slots to waiting requests. */
class slot_broker {
public:
    slot_broker(boost::asio::io_context& io, broker_settings settings, request_metrics& metrics);

    void set_catalogue(const catalogue& entries);
    void on_announcement(const wire::upstream_announcement& announcement);
    void expire(const upstream_id& id);
    void set_entries(const std::vector<live_entry>& entries);

    /** Returns why the request would be refused now, without queueing it. */
    std::optional<early_refusal> check(const owner_id& owner, const service_id& service,
                                       time_point deadline);
    /**
     * Waits until `waiter` is granted a slot or refused. A granted request must be ended with
     * `finish`.
     */
    boost::asio::awaitable<void> acquire(slot_waiter& waiter, owner_id owner, service_id service,
                                         time_point deadline);
    /** Cancels a request that still waits for a slot, since its caller has disconnected. */
    void cancel(slot_waiter& waiter);
    /** Takes a slot at an upstream that is not in `tried`, if one is free. */
    std::optional<slot_grant> acquire_other(std::uint32_t service,
                                            const std::vector<upstream_id>& tried);
    /** Frees a slot and records the outcome of the attempt for the upstream's health. */
    void release_slot(const slot_grant& grant, route::attempt_outcome outcome, duration took);
    /** Ends a granted request. `took` is its response time, if it got a response. */
    void finish(const slot_waiter& waiter, std::optional<duration> took);

    /** Sets the function that is called when requests wait and no local slot is free. */
    void set_shortage_handler(std::function<void(std::uint32_t)> handler)
    {
        shortage_handler_ = std::move(handler);
    }
    /** Sets the function that returns whether slots can be borrowed from other entries. */
    void set_borrow_check(std::function<bool()> predicate) { can_borrow_ = std::move(predicate); }
    /** Takes a slot for another entry. Returns nothing while requests wait here. */
    std::optional<slot_grant> lend(const service_id& service,
                                   const std::vector<upstream_id>& excluded);
    /** Assigns a borrowed slot to the next waiting request. Returns false if none can start. */
    bool assign_borrowed_slot(std::uint32_t service, const slot_grant& grant);
    /** Refuses the waiting requests of a service unless this entry knows upstreams of it. */
    void refuse_waiting(const service_id& service);
    [[nodiscard]] bool has_upstreams(const service_id& service) const;
    [[nodiscard]] std::size_t waiting(std::uint32_t service) const;
    [[nodiscard]] const service_id& service_name(std::uint32_t service) const;
    /** Returns the maximum duration of a request to the service. */
    [[nodiscard]] duration max_request_duration(const service_id& service) const;
    [[nodiscard]] std::size_t max_idle_connections(std::uint32_t slots,
                                                   std::uint32_t connections) const;

    /** Returns the number of requests that wait or run. */
    [[nodiscard]] std::size_t admitted_count() const;
    [[nodiscard]] const route::upstream_table& table() const { return table_; }

private:
    void dispatch(std::uint32_t service);
    void dispatch_all();
    slot_grant grant_at(route::upstream_index index);
    void update_home(route::upstream_index index);
    void refresh_capacity();
    void update_gauges();
    void refuse_waiter(route::ticket_number ticket, route::refusal_reason reason);
    std::uint32_t service_number(const service_id& id);
    void record(const slot_grant& grant, route::attempt_outcome outcome, duration took);
    void schedule_probe(route::upstream_index index);

    boost::asio::io_context& io_;
    broker_settings settings_;
    request_metrics& metrics_;
    route::admission_state admission_;
    route::upstream_table table_;
    std::vector<process_id> entries_;
    std::unordered_map<owner_id, std::uint32_t> owner_numbers_;
    std::unordered_map<service_id, std::uint32_t> service_numbers_;
    std::unordered_map<std::uint64_t, slot_waiter*> waiters_;
    /** By service number. */
    std::vector<service_id> service_names_;
    std::vector<duration> timeouts_;
    std::function<void(std::uint32_t)> shortage_handler_;
    std::function<bool()> can_borrow_;
};

} // namespace galenaturn::entryd
