#include "lifecycle.h"

namespace galenaturn::daemon {

namespace {

constexpr std::chrono::milliseconds drain_check_interval{20};
constexpr std::chrono::milliseconds close_check_interval{2};

} // namespace

lifecycle::lifecycle(context& shared, http::server& server, wire::frame_server& peers)
    : shared_{shared}, server_{server}, peers_{peers}, timer_{shared.io}
{
}

const chart_actions<lifecycle>& lifecycle::actions()
{
    static const chart_actions<lifecycle> table{
        {"announce_ready", [](lifecycle& self) { self.shared_.ready = true; }},
        {"fail_readiness", [](lifecycle& self) { self.start_drain_notice(); }},
        {"refuse_new_work", [](lifecycle& self) { self.start_drain(); }},
        {"report_cut_off", [](lifecycle& self) { self.drain_timed_out_ = true; }},
        {"stop_listening",
         [](lifecycle& self) {
             self.server_.stop();
             self.peers_.close();
             self.shared_.peers.close();
         }},
        {"await_closed", [](lifecycle& self) { self.poll_closed(); }},
        {"exit_process", [](lifecycle& self) { self.shared_.io.stop(); }},
    };
    return table;
}

void lifecycle::load(findings& found)
{
    chart_ = load_chart(shared_.settings.charts_folder, "daemon", action_names(actions()), found);
    state_ = chart_.initial;
}

void lifecycle::apply(std::string_view event)
{
    const auto before = state_;
    if (!apply_event(chart_, actions(), state_, event, *this))
        return;
    log_event(
        log_level::info, "daemon_state",
        {{"from", before}, {"to", state_}, {"cause", event}, {"work_left", remaining_work()}});
}

void lifecycle::started()
{
    apply("started");
}

void lifecycle::request_stop()
{
    apply("stop_requested");
}

void lifecycle::start_drain_notice()
{
    shared_.ready = false;
    server_.close_after_responses();
    timer_.expires_after(shared_.settings.drain_notice);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            apply("notice_passed");
    });
}

void lifecycle::start_drain()
{
    shared_.accepting = false;
    for (const auto& callback : shared_.drain_callbacks)
        callback();
    drain_deadline_ = monotonic_now() + shared_.settings.drain_limit;
    poll_drain();
}

void lifecycle::poll_drain()
{
    timer_.expires_after(drain_check_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (remaining_work() == 0)
            return apply("idle");
        if (monotonic_now() >= drain_deadline_)
            return apply("drain_limit_passed");
        poll_drain();
    });
}

void lifecycle::poll_closed()
{
    timer_.expires_after(close_check_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (server_.open_connections() == 0)
            return apply("closed");
        if (monotonic_now() >= drain_deadline_)
            return apply("drain_limit_passed");
        poll_closed();
    });
}

std::size_t lifecycle::remaining_work() const
{
    std::size_t work = server_.requests_in_progress();
    for (const auto& count : shared_.work_in_progress)
        work += count();
    return work;
}

} // namespace galenaturn::daemon
