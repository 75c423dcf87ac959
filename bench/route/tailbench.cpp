#include "routebench.h"
#include "virtualcluster.h"

#include <algorithm>
#include <array>
#include <memory>

namespace galenaturn::bench {

namespace {

constexpr std::uint32_t upstream_count = 65;
constexpr std::uint32_t slots_per_upstream = 8;
constexpr std::size_t entry_count = 9;
constexpr std::uint32_t domain_count = 3;
constexpr duration same_domain_delay = std::chrono::microseconds{250};
constexpr duration cross_domain_delay = std::chrono::milliseconds{1};
constexpr duration mean_time = std::chrono::milliseconds{50};
constexpr duration report_interval = std::chrono::milliseconds{100};
constexpr duration report_age = std::chrono::seconds{1};
constexpr duration warm_up = std::chrono::seconds{3};
constexpr duration run_time = std::chrono::seconds{40};
constexpr duration search_retry_interval = std::chrono::milliseconds{5};
constexpr std::size_t max_searches = 16;

std::uint32_t domain_of_entry(std::size_t entry)
{
    return static_cast<std::uint32_t>(entry) % domain_count;
}

duration delay_between(std::uint32_t left, std::uint32_t right)
{
    return left == right ? same_domain_delay : cross_domain_delay;
}

/** Upstreams, arrivals and measured latencies, the same for every policy. */
struct cluster {
    virtual_clock clock;
    std::vector<virtual_upstream> upstreams{upstream_count};
    std::mt19937_64 arrivals{11}; // NOLINT: a fixed seed gives every policy the same arrivals
    std::mt19937_64 choices{13};  // NOLINT
    service_times times{mean_time};
    std::vector<duration> latencies;
    time_point measured_from;

    /** Sends a request to an upstream. `done` is called when the response reaches the entry. */
    void send(std::size_t entry, std::size_t upstream, duration service_time,
              std::function<void()> done)
    {
        const auto delay = delay_between(domain_of_entry(entry),
                                         static_cast<std::uint32_t>(upstream) % domain_count);
        clock.schedule_after(delay, [this, upstream, service_time, delay, done = std::move(done)] {
            auto& target = upstreams[upstream];
            auto begin = [this, upstream, service_time, delay, done] {
                clock.schedule_after(service_time, [this, upstream, delay, done] {
                    end(upstream);
                    clock.schedule_after(delay, done);
                });
            };
            if (target.busy < target.slots) {
                ++target.busy;
                begin();
            }
            else {
                target.backlog.push(begin);
            }
        });
    }

    void end(std::size_t upstream)
    {
        auto& target = upstreams[upstream];
        if (target.backlog.empty()) {
            --target.busy;
            return;
        }
        const auto next = std::move(target.backlog.front());
        target.backlog.pop();
        next();
    }

    void record(time_point arrived)
    {
        if (arrived >= measured_from)
            latencies.push_back(clock.now() - arrived);
    }

    /** Calls `serve(entry, service_time)` for each arrival; `load` is a fraction of all slots. */
    void offer(double load, std::function<void(std::size_t, duration)> serve)
    {
        const double rate = load * upstream_count * slots_per_upstream /
                            std::chrono::duration<double>(mean_time).count();
        measured_from = clock.now() + warm_up;
        const auto arrivals_end = clock.now() + warm_up + run_time;
        arrive(rate, arrivals_end,
               std::make_shared<std::function<void(std::size_t, duration)>>(serve));
        clock.run();
    }

    void arrive(double rate, time_point arrivals_end,
                std::shared_ptr<std::function<void(std::size_t, duration)>> serve)
    {
        const auto next = clock.now() + arrival_gap(rate, arrivals);
        if (next > arrivals_end)
            return;
        clock.schedule_at(next, [this, rate, arrivals_end, serve] {
            const auto entry = arrivals() % entry_count;
            const auto service_time = times.draw(arrivals);
            (*serve)(entry, service_time);
            arrive(rate, arrivals_end, serve);
        });
    }
};

enum class policy { random, two_choices, stale_least_load };

/** The loads of all upstreams, reported every `report_interval` and received `report_age` later. */
struct stale_reports {
    using loads = std::array<std::uint32_t, upstream_count>;
    std::queue<std::pair<time_point, loads>> in_transit;
    loads received{};
    time_point last_report{};

    void update(const cluster& simulation)
    {
        const auto now = simulation.clock.now();
        while (!in_transit.empty() && in_transit.front().first + report_age <= now) {
            received = in_transit.front().second;
            in_transit.pop();
        }
        if (now < last_report + report_interval)
            return;
        last_report = now;
        loads current{};
        for (std::size_t number = 0; number < upstream_count; ++number)
            current.at(number) = simulation.upstreams[number].load();
        in_transit.emplace(now, current);
    }
};

std::size_t choose_by_policy(policy routing, const stale_reports& reports, std::mt19937_64& random)
{
    const auto first = random() % upstream_count;
    if (routing == policy::random)
        return first;
    if (routing == policy::two_choices) {
        const auto second = random() % upstream_count;
        return reports.received.at(first) <= reports.received.at(second) ? first : second;
    }
    std::size_t best = first;
    for (std::size_t step = 1; step < upstream_count; ++step) {
        const auto candidate = (first + step) % upstream_count;
        if (reports.received.at(candidate) < reports.received.at(best))
            best = candidate;
    }
    return best;
}

duration simple_policy_p99(policy routing, double load)
{
    cluster simulation;
    stale_reports reports;
    simulation.offer(load, [&](std::size_t entry, duration service_time) {
        reports.update(simulation);
        const auto arrived = simulation.clock.now();
        simulation.send(entry, choose_by_policy(routing, reports, simulation.choices), service_time,
                        [&simulation, arrived] { simulation.record(arrived); });
    });
    return percentile(simulation.latencies, 0.99);
}

/** One central queue in front of all slots, with no delay of information. */
duration central_queue_p99(double load)
{
    cluster simulation;
    std::uint32_t busy = 0;
    std::queue<std::function<void()>> waiting;
    simulation.offer(load, [&](std::size_t /*entry*/, duration service_time) {
        const auto arrived = simulation.clock.now();
        auto begin = [&, arrived, service_time] {
            simulation.clock.schedule_after(service_time + 2 * same_domain_delay, [&, arrived] {
                simulation.record(arrived);
                if (waiting.empty()) {
                    --busy;
                    return;
                }
                const auto next = std::move(waiting.front());
                waiting.pop();
                next();
            });
        };
        if (busy == upstream_count * slots_per_upstream)
            waiting.push(begin);
        else if (++busy > 0)
            begin();
    });
    return percentile(simulation.latencies, 0.99);
}

/** Entries with admission, exact slot counts at the home entry, and loans between entries. */
struct exact_slots {
    struct pending_request {
        time_point arrived;
        duration service_time{};
    };
    struct entry {
        route::admission_state admission;
        route::upstream_table table;
        std::unordered_map<std::uint64_t, pending_request> waiting;
        std::size_t searches{0};
    };

    cluster simulation;
    std::vector<entry> entries{entry_count};
    std::size_t next_lender{0};

    exact_slots()
    {
        for (std::size_t entry_index = 0; entry_index < entry_count; ++entry_index)
            set_up(entry_index);
    }

    static process_id name_of(std::size_t entry)
    {
        return process_id{"entry-" + std::to_string(entry)};
    }

    void set_up(std::size_t entry_index)
    {
        auto& self = entries[entry_index];
        self.admission.max_admitted = 1'000'000;
        self.admission.owners.emplace_back();
        self.admission.owners[0].limits = {1.0, 1e9, 1'000'000};
        self.admission.services.emplace_back();
        self.admission.services[0].limits = {work_class::interactive, 1'000'000, 1'000'000,
                                             mean_time};
        std::vector<process_id> peers;
        for (std::size_t other = entry_index % domain_count; other < entry_count;
             other += domain_count)
            peers.push_back(name_of(other));
        for (std::uint32_t upstream = entry_index % domain_count; upstream < upstream_count;
             upstream += domain_count)
            announce(self, upstream, peers, name_of(entry_index));
    }

    static void announce(entry& self, std::uint32_t upstream, std::span<const process_id> peers,
                         const process_id& name)
    {
        wire::upstream_announcement announcement;
        announcement.id = upstream_id{std::to_string(upstream)};
        announcement.incarnation_number = incarnation{1};
        announcement.sequence = 1;
        announcement.slots = slots_per_upstream;
        announcement.connections = 64;
        route::announce_upstream(self.table, 0, announcement);
        const auto index = *route::find_upstream(self.table, announcement.id);
        route::set_home(self.table, index,
                        peers[route::home_entry_index(announcement.id, peers)] == name);
        route::withhold_slots(self.table, index, 0);
    }

    void dispatch(std::size_t entry_index)
    {
        auto& self = entries[entry_index];
        while (self.admission.services[0].queue.waiting > 0) {
            const auto index = route::choose_upstream(self.table, 0, {});
            if (!index)
                break;
            const auto started = route::start_next(self.admission, 0);
            route::take_slot(self.table, *index);
            run(entry_index, started->request.ticket, entry_index, *index);
        }
        const auto waiting = static_cast<std::size_t>(self.admission.services[0].queue.waiting);
        while (self.searches < std::min(max_searches, waiting)) {
            ++self.searches;
            search(entry_index, 0, ++next_lender);
        }
    }

    /** Sends a started request to the upstream at `index` in the table of the lending entry. */
    void run(std::size_t entry_index, route::ticket_number ticket, std::size_t lender,
             route::upstream_index index)
    {
        auto& self = entries[entry_index];
        const auto request = self.waiting.at(ticket.value());
        self.waiting.erase(ticket.value());
        const auto upstream =
            static_cast<std::size_t>(std::stoul(entries[lender].table.records[index].id.value()));
        simulation.send(
            entry_index, upstream, request.service_time,
            [this, entry_index, lender, index, request] {
                simulation.record(request.arrived);
                route::finish_request(entries[entry_index].admission, 0, 0, request.service_time);
                const auto return_delay =
                    lender == entry_index
                        ? duration::zero()
                        : delay_between(domain_of_entry(entry_index), domain_of_entry(lender));
                simulation.clock.schedule_after(return_delay, [this, lender, index, request] {
                    auto& home = entries[lender];
                    route::record_attempt(home.table, index, false, request.service_time,
                                          simulation.clock.now());
                    route::return_slot(home.table, index);
                    dispatch(lender);
                });
            });
    }

    /** Returns the entry to ask in this step: first those of the own domain, round robin. */
    static std::size_t lender_at(std::size_t entry_index, std::size_t step, std::size_t rotation)
    {
        std::vector<std::size_t> same_domain;
        std::vector<std::size_t> other_domains;
        for (std::size_t other = 0; other < entry_count; ++other) {
            if (other != entry_index)
                (other % domain_count == entry_index % domain_count ? same_domain : other_domains)
                    .push_back(other);
        }
        if (step < same_domain.size())
            return same_domain[(rotation + step) % same_domain.size()];
        return other_domains[(rotation + step) % other_domains.size()];
    }

    void search(std::size_t entry_index, std::size_t step, std::size_t rotation)
    {
        auto& self = entries[entry_index];
        if (self.admission.services[0].queue.waiting == 0) {
            --self.searches;
            return;
        }
        if (step + 1 == entry_count) {
            simulation.clock.schedule_after(search_retry_interval, [this, entry_index] {
                search(entry_index, 0, ++next_lender);
            });
            return;
        }
        const auto lender = lender_at(entry_index, step, rotation);
        const auto delay = delay_between(domain_of_entry(entry_index), domain_of_entry(lender));
        simulation.clock.schedule_after(delay, [this, entry_index, step, rotation, lender, delay] {
            std::optional<route::upstream_index> index;
            if (entries[lender].admission.services[0].queue.waiting == 0)
                index = route::choose_upstream(entries[lender].table, 0, {});
            if (index)
                route::take_slot(entries[lender].table, *index);
            simulation.clock.schedule_after(delay,
                                            [this, entry_index, step, rotation, lender, index] {
                                                if (!index)
                                                    return search(entry_index, step + 1, rotation);
                                                use_loan(entry_index, lender, *index);
                                                search(entry_index, 0, ++next_lender);
                                            });
        });
    }

    void use_loan(std::size_t entry_index, std::size_t lender, route::upstream_index index)
    {
        const auto started = route::start_next(entries[entry_index].admission, 0);
        if (started)
            return run(entry_index, started->request.ticket, lender, index);
        const auto delay = delay_between(domain_of_entry(entry_index), domain_of_entry(lender));
        simulation.clock.schedule_after(delay, [this, lender, index] {
            route::return_slot(entries[lender].table, index);
            dispatch(lender);
        });
    }

    duration p99(double load)
    {
        simulation.offer(load, [this](std::size_t entry_index, duration service_time) {
            auto& self = entries[entry_index];
            const auto now = simulation.clock.now();
            const auto decision =
                route::submit_request(self.admission, {0, 0, now + std::chrono::hours{1}}, now);
            self.waiting.emplace(decision.ticket.value(), pending_request{now, service_time});
            dispatch(entry_index);
        });
        return percentile(simulation.latencies, 0.99);
    }
};

double milliseconds(duration span)
{
    return static_cast<double>(span.count()) / 1000;
}

void measure_load(benchmark_report& report, double load, const std::string& suffix)
{
    exact_slots exact;
    const double exact_p99 = milliseconds(exact.p99(load));
    const double random_p99 = milliseconds(simple_policy_p99(policy::random, load));
    const double two_choices_p99 = milliseconds(simple_policy_p99(policy::two_choices, load));
    const double stale_p99 = milliseconds(simple_policy_p99(policy::stale_least_load, load));
    const double central_p99 = milliseconds(central_queue_p99(load));
    const double best_other_p99 = std::min({random_p99, two_choices_p99, stale_p99});
    report.add("p99_exact_slots" + suffix, exact_p99, "ms", {}, std::to_string(central_p99));
    report.add("p99_random" + suffix, random_p99, "ms");
    report.add("p99_two_choices" + suffix, two_choices_p99, "ms");
    report.add("p99_stale_least_load" + suffix, stale_p99, "ms");
    report.add("p99_central_queue" + suffix, central_p99, "ms");
    report.add("p99_against_best_other" + suffix, exact_p99 / best_other_p99, "ratio", at_most(1));
    report.add("p99_against_central_queue" + suffix, exact_p99 / central_p99, "ratio",
               load < 0.9 ? at_most(1.5) : bound{});
}

} // namespace

void measure_tail(benchmark_report& report)
{
    measure_load(report, 0.80, "_load_80");
    measure_load(report, 0.95, "_load_95");
}

} // namespace galenaturn::bench
