#include "routebench.h"
#include "virtualcluster.h"

#include <algorithm>

namespace galenaturn::bench {

namespace {

constexpr duration mean_time = std::chrono::milliseconds{50};
constexpr duration fast_failure = std::chrono::milliseconds{1};
constexpr duration probe_check = std::chrono::milliseconds{100};
constexpr std::size_t most_attempts = 3;

/** One entry that is home to all upstreams of one service; each request is idempotent. */
struct failing_cluster {
    virtual_clock clock;
    route::upstream_table table;
    route::retry_budget service_budget;
    route::retry_budget owner_budget;
    std::mt19937_64 random{19}; // NOLINT: the same run every time
    service_times times{mean_time};
    std::function<bool(route::upstream_index)> fails;
    time_point until;
    std::uint64_t requests{0};
    std::uint64_t attempts{0};
    std::uint64_t failed_attempts{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::function<void()> on_attempt;

    explicit failing_cluster(std::uint32_t upstreams)
    {
        for (std::uint32_t number = 0; number < upstreams; ++number) {
            wire::upstream_announcement news;
            news.id = upstream_id{std::to_string(number)};
            news.life = incarnation{1};
            news.sequence = 1;
            news.slots = 8;
            news.connections = 64;
            route::announce_upstream(table, 0, news);
            route::set_home(table, number, true);
            route::withhold_slots(table, number, 0);
        }
    }

    void offer(double rate)
    {
        const auto next = clock.now() + arrival_gap(rate, random);
        if (next > until)
            return;
        clock.at(next, [this, rate] {
            ++requests;
            attempt({});
            offer(rate);
        });
    }

    void probe()
    {
        route::end_ejections(table, 0, clock.now());
        if (clock.now() < until)
            clock.after(probe_check, [this] { probe(); });
    }

    void attempt(std::vector<route::upstream_index> tried)
    {
        const auto place = route::choose_upstream(table, 0, tried);
        if (!place) {
            ++refused;
            return;
        }
        route::take_slot(table, *place);
        ++attempts;
        if (on_attempt)
            on_attempt();
        const bool failed = fails(*place);
        const auto takes = failed ? fast_failure : times.draw(random);
        clock.after(takes, [this, place = *place, failed, takes, tried] {
            end(place, failed, takes, tried);
        });
    }

    void end(route::upstream_index place, bool failed, duration takes,
             std::vector<route::upstream_index> tried)
    {
        route::record_attempt(table, place, failed, takes, clock.now());
        route::return_slot(table, place);
        if (!failed) {
            ++answered;
            route::earn_retry(service_budget);
            route::earn_retry(owner_budget);
            return;
        }
        ++failed_attempts;
        tried.push_back(place);
        if (tried.size() >= most_attempts || !route::can_spend_retry(service_budget, owner_budget))
            return;
        route::spend_retry(service_budget, owner_budget);
        attempt(std::move(tried));
    }

    void run(double load, duration span)
    {
        until = clock.now() + span;
        const auto slots = static_cast<double>(table.records.size()) * 8;
        offer(load * slots / std::chrono::duration<double>(mean_time).count());
        probe();
        clock.run();
    }
};

void measure_black_hole(figure_report& report)
{
    constexpr std::uint64_t learning = 50;
    failing_cluster cluster{65};
    std::uint64_t there = 0;
    std::uint64_t there_after_learning = 0;
    cluster.fails = [&](route::upstream_index place) {
        if (place != 7)
            return false;
        ++there;
        if (there > learning)
            ++there_after_learning;
        return true;
    };
    cluster.run(0.8, std::chrono::seconds{30});
    // Only the first fifty at the black hole are left out, and no request before them.
    const auto after = static_cast<double>(cluster.requests);
    report.add("black_hole_share_after_50", static_cast<double>(there_after_learning) / after,
               "share", at_most(0.01));
    report.add("black_hole_requests", static_cast<double>(there), "count");
}

void measure_retry_storm(figure_report& report)
{
    constexpr std::uint32_t upstreams = 22;
    failing_cluster cluster{upstreams};
    const auto begin = cluster.clock.now() + std::chrono::seconds{10};
    const auto end = begin + std::chrono::seconds{10};
    std::uint64_t storm_attempts = 0;
    std::uint64_t storm_requests = 0;
    std::uint64_t later_attempts = 0;
    std::uint64_t later_requests = 0;
    std::uint64_t last_requests = 0;
    cluster.fails = [&](route::upstream_index) {
        return cluster.clock.now() >= begin && cluster.clock.now() < end;
    };
    cluster.on_attempt = [&] {
        const auto now = cluster.clock.now();
        const auto arrived = cluster.requests - last_requests;
        last_requests = cluster.requests;
        if (now >= begin && now < end) {
            ++storm_attempts;
            storm_requests += arrived;
        }
        else if (now >= end) {
            ++later_attempts;
            later_requests += arrived;
        }
    };
    cluster.run(0.8, std::chrono::seconds{30});
    const auto ratio = [](std::uint64_t tries, std::uint64_t requests) {
        return static_cast<double>(tries) / static_cast<double>(requests);
    };
    report.add("retry_storm_attempts_per_request", ratio(storm_attempts, storm_requests), "ratio",
               at_most(1.1));
    report.add("retry_after_storm_attempts_per_request", ratio(later_attempts, later_requests),
               "ratio", at_most(1.1));
    report.add("retry_all_attempts_per_request", ratio(cluster.attempts, cluster.requests), "ratio",
               at_most(1.1));
}

} // namespace

void measure_failures(figure_report& report)
{
    measure_black_hole(report);
    measure_retry_storm(report);
}

} // namespace galenaturn::bench
