#include "daemon.h"

#include "lifecycle.h"
#include "pausemonitor.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

DEFINE_string(settings, "", "Settings file in YAML");
DEFINE_string(settings_from_environment, "",
              "Name of the environment variable that holds the path of the settings file");
DEFINE_string(name, "",
              "Name of this process among the members; default: the name in the settings");
DEFINE_string(data_folder, "", "Folder of the ledger; default: the folder in the settings");
DEFINE_bool(check_settings, false, "Check the settings, report all problems and exit");
DEFINE_bool(verbose, false, "Log at debug level");

namespace galenaturn::daemon {

namespace {

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

/** Returns the path of the settings file, given by a flag or an environment variable. */
std::string settings_path()
{
    if (FLAGS_settings_from_environment.empty())
        return FLAGS_settings;
    const auto* path = std::getenv(FLAGS_settings_from_environment.c_str());
    return path == nullptr ? std::string{} : std::string{path};
}

boost::asio::awaitable<http::response> text_response(std::string text)
{
    co_return http::make_response(http::status::ok, std::move(text), "text/plain; charset=utf-8");
}

/** Returns the status of this process with the fields of all its services. */
process_status current_status(const context& shared)
{
    process_status status;
    status.self = shared.settings.self;
    status.ready = shared.ready;
    status.accepting = shared.accepting;
    for (const auto& contribute : shared.status_contributors)
        contribute(status);
    return status;
}

void add_process_routes(context& shared)
{
    shared.routes.add(http::verb::get, "/healthz",
                      [](http::call&) { return text_response("ok\n"); });
    shared.routes.add(http::verb::get, "/metrics",
                      [&shared](http::call&) { return text_response(shared.metrics.text()); });
    shared.routes.add(http::verb::get, "/v1/status",
                      [&shared](http::call&) -> boost::asio::awaitable<http::response> {
                          co_return http::make_response(
                              http::status::ok,
                              status_json(current_status(shared), shared.settings),
                              "application/json");
                      });
    shared.routes.add(
        http::verb::get, "/readyz",
        [&shared](http::call&) -> boost::asio::awaitable<http::response> {
            if (shared.ready)
                co_return http::make_response(http::status::ok, "ready\n", "text/plain");
            co_return http::make_problem({http::status::service_unavailable, "leaving",
                                          "this process is stopping", 0, true});
        });
}

/** Reloads `refused_domains` from the settings file. Other settings need a restart. */
void reload_refused_domains(context& shared)
{
    settings_builder builder;
    builder.name(FLAGS_name).data_folder(FLAGS_data_folder).read_file(settings_path());
    const auto settings = builder.build(shared.settings.self.role);
    if (!settings) {
        log_event(log_level::error, "reload_refused", {{"findings", builder.problems().text()}});
        return;
    }
    shared.channels.refused_domains = settings.value().refused_domains;
    log_event(log_level::warning, "refused_domains_changed",
              {{"count", shared.channels.refused_domains.size()}});
}

/** Calls reload_refused_domains at each SIGHUP. */
void reload_on_signal(context& shared, boost::asio::signal_set& signals)
{
    signals.async_wait([&shared, &signals](const boost::system::error_code& error, int) {
        if (error)
            return;
        reload_refused_domains(shared);
        reload_on_signal(shared, signals);
    });
}

/** Opens the listeners and starts the services. Logs a failure and returns false. */
bool open_listeners_and_start(context& shared, http::server& server, http::server& readiness_server,
                              wire::frame_server& peers,
                              std::vector<std::unique_ptr<service>>& services)
{
    const auto& self = shared.settings.self;
    auto listening = server.listen(self.http);
    if (listening && shared.settings.readiness.port != 0)
        listening = readiness_server.listen(shared.settings.readiness);
    if (listening)
        listening = peers.listen(self.peer);
    if (!listening) {
        log_event(
            log_level::error, "listen_failed",
            {{"http", self.http}, {"peer", self.peer}, {"error", listening.error().message()}});
        return false;
    }
    shared.peers.start();
    for (auto& each_service : services) {
        const auto started = each_service->start();
        if (!started) {
            log_event(log_level::error, "service_failed", {{"error", started.error().message()}});
            return false;
        }
    }
    return true;
}

/** Opens the listener for metrics. A failure is only logged, since the process works without it. */
void open_metrics(const context& shared, http::server& metrics_server)
{
    const auto& address = shared.settings.metrics;
    if (address.port == 0)
        return;
    const auto listening = metrics_server.listen(address);
    if (!listening)
        log_event(log_level::warning, "metrics_unreachable",
                  {{"address", address}, {"error", listening.error().message()}});
}

int serve(process_settings settings, const service_factory& make_services)
{
    context shared{std::move(settings)};
    http::server_limits limits;
    limits.body = shared.settings.body_limit;
    http::server server{shared.io, shared.routes, limits, shared.metrics};
    http::server readiness_server{shared.io, shared.routes, limits, shared.metrics};
    http::server metrics_server{shared.io, shared.routes, limits, shared.metrics};
    wire::frame_server peers{shared.channels, shared.frames};
    lifecycle daemon_lifecycle{shared, server, peers};
    findings found;
    daemon_lifecycle.load(found);
    if (!found.empty()) {
        std::cerr << found.text();
        return exit_bad_settings;
    }
    add_process_routes(shared);
    auto services = make_services(shared);
    if (!open_listeners_and_start(shared, server, readiness_server, peers, services))
        return exit_failure;
    open_metrics(shared, metrics_server);
    shared.pauses.start();

    boost::asio::signal_set signals{shared.io, SIGTERM, SIGINT};
    signals.async_wait([&daemon_lifecycle](const boost::system::error_code& error, int /*signal*/) {
        if (!error)
            daemon_lifecycle.request_stop();
    });
    boost::asio::signal_set reload_signals{shared.io, SIGHUP};
    reload_on_signal(shared, reload_signals);
    daemon_lifecycle.started();
    shared.io.run();
    log_event(log_level::info, "daemon_stopped", {{"cut_off", daemon_lifecycle.drain_timed_out()}});
    // Suspended coroutines refer to services, and services to the io_context, so neither can be
    // destroyed first. All persistent data is synced, so the process exits without destructors.
    std::quick_exit(daemon_lifecycle.drain_timed_out() ? exit_failure : 0);
}

} // namespace

context::context(process_settings process)
    : settings{std::move(process)}, io{1}, channels{io,
                                                    {settings.self.id, settings.self.domain},
                                                    settings.refused_domains,
                                                    wire::channel_counters{metrics}},
      peers{channels, settings}, ledger{channels, peers}, pauses{io, metrics}
{
}

int run(int argc, char** argv, process_role role, const service_factory& make_services)
{
    gflags::SetVersionString(GALENATURN_VERSION);
    gflags::SetUsageMessage(std::string{"--settings FILE [--name MEMBER]; runs as "} +
                            to_string(role));
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    init_log(FLAGS_verbose ? log_level::debug : log_level::info, log_target::standard_output);
    settings_builder builder;
    builder.name(FLAGS_name).data_folder(FLAGS_data_folder).read_file(settings_path());
    auto settings = builder.build(role);
    if (!settings) {
        std::cerr << builder.problems().text();
        return exit_bad_settings;
    }
    if (FLAGS_check_settings)
        return 0;
    log_event(log_level::info, "daemon_starting",
              {{"name", settings.value().self.id},
               {"role", to_string(role)},
               {"failure_domain", settings.value().self.domain},
               {"http", settings.value().self.http},
               {"peer", settings.value().self.peer}});
    return serve(std::move(settings).value(), make_services);
}

} // namespace galenaturn::daemon
