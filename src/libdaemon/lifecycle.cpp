#include "lifecycle.h"

namespace galenaturn::daemon {

namespace {

constexpr std::chrono::milliseconds drain_check_interval{20};

} // namespace

lifecycle::lifecycle(context& shared, http::server& server, wire::frame_server& peers)
    : shared_{shared}, server_{server}, peers_{peers}, timer_{shared.io}
{
}

const chart_actions<lifecycle>& lifecycle::actions()
{
    static const chart_actions<lifecycle> table{
        {"announce_ready", [](lifecycle& life) { life.shared_.ready = true; }},
        {"fail_readiness", [](lifecycle& life) { life.start_notice(); }},
        {"refuse_new_work", [](lifecycle& life) { life.start_drain(); }},
        {"report_cut_off", [](lifecycle& life) { life.cut_off_ = true; }},
        {"stop_listening",
         [](lifecycle& life) {
             life.server_.stop();
             life.peers_.close();
             life.shared_.peers.close();
         }},
        {"exit_process", [](lifecycle& life) { life.shared_.io.stop(); }},
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
    log_event(log_level::info, "daemon_state",
              {{"from", before}, {"to", state_}, {"cause", event}, {"work_left", work_left()}});
}

void lifecycle::started()
{
    apply("started");
}

void lifecycle::request_stop()
{
    apply("stop_requested");
}

void lifecycle::start_notice()
{
    shared_.ready = false;
    server_.close_after_answers();
    timer_.expires_after(shared_.settings.drain_notice);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            apply("notice_passed");
    });
}

void lifecycle::start_drain()
{
    shared_.accepting = false;
    for (const auto& hook : shared_.on_drain)
        hook();
    drain_deadline_ = monotonic_now() + shared_.settings.drain_limit;
    watch_drain();
}

void lifecycle::watch_drain()
{
    timer_.expires_after(drain_check_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (work_left() == 0)
            return apply("idle");
        if (monotonic_now() >= drain_deadline_)
            return apply("drain_limit_passed");
        watch_drain();
    });
}

std::size_t lifecycle::work_left() const
{
    std::size_t work = server_.requests_in_progress();
    for (const auto& part : shared_.work_in_progress)
        work += part();
    return work;
}

} // namespace galenaturn::daemon
