#pragma once

#include "pausemonitor.h"
#include "processstatus.h"

#include <galenaturn/http.h>
#include <galenaturn/wire.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenaturn::daemon {

/** State shared by the services of one daemon. Everything runs on the single thread of `io`. */
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
    pause_monitor pauses;

    /** Whether /readyz succeeds, so that the load balancer sends requests here. */
    bool ready{false};
    /** False during a planned stop, when new work is refused as not run. */
    bool accepting{true};
    /** Each returns its number of work items in progress; a planned stop waits for these. */
    std::vector<std::function<std::size_t()>> work_in_progress;
    /** Called in order when this process starts to refuse new work. */
    std::vector<std::function<void()>> drain_callbacks;
    /** Each fills in its fields of the status that this process reports to operators. */
    std::vector<std::function<void(process_status&)>> status_contributors;
};

/** Part of a daemon. Its constructor adds routes, frame handlers and metrics to the context. */
class service {
public:
    virtual ~service() = default;
    /** Called once when the listeners are open. Returns an error if the service cannot run. */
    virtual result<void> start() = 0;
};

/** Creates the services of a daemon, in the order in which they start. */
using service_factory = std::function<std::vector<std::unique_ptr<service>>(context&)>;

/**
 * Parses flags and settings, runs the daemon until SIGTERM or SIGINT, then shuts down gracefully.
 * Returns the exit code: 0 after a planned stop, 2 for bad settings, 1 for other failures.
 */
int run(int argc, char** argv, process_role role, const service_factory& make_services);

} // namespace galenaturn::daemon
