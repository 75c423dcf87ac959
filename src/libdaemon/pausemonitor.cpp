#include "pausemonitor.h"

#include <algorithm>

namespace galenaturn::daemon {

namespace {

constexpr duration check_interval = std::chrono::milliseconds{250};
/** Shorter than the leases between processes, longer than the waits on a busy VM. */
constexpr duration min_pause = std::chrono::milliseconds{300};

clock_check read_clocks()
{
    return {monotonic_now(), boot_clock::suspended()};
}

} // namespace

std::optional<process_pause> find_pause(const clock_check& before, time_point due,
                                        const clock_check& after)
{
    // The two clocks are not read at the same moment.
    const auto suspended = std::max(after.suspended - before.suspended, duration{});
    const process_pause pause{after.at - due, suspended};
    if (pause.late < min_pause && pause.suspended < min_pause)
        return std::nullopt;
    return pause;
}

time_point input_waits_since(time_point last, time_point due,
                             std::optional<time_point> paused_since, time_point now)
{
    // The process has just resumed, and the check comes after this input.
    if (now - due >= min_pause)
        return last;
    return paused_since.value_or(now);
}

pause_monitor::pause_monitor(boost::asio::io_context& io, metrics_registry& metrics)
    : timer_{io}, stops_{metrics.make_counter("galenaturn_process_pauses_total",
                                              {{"cause", "stopped"}})},
      suspensions_{
          metrics.make_counter("galenaturn_process_pauses_total", {{"cause", "suspended"}})}
{
}

void pause_monitor::start()
{
    last_ = read_clocks();
    schedule_check();
}

time_point pause_monitor::input_waits_since(time_point now) const
{
    return daemon::input_waits_since(last_.at, due_, paused_since_, now);
}

void pause_monitor::schedule_check()
{
    due_ = last_.at + check_interval;
    timer_.expires_at(due_);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        check();
        schedule_check();
    });
}

void pause_monitor::check()
{
    const auto now = read_clocks();
    const auto pause = find_pause(last_, due_, now);
    paused_since_ = pause ? std::optional{last_.at} : std::nullopt;
    if (pause) {
        (pause->suspended < min_pause ? stops_ : suspensions_).add();
        log_event(log_level::warning, "process_paused",
                  {{"late_us", pause->late.count()}, {"suspended_us", pause->suspended.count()}});
    }
    last_ = now;
}

} // namespace galenaturn::daemon
