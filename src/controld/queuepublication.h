#pragma once

#include "controlhub.h"

#include <galenaturn/wire.h>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace galenaturn::controld {

/** Publishes the queues and logs which leader decided, and how. `hub` outlives the call. */
boost::asio::awaitable<wire::command_response>
publish_queues(const control_hub* hub, wire::publish_queues queues, time_point deadline);

/**
 * Returns the newest queues, or nothing where no leader confirms that they are, and logs which
 * process did. `hub` and `ledger` outlive the call.
 */
boost::asio::awaitable<std::optional<wire::publish_queues>>
read_newest_queues(const control_hub* hub, wire::ledger_client* ledger, time_point deadline);

} // namespace galenaturn::controld
