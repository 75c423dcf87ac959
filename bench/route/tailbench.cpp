#include "routebench.h"
#include "virtualcluster.h"

#include <algorithm>
#include <array>
#include <memory>

namespace galenaturn::bench {

namespace {

constexpr std::uint32_t upstream_count = 65;
constexpr std::uint32_t slots = 8;
constexpr std::size_t entry_count = 9;
constexpr std::uint32_t domains = 3;
constexpr duration near_delay = std::chrono::microseconds{250};
constexpr duration far_delay = std::chrono::milliseconds{1};
constexpr duration mean_time = std::chrono::milliseconds{50};
constexpr duration report_interval = std::chrono::milliseconds{100};
constexpr duration report_age = std::chrono::seconds{1};
constexpr duration warm_up = std::chrono::seconds{3};
constexpr duration run_time = std::chrono::seconds{40};
constexpr duration search_pause = std::chrono::milliseconds{5};
constexpr std::size_t most_searches = 16;

std::uint32_t domain_of_entry(std::size_t entry)
{
    return static_cast<std::uint32_t>(entry) % domains;
}

duration delay_between(std::uint32_t left, std::uint32_t right)
{
    return left == right ? near_delay : far_delay;
}

/** What every policy works on: upstreams, arrivals and the latencies seen. */
struct cluster {
    virtual_clock clock;
    std::vector<virtual_upstream> upstreams{upstream_count};
    std::mt19937_64 arrivals{11}; // NOLINT: the same arrivals for every policy
    std::mt19937_64 choices{13};  // NOLINT
    service_times times{mean_time};
    std::vector<duration> latencies;
    time_point measured_from;

    /** Sends a request on; `done` is called when its answer is back at the entry. */
    void send(std::size_t entry, std::size_t upstream, duration takes, std::function<void()> done)
    {
        const auto delay =
            delay_between(domain_of_entry(entry), static_cast<std::uint32_t>(upstream) % domains);
        clock.after(delay, [this, upstream, takes, delay, done = std::move(done)] {
            auto& target = upstreams[upstream];
            auto begin = [this, upstream, takes, delay, done] {
                clock.after(takes, [this, upstream, delay, done] {
                    end(upstream);
                    clock.after(delay, done);
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

    /** Calls `serve(entry, takes)` for each arrival at `load` of all slots. */
    void offer(double load, std::function<void(std::size_t, duration)> serve)
    {
        const double rate =
            load * upstream_count * slots / std::chrono::duration<double>(mean_time).count();
        measured_from = clock.now() + warm_up;
        const auto until = clock.now() + warm_up + run_time;
        arrive(rate, until, std::make_shared<std::function<void(std::size_t, duration)>>(serve));
        clock.run();
    }

    void arrive(double rate, time_point until,
                std::shared_ptr<std::function<void(std::size_t, duration)>> serve)
    {
        const auto next = clock.now() + arrival_gap(rate, arrivals);
        if (next > until)
            return;
        clock.at(next, [this, rate, until, serve] {
            const auto entry = arrivals() % entry_count;
            const auto takes = times.draw(arrivals);
            (*serve)(entry, takes);
            arrive(rate, until, serve);
        });
    }
};

enum class policy { random, two_choices, stale_least_load };

/** The loads of all upstreams, reported often and each time one second late. */
struct stale_reports {
    using loads = std::array<std::uint32_t, upstream_count>;
    std::queue<std::pair<time_point, loads>> on_the_way;
    loads seen{};
    time_point renewed{};

    void renew(const cluster& world)
    {
        const auto now = world.clock.now();
        while (!on_the_way.empty() && on_the_way.front().first + report_age <= now) {
            seen = on_the_way.front().second;
            on_the_way.pop();
        }
        if (now < renewed + report_interval)
            return;
        renewed = now;
        loads fresh{};
        for (std::size_t number = 0; number < upstream_count; ++number)
            fresh.at(number) = world.upstreams[number].load();
        on_the_way.emplace(now, fresh);
    }
};

std::size_t pick(policy chosen, const stale_reports& reports, std::mt19937_64& random)
{
    const auto first = random() % upstream_count;
    if (chosen == policy::random)
        return first;
    if (chosen == policy::two_choices) {
        const auto second = random() % upstream_count;
        return reports.seen.at(first) <= reports.seen.at(second) ? first : second;
    }
    std::size_t best = first;
    for (std::size_t step = 1; step < upstream_count; ++step) {
        const auto candidate = (first + step) % upstream_count;
        if (reports.seen.at(candidate) < reports.seen.at(best))
            best = candidate;
    }
    return best;
}

duration simple_policy_p99(policy chosen, double load)
{
    cluster world;
    stale_reports reports;
    world.offer(load, [&](std::size_t entry, duration takes) {
        reports.renew(world);
        const auto arrived = world.clock.now();
        world.send(entry, pick(chosen, reports, world.choices), takes,
                   [&world, arrived] { world.record(arrived); });
    });
    return percentile(world.latencies, 0.99);
}

/** One queue before all slots, known without delay. */
duration central_queue_p99(double load)
{
    cluster world;
    std::uint32_t busy = 0;
    std::queue<std::function<void()>> waiting;
    world.offer(load, [&](std::size_t /*entry*/, duration takes) {
        const auto arrived = world.clock.now();
        auto begin = [&, arrived, takes] {
            world.clock.after(takes + 2 * near_delay, [&, arrived] {
                world.record(arrived);
                if (waiting.empty()) {
                    --busy;
                    return;
                }
                const auto next = std::move(waiting.front());
                waiting.pop();
                next();
            });
        };
        if (busy == upstream_count * slots)
            waiting.push(begin);
        else if (++busy > 0)
            begin();
    });
    return percentile(world.latencies, 0.99);
}

/** Our entries: admission, exact slots by home, and loans between entries. */
struct exact_slots {
    struct pending {
        time_point arrived;
        duration takes{};
    };
    struct entry {
        route::admission_state admission;
        route::upstream_table table;
        std::unordered_map<std::uint64_t, pending> waiting;
        std::size_t searches{0};
    };

    cluster world;
    std::vector<entry> entries{entry_count};
    std::size_t next_lender{0};

    exact_slots()
    {
        for (std::size_t number = 0; number < entry_count; ++number)
            set_up(number);
    }

    static process_id name_of(std::size_t entry)
    {
        return process_id{"entry-" + std::to_string(entry)};
    }

    void set_up(std::size_t number)
    {
        auto& self = entries[number];
        self.admission.held_limit = 1'000'000;
        self.admission.owners.emplace_back();
        self.admission.owners[0].limits = {1.0, 1e9, 1'000'000};
        self.admission.services.emplace_back();
        self.admission.services[0].limits = {work_class::interactive, 1'000'000, 1'000'000,
                                             mean_time};
        std::vector<process_id> peers;
        for (std::size_t other = number % domains; other < entry_count; other += domains)
            peers.push_back(name_of(other));
        for (std::uint32_t upstream = number % domains; upstream < upstream_count;
             upstream += domains)
            announce(self, upstream, peers, name_of(number));
    }

    static void announce(entry& self, std::uint32_t upstream, std::span<const process_id> peers,
                         const process_id& name)
    {
        wire::upstream_announcement news;
        news.id = upstream_id{std::to_string(upstream)};
        news.life = incarnation{1};
        news.sequence = 1;
        news.slots = slots;
        news.connections = 64;
        route::announce_upstream(self.table, 0, news);
        const auto place = *route::find_upstream(self.table, news.id);
        route::set_home(self.table, place, peers[route::home_of(news.id, peers)] == name);
        route::withhold_slots(self.table, place, 0);
    }

    void dispatch(std::size_t number)
    {
        auto& self = entries[number];
        while (self.admission.services[0].queue.waiting > 0) {
            const auto place = route::choose_upstream(self.table, 0, {});
            if (!place)
                break;
            const auto started = route::start_next(self.admission, 0);
            route::take_slot(self.table, *place);
            run(number, started->request.ticket, number, *place);
        }
        const auto waiting = static_cast<std::size_t>(self.admission.services[0].queue.waiting);
        while (self.searches < std::min(most_searches, waiting)) {
            ++self.searches;
            search(number, 0, ++next_lender);
        }
    }

    /** Sends a started request to the upstream at `place` of the lender's table. */
    void run(std::size_t number, route::ticket_number ticket, std::size_t lender,
             route::upstream_index place)
    {
        auto& self = entries[number];
        const auto request = self.waiting.at(ticket.value());
        self.waiting.erase(ticket.value());
        const auto upstream =
            static_cast<std::size_t>(std::stoul(entries[lender].table.records[place].id.value()));
        world.send(number, upstream, request.takes, [this, number, lender, place, request] {
            world.record(request.arrived);
            route::finish_request(entries[number].admission, 0, 0, request.takes);
            const auto back = lender == number
                                  ? duration::zero()
                                  : delay_between(domain_of_entry(number), domain_of_entry(lender));
            world.clock.after(back, [this, lender, place, request] {
                auto& home = entries[lender];
                route::record_attempt(home.table, place, false, request.takes, world.clock.now());
                route::return_slot(home.table, place);
                dispatch(lender);
            });
        });
    }

    /** Returns the entry that is asked in this step: own domain first, in turns. */
    static std::size_t lender_at(std::size_t number, std::size_t step, std::size_t turn)
    {
        std::vector<std::size_t> near;
        std::vector<std::size_t> far;
        for (std::size_t other = 0; other < entry_count; ++other) {
            if (other != number)
                (other % domains == number % domains ? near : far).push_back(other);
        }
        if (step < near.size())
            return near[(turn + step) % near.size()];
        return far[(turn + step) % far.size()];
    }

    void search(std::size_t number, std::size_t step, std::size_t turn)
    {
        auto& self = entries[number];
        if (self.admission.services[0].queue.waiting == 0) {
            --self.searches;
            return;
        }
        if (step + 1 == entry_count) {
            world.clock.after(search_pause, [this, number] { search(number, 0, ++next_lender); });
            return;
        }
        const auto lender = lender_at(number, step, turn);
        const auto delay = delay_between(domain_of_entry(number), domain_of_entry(lender));
        world.clock.after(delay, [this, number, step, turn, lender, delay] {
            std::optional<route::upstream_index> place;
            if (entries[lender].admission.services[0].queue.waiting == 0)
                place = route::choose_upstream(entries[lender].table, 0, {});
            if (place)
                route::take_slot(entries[lender].table, *place);
            world.clock.after(delay, [this, number, step, turn, lender, place] {
                if (!place)
                    return search(number, step + 1, turn);
                use_loan(number, lender, *place);
                search(number, 0, ++next_lender);
            });
        });
    }

    void use_loan(std::size_t number, std::size_t lender, route::upstream_index place)
    {
        const auto started = route::start_next(entries[number].admission, 0);
        if (started)
            return run(number, started->request.ticket, lender, place);
        const auto delay = delay_between(domain_of_entry(number), domain_of_entry(lender));
        world.clock.after(delay, [this, lender, place] {
            route::return_slot(entries[lender].table, place);
            dispatch(lender);
        });
    }

    duration p99(double load)
    {
        world.offer(load, [this](std::size_t number, duration takes) {
            auto& self = entries[number];
            const auto now = world.clock.now();
            const auto decision =
                route::submit_request(self.admission, {0, 0, now + std::chrono::hours{1}}, now);
            self.waiting.emplace(decision.ticket.value(), pending{now, takes});
            dispatch(number);
        });
        return percentile(world.latencies, 0.99);
    }
};

double milliseconds(duration span)
{
    return static_cast<double>(span.count()) / 1000;
}

void measure_load(figure_report& report, double load, const std::string& suffix)
{
    exact_slots ours_run;
    const double ours = milliseconds(ours_run.p99(load));
    const double random = milliseconds(simple_policy_p99(policy::random, load));
    const double two = milliseconds(simple_policy_p99(policy::two_choices, load));
    const double stale = milliseconds(simple_policy_p99(policy::stale_least_load, load));
    const double central = milliseconds(central_queue_p99(load));
    const double best_other = std::min({random, two, stale});
    report.add("p99_exact_slots" + suffix, ours, "ms", {}, std::to_string(central));
    report.add("p99_random" + suffix, random, "ms");
    report.add("p99_two_choices" + suffix, two, "ms");
    report.add("p99_stale_least_load" + suffix, stale, "ms");
    report.add("p99_central_queue" + suffix, central, "ms");
    report.add("p99_against_best_other" + suffix, ours / best_other, "ratio", at_most(1));
    report.add("p99_against_central_queue" + suffix, ours / central, "ratio",
               load < 0.9 ? at_most(1.5) : bound{});
}

} // namespace

void measure_tail(figure_report& report)
{
    measure_load(report, 0.80, "_load_80");
    measure_load(report, 0.95, "_load_95");
}

} // namespace galenaturn::bench
