#pragma once

#include <galenaturn/route.h>

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace galenaturn::bench {

/** Runs scheduled actions in the order of their virtual time. */
class virtual_clock {
public:
    [[nodiscard]] time_point now() const { return now_; }
    void schedule_at(time_point when, std::function<void()> action);
    void schedule_after(duration delay, std::function<void()> action)
    {
        schedule_at(now_ + delay, std::move(action));
    }
    /** Runs until no action is left. */
    void run();

private:
    struct event {
        time_point when;
        std::uint64_t sequence;
        std::function<void()> action;
        /** Reversed: std::priority_queue yields its largest element first. */
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };
    std::priority_queue<event> events_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t last_sequence_{0};
};

/** A simulated upstream that runs one request per slot and queues the others. */
struct virtual_upstream {
    std::uint32_t slots{8};
    std::uint32_t busy{0};
    std::queue<std::function<void()>> backlog;
    [[nodiscard]] std::uint32_t load() const
    {
        return busy + static_cast<std::uint32_t>(backlog.size());
    }
};

/** Heavy-tailed service times: a bounded Pareto distribution of shape 1.5 with the given mean. */
class service_times {
public:
    explicit service_times(duration mean);
    duration draw(std::mt19937_64& random);

private:
    double min_time_us_{0};
};

/** Returns the value below which the fraction `share` of the samples lies. Reorders the samples. */
duration percentile(std::vector<duration>& samples, double share);

/** Returns an exponentially distributed time between arrivals at `rate` per second. */
duration arrival_gap(double rate, std::mt19937_64& random);

} // namespace galenaturn::bench
