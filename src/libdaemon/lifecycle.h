#pragma once

#include "daemon.h"

namespace galenaturn::daemon {

/** Runs the state chart of a daemon (charts/daemon.yaml): readiness, drain, stop. */
class lifecycle {
public:
    /** `server` and `peers` are closed at the end of the drain. */
    lifecycle(context& shared, http::server& server, wire::frame_server& peers);

    /** Loads charts/daemon.yaml. Problems are added to `found`. */
    void load(findings& found);
    /** Called when all listeners and services have started: the process becomes ready. */
    void started();
    /** Begins a planned stop. Later calls do nothing. */
    void request_stop();
    [[nodiscard]] const std::string& state() const { return state_; }
    /** Returns whether the drain limit passed while work was still in progress. */
    [[nodiscard]] bool drain_timed_out() const { return drain_timed_out_; }

private:
    static const chart_actions<lifecycle>& actions();
    void apply(std::string_view event);
    /** Fails readiness and waits for drain_notice, while requests are still accepted. */
    void start_drain_notice();
    /** Starts to refuse new work and waits for the work in progress, at most for drain_limit. */
    void start_drain();
    void poll_drain();
    /** Waits until the connections of `server_` are closed, at most up to the drain limit. */
    void poll_closed();
    [[nodiscard]] std::size_t remaining_work() const;

    context& shared_;
    http::server& server_;
    wire::frame_server& peers_;
    state_chart chart_;
    std::string state_;
    wire::boot_timer timer_;
    time_point drain_deadline_;
    bool drain_timed_out_{false};
};

} // namespace galenaturn::daemon
