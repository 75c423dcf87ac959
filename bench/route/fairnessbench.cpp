#include "routebench.h"
#include "virtualcluster.h"

#include <algorithm>
#include <unordered_map>

namespace galenaturn::bench {

namespace {

constexpr std::uint32_t owner_count = 150;
constexpr std::uint32_t largest_owner = 0;
/** The weight of the largest owner equals that of all others together. */
constexpr double largest_weight = owner_count - 1;
constexpr std::uint32_t slot_count = 520;
constexpr duration mean_time = std::chrono::milliseconds{50};
constexpr duration warm_up = std::chrono::seconds{3};
constexpr duration run_time = std::chrono::seconds{30};
constexpr duration request_timeout = std::chrono::seconds{2};

/** Requests and latencies of one side: the largest owner, or all small owners. */
struct side_result {
    std::vector<duration> latencies;
    std::uint64_t offered{0};
    std::uint64_t answered{0};
};

/** A pool of slots that the largest owner and the small owners share. */
struct shared_pool {
    struct pending_request {
        time_point arrived;
        duration service_time{};
    };

    virtual_clock clock;
    route::admission_state admission;
    std::mt19937_64 random{17}; // NOLINT: a fixed seed makes the benchmark repeatable
    service_times times{mean_time};
    std::unordered_map<std::uint64_t, pending_request> waiting;
    std::uint32_t busy{0};
    time_point measured_from;
    time_point measured_until;
    side_result large;
    side_result small;
    duration work_done{};

    shared_pool()
    {
        admission.max_admitted = 1'000'000;
        admission.services.emplace_back();
        admission.services[0].limits = {work_class::interactive, 1'000'000, 1'000, mean_time};
        admission.services[0].slots = slot_count;
        admission.owners.resize(owner_count);
        for (auto& owner : admission.owners)
            owner.limits = {1.0, 1e9, 1'000'000};
        admission.owners[largest_owner].limits.weight = largest_weight;
        measured_from = clock.now() + warm_up;
        measured_until = measured_from + run_time;
    }

    side_result& side_of(std::uint32_t owner) { return owner == largest_owner ? large : small; }

    /** Schedules arrivals of one side that use the fraction `load` of all slots. */
    void offer(double load, bool by_largest)
    {
        if (load <= 0)
            return;
        const double rate = load * slot_count / std::chrono::duration<double>(mean_time).count();
        const auto next = clock.now() + arrival_gap(rate, random);
        if (next > measured_until)
            return;
        clock.schedule_at(next, [this, load, by_largest] {
            const auto small_owner = 1 + static_cast<std::uint32_t>(random() % (owner_count - 1));
            arrive(by_largest ? largest_owner : small_owner);
            offer(load, by_largest);
        });
    }

    void arrive(std::uint32_t owner)
    {
        const auto now = clock.now();
        const auto service_time = times.draw(random);
        side_of(owner).offered += now >= measured_from ? 1 : 0;
        const auto decision =
            route::submit_request(admission, {owner, 0, now + request_timeout}, now);
        if (decision.evicted_ticket)
            waiting.erase(decision.evicted_ticket->value());
        if (decision.refused)
            return;
        waiting.emplace(decision.ticket.value(), pending_request{now, service_time});
        dispatch();
    }

    void dispatch()
    {
        while (busy < slot_count) {
            const auto started = route::start_next(admission, 0);
            if (!started)
                return;
            const auto found = waiting.find(started->request.ticket.value());
            const auto request = found->second;
            waiting.erase(found);
            ++busy;
            clock.schedule_after(request.service_time,
                                 [this, owner = started->owner, request] { end(owner, request); });
        }
    }

    void end(std::uint32_t owner, const pending_request& request)
    {
        --busy;
        route::finish_request(admission, 0, owner, request.service_time);
        const auto now = clock.now();
        if (now >= measured_from && now <= measured_until)
            work_done += request.service_time;
        if (request.arrived >= measured_from) {
            side_of(owner).latencies.push_back(now - request.arrived);
            ++side_of(owner).answered;
        }
        dispatch();
    }

    void run(double large_load, double small_load)
    {
        offer(large_load, true);
        offer(small_load, false);
        clock.run();
    }

    /** Returns the fraction of all slot time that was used. */
    [[nodiscard]] double slot_utilization() const
    {
        return std::chrono::duration<double>(work_done) /
               (std::chrono::duration<double>(run_time) * slot_count);
    }
};

constexpr double fair_share = 0.5;
/** Loads, as fractions of all slots: a little below the fair share, and ten times the share. */
constexpr double modest_load = 0.45;
constexpr double excessive_load = 10 * fair_share;

void compare(benchmark_report& report, const std::string& name, bool small_is_modest)
{
    shared_pool baseline;
    baseline.run(small_is_modest ? 0 : modest_load, small_is_modest ? modest_load : 0);
    shared_pool contended;
    contended.run(small_is_modest ? excessive_load : modest_load,
                  small_is_modest ? modest_load : excessive_load);
    auto& baseline_side = small_is_modest ? baseline.small : baseline.large;
    auto& contended_side = small_is_modest ? contended.small : contended.large;
    const auto& excessive_side = small_is_modest ? contended.large : contended.small;
    const auto baseline_p99 = percentile(baseline_side.latencies, 0.99);
    const auto contended_p99 = percentile(contended_side.latencies, 0.99);
    report.add("fair_p99_of_" + name, std::chrono::duration<double>(contended_p99) / baseline_p99,
               "ratio", at_most(1.2));
    report.add("fair_throughput_of_" + name,
               static_cast<double>(contended_side.answered) /
                   static_cast<double>(contended_side.offered),
               "share", at_least(0.95));
    const double remaining_capacity = (1 - modest_load) * slot_count * 1e6 / 50'000 *
                                      std::chrono::duration<double>(run_time).count();
    report.add("fair_rest_used_beside_" + name,
               static_cast<double>(excessive_side.answered) / remaining_capacity, "share",
               at_least(0.95));
    report.add("fair_slots_used_beside_" + name, contended.slot_utilization(), "share",
               at_least(0.95));
}

} // namespace

void measure_fairness(benchmark_report& report)
{
    compare(report, "small_owners", true);
    compare(report, "largest_owner", false);
}

} // namespace galenaturn::bench
