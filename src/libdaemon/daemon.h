#pragma once

#include "processstatus.h"

#include <galenaturn/http.h>
#include <galenaturn/wire.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenaturn::daemon {

/** What the services of one daemon share. Everything runs on the one thread of `io`. */
struct context {
    explicit context(process_settings process);

    process_settings settings;
    boost::asio::io_context io;
    metrics_registry metrics;
    http::router routes;
    wire::frame_router frames;
    wire::channel_context channels;
    wire::peer_directory peers;
    wire::ledger_client ledger;

    /** Whether the balancer may send work here. */
    bool ready{false};
    /** False once new work is to be refused as not run. */
    bool accepting{true};
    /** Each returns how much work is still in progress at a planned stop. */
    std::vector<std::function<std::size_t()>> work_in_progress;
    /** Carried out, in order, when new work starts to be refused. */
    std::vector<std::function<void()>> on_drain;
    /** Each fills in its part of this process's status for operators. */
    std::vector<std::function<void(process_status&)>> status_parts;
};

/** A part of a daemon. Its constructor adds routes, frame handlers and metrics to the context. */
class service {
public:
    virtual ~service() = default;
    /** Called once when the listeners are open. Returns why the service cannot run. */
    virtual result<void> start() = 0;
};

/** Makes the services of a daemon, in the order in which they start. */
using service_factory = std::function<std::vector<std::unique_ptr<service>>(context&)>;

/**
 * Parses flags and settings, runs the daemon until SIGTERM or SIGINT, then shuts down gracefully.
 * Returns the exit code: 0 after a planned stop, 2 for bad settings, 1 for other failures.
 */
int run(int argc, char** argv, process_role role, const service_factory& make_services);

} // namespace galenaturn::daemon
