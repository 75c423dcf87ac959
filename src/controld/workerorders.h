#pragma once

#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace galenaturn::controld {

/** Fields common to all commands to a worker. */
struct order_terms {
    /** The leader's fencing token. */
    term token;
    /**
     * End of the lease by the worker's own clock: until then its runs continue without contact to a
     * leader.
     */
    std::optional<std::chrono::milliseconds> lease_until;
    time_point answer_by;
};

/** Reply to a command. */
struct order_reply {
    schedule::order_answer answer{schedule::order_answer::none};
    /** The worker's own clock at the time of the reply. */
    std::optional<std::chrono::milliseconds> clock;
    std::string reason;
};

struct list_reply {
    order_reply reply;
    /** Set where the result is accepted. */
    schedule::worker_list list;
};

/** Sends commands to workers. The adapter of each platform implements it. */
class worker_orders {
public:
    virtual ~worker_orders() = default;

    virtual boost::asio::awaitable<order_reply>
    start(wire::worker_record worker, schedule::start_order order, order_terms terms) = 0;
    virtual boost::asio::awaitable<order_reply>
    stop(wire::worker_record worker, schedule::stop_order order, order_terms terms) = 0;
    virtual boost::asio::awaitable<order_reply>
    pace(wire::worker_record worker, schedule::pace_order order, order_terms terms) = 0;
    /**
     * Polls the worker for its report. The worker delays the reply until a run ends, for `wait` at
     * most.
     */
    virtual boost::asio::awaitable<list_reply> list(wire::worker_record worker,
                                                    std::uint64_t settled_ends,
                                                    std::chrono::milliseconds wait,
                                                    order_terms terms) = 0;
};

} // namespace galenaturn::controld
