#pragma once

#include "entryhub.h"
#include "requestmetrics.h"
#include "upstreamclient.h"

#include <galenaturn/route.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace galenaturn::entryd {

/** The right to send one request to one upstream. */
struct slot_grant {
    upstream_target target;
    /** Place in this entry's table; no_upstream where another entry lent the slot. */
    route::upstream_index place{route::no_upstream};
    /** For a borrowed slot: who lent it, under which number, and until when it may be used. */
    process_id lender;
    std::uint64_t loan{0};
    time_point until{time_point::max()};

    [[nodiscard]] bool borrowed() const { return place == route::no_upstream; }
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

    /** Sets what is done when requests wait and no slot is free here. */
    void on_shortage(std::function<void(std::uint32_t)> action) { shortage_ = std::move(action); }
    /** Sets what says whether slots may be had elsewhere. */
    void ask_before_giving_up(std::function<bool()> question) { elsewhere_ = std::move(question); }
    /** Hands a slot out to another entry; requests that wait here go first. */
    std::optional<slot_grant> lend(const service_id& service,
                                   const std::vector<upstream_id>& excluded);
    /** Gives a borrowed slot to the next waiting request. Returns false where none waits. */
    bool offer(std::uint32_t service, const slot_grant& grant);
    /** Refuses what waits for a service that has no upstream anywhere. */
    void give_up(const service_id& service);
    [[nodiscard]] bool has_upstreams(const service_id& service) const;
    [[nodiscard]] std::size_t waiting(std::uint32_t service) const;
    [[nodiscard]] const service_id& service_name(std::uint32_t service) const;
    /** Returns the longest time that one request of the service can take. */
    [[nodiscard]] duration longest_request(const service_id& service) const;
    [[nodiscard]] std::size_t idle_limit(std::uint32_t slots, std::uint32_t connections) const;

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
    void record(const slot_grant& grant, route::attempt_outcome outcome, duration took);
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
    /** By service number. */
    std::vector<service_id> service_names_;
    std::vector<duration> timeouts_;
    std::function<void(std::uint32_t)> shortage_;
    std::function<bool()> elsewhere_;
};

} // namespace galenaturn::entryd
