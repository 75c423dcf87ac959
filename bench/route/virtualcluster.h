#pragma once

#include <galenaturn/route.h>

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace galenaturn::bench {

/** Carries out actions in the order of their virtual time. */
class virtual_clock {
public:
    [[nodiscard]] time_point now() const { return now_; }
    void at(time_point when, std::function<void()> action);
    void after(duration span, std::function<void()> action) { at(now_ + span, std::move(action)); }
    /** Runs until nothing is left. */
    void run();

private:
    struct event {
        time_point when;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };
    std::priority_queue<event> events_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t last_number_{0};
};

/** A fake upstream: as many requests at once as it has slots, the rest in its own queue. */
struct virtual_upstream {
    std::uint32_t slots{8};
    std::uint32_t busy{0};
    std::queue<std::function<void()>> backlog;
    [[nodiscard]] std::uint32_t load() const
    {
        return busy + static_cast<std::uint32_t>(backlog.size());
    }
};

/** Heavy-tailed service times: bounded Pareto, shape 1.5, with the given mean. */
class service_times {
public:
    explicit service_times(duration mean);
    duration draw(std::mt19937_64& random);

private:
    double least_{0};
};

/** Returns the value below which `share` of the samples lie. Sorts the samples. */
duration percentile(std::vector<duration>& samples, double share);

/** Exponentially distributed time between arrivals at `rate` a second. */
duration arrival_gap(double rate, std::mt19937_64& random);

} // namespace galenaturn::bench
