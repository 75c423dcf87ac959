#pragma once

#include "daemon.h"

#include <boost/asio/steady_timer.hpp>

namespace galenaturn::daemon {

/** Runs the state chart of a daemon: readiness, drain, stop. */
class lifecycle {
public:
    /** `server` and `peers` are closed at the end of a drain. */
    lifecycle(context& shared, http::server& server, wire::frame_server& peers);

    /** Loads charts/daemon.yaml. Problems go to `found`. */
    void load(findings& found);
    void started();
    /** Begins a planned stop. Later calls do nothing. */
    void request_stop();
    [[nodiscard]] const std::string& state() const { return state_; }
    [[nodiscard]] bool cut_off() const { return cut_off_; }

private:
    static const chart_actions<lifecycle>& actions();
    void apply(std::string_view event);
    void start_notice();
    void start_drain();
    void watch_drain();
    [[nodiscard]] std::size_t work_left() const;

    context& shared_;
    http::server& server_;
    wire::frame_server& peers_;
    state_chart chart_;
    std::string state_;
    boost::asio::steady_timer timer_;
    time_point drain_deadline_;
    bool cut_off_{false};
};

} // namespace galenaturn::daemon
