#pragma once

#include "workercommands.h"

#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenaturn::controld {

/**
 * Timeout of a command. Workers reply within a few milliseconds, so a later reply is not to be
 * expected.
 */
inline constexpr duration command_timeout = std::chrono::milliseconds{800};

inline worker_target target_of(const schedule::job_worker& worker)
{
    return {worker.record.id, worker.record.address};
}

inline boost::asio::awaitable<void> pause(boost::asio::io_context& io, duration span)
{
    wire::boot_timer timer{io, span};
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace galenaturn::controld
