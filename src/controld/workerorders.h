#pragma once

#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace galenaturn::controld {

/** What stands in every order to a worker. */
struct order_terms {
    /** The leader's fencing number. */
    term token;
    /** On the worker's own clock: until then everything on it runs on without us. */
    std::optional<std::chrono::milliseconds> lease_until;
    time_point answer_by;
};

/** What came back for an order. */
struct order_reply {
    schedule::order_answer answer{schedule::order_answer::none};
    /** The worker's own clock as it answered. */
    std::optional<std::chrono::milliseconds> clock;
    std::string reason;
};

struct list_reply {
    order_reply reply;
    /** Present where the answer is accepted. */
    schedule::worker_list list;
};

/** Carries orders to workers. A platform's adapter implements it. */
class worker_orders {
public:
    virtual ~worker_orders() = default;

    virtual boost::asio::awaitable<order_reply>
    start(wire::worker_record worker, schedule::start_order order, order_terms terms) = 0;
    virtual boost::asio::awaitable<order_reply>
    stop(wire::worker_record worker, schedule::stop_order order, order_terms terms) = 0;
    virtual boost::asio::awaitable<order_reply>
    pace(wire::worker_record worker, schedule::pace_order order, order_terms terms) = 0;
    /** Asks what the worker runs; the answer waits for an end, for `wait` at most. */
    virtual boost::asio::awaitable<list_reply> list(wire::worker_record worker,
                                                    std::uint64_t settled_ends,
                                                    std::chrono::milliseconds wait,
                                                    order_terms terms) = 0;
};

} // namespace galenaturn::controld
