#include "routebench.h"
#include "virtualcluster.h"

#include <algorithm>

namespace galenaturn::bench {

namespace {

constexpr duration mean_time = std::chrono::milliseconds{50};
constexpr duration fast_failure = std::chrono::milliseconds{1};
constexpr duration probe_interval = std::chrono::milliseconds{100};
constexpr std::size_t max_attempts = 3;

/** One entry, home entry of all upstreams of a service. All requests are idempotent. */
struct failing_cluster {
    virtual_clock clock;
    route::upstream_table table;
    route::retry_budget service_budget;
    route::retry_budget owner_budget;
    std::mt19937_64 random{19}; // NOLINT: a fixed seed makes the benchmark repeatable
    service_times times{mean_time};
    std::function<bool(route::upstream_index)> fails;
    time_point arrivals_end;
    std::uint64_t requests{0};
    std::uint64_t attempts{0};
    std::uint64_t failed_attempts{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::function<void()> on_attempt;

    explicit failing_cluster(std::uint32_t upstreams)
    {
        for (std::uint32_t number = 0; number < upstreams; ++number) {
            wire::upstream_announcement announcement;
            announcement.id = upstream_id{std::to_string(number)};
            announcement.incarnation_number = incarnation{1};
            announcement.sequence = 1;
            announcement.slots = 8;
            announcement.connections = 64;
            route::announce_upstream(table, 0, announcement);
            route::set_home(table, number, true);
            route::withhold_slots(table, number, 0);
        }
    }

    /** Schedules arrivals at `rate` requests per second. */
    void offer(double rate)
    {
        const auto next = clock.now() + arrival_gap(rate, random);
        if (next > arrivals_end)
            return;
        clock.schedule_at(next, [this, rate] {
            ++requests;
            attempt({});
            offer(rate);
        });
    }

    void schedule_probes()
    {
        route::end_ejections(table, 0, clock.now());
        if (clock.now() < arrivals_end)
            clock.schedule_after(probe_interval, [this] { schedule_probes(); });
    }

    void attempt(std::vector<route::upstream_index> tried)
    {
        const auto index = route::choose_upstream(table, 0, tried);
        if (!index) {
            ++refused;
            return;
        }
        route::take_slot(table, *index);
        ++attempts;
        if (on_attempt)
            on_attempt();
        const bool failed = fails(*index);
        const auto service_time = failed ? fast_failure : times.draw(random);
        clock.schedule_after(service_time, [this, index = *index, failed, service_time, tried] {
            end(index, failed, service_time, tried);
        });
    }

    void end(route::upstream_index index, bool failed, duration service_time,
             std::vector<route::upstream_index> tried)
    {
        route::record_attempt(table, index, failed, service_time, clock.now());
        route::return_slot(table, index);
        if (!failed) {
            ++answered;
            route::earn_retry(service_budget);
            route::earn_retry(owner_budget);
            return;
        }
        ++failed_attempts;
        tried.push_back(index);
        if (tried.size() >= max_attempts || !route::can_spend_retry(service_budget, owner_budget))
            return;
        route::spend_retry(service_budget, owner_budget);
        attempt(std::move(tried));
    }

    void run(double load, duration run_time)
    {
        arrivals_end = clock.now() + run_time;
        const auto slots = static_cast<double>(table.records.size()) * 8;
        offer(load * slots / std::chrono::duration<double>(mean_time).count());
        schedule_probes();
        clock.run();
    }
};

/**
 * A black hole is an upstream that fails every request at once: its slots are free again so soon
 * that it attracts more requests than a working upstream.
 */
void measure_black_hole(benchmark_report& report)
{
    constexpr std::uint64_t detection_attempts = 50;
    failing_cluster cluster{65};
    std::uint64_t black_hole_attempts = 0;
    std::uint64_t attempts_after_detection = 0;
    cluster.fails = [&](route::upstream_index index) {
        if (index != 7)
            return false;
        ++black_hole_attempts;
        if (black_hole_attempts > detection_attempts)
            ++attempts_after_detection;
        return true;
    };
    cluster.run(0.8, std::chrono::seconds{30});
    // Excludes only the first `detection_attempts` attempts at the black hole from the share.
    const auto all_requests = static_cast<double>(cluster.requests);
    report.add("black_hole_share_after_50",
               static_cast<double>(attempts_after_detection) / all_requests, "share",
               at_most(0.01));
    report.add("black_hole_requests", static_cast<double>(black_hole_attempts), "count");
}

void measure_retry_storm(benchmark_report& report)
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
    const auto ratio = [](std::uint64_t attempts, std::uint64_t requests) {
        return static_cast<double>(attempts) / static_cast<double>(requests);
    };
    report.add("retry_storm_attempts_per_request", ratio(storm_attempts, storm_requests), "ratio",
               at_most(1.1));
    report.add("retry_after_storm_attempts_per_request", ratio(later_attempts, later_requests),
               "ratio", at_most(1.1));
    report.add("retry_all_attempts_per_request", ratio(cluster.attempts, cluster.requests), "ratio",
               at_most(1.1));
}

} // namespace

void measure_failures(benchmark_report& report)
{
    measure_black_hole(report);
    measure_retry_storm(report);
}

} // namespace galenaturn::bench
