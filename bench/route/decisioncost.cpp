#include "routebench.h"
#include "virtualcluster.h"

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

std::size_t allocations = 0;

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    void* memory = std::malloc(size); // NOLINT: replaces operator new to count allocations
    if (memory == nullptr)
        throw std::bad_alloc{};
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory); // NOLINT
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT
}

namespace galenaturn::bench {

namespace {

constexpr std::uint32_t owner_count = 150;
constexpr int warm_up_decisions = 20'000;
constexpr int decisions_per_run = 200'000;
constexpr int runs = 7;

/** State of one entry under load: four fifths of all slots are in use. */
struct entry_state {
    route::admission_state admission;
    route::upstream_table table;
    std::vector<route::upstream_index> taken;
    std::vector<std::uint32_t> running;
    std::mt19937_64 random{7}; // NOLINT: a fixed seed makes the benchmark repeatable
    time_point now{std::chrono::hours{1}};

    explicit entry_state(std::uint32_t upstreams)
    {
        for (std::uint32_t number = 0; number < upstreams; ++number)
            add_upstream(number);
        admission.max_admitted = 1'000'000;
        admission.services.resize(1);
        admission.services[0].limits = {work_class::interactive, 1'000'000, 10'000,
                                        std::chrono::milliseconds{50}};
        admission.services[0].slots = std::int64_t{upstreams} * 8;
        for (std::uint32_t owner = 0; owner < owner_count; ++owner) {
            admission.owners.emplace_back();
            admission.owners.back().limits = {1.0 + owner % 7, 1e9, 1'000'000};
        }
        const auto used_slots = upstreams * 8 * 4 / 5;
        taken.reserve(used_slots + 1);
        running.reserve(used_slots + 1);
        for (std::uint32_t number = 0; number < used_slots; ++number)
            start();
    }

    void add_upstream(std::uint32_t number)
    {
        wire::upstream_announcement announcement;
        announcement.id = upstream_id{"runner-" + std::to_string(number)};
        announcement.incarnation_number = incarnation{1};
        announcement.sequence = 1;
        announcement.slots = 8;
        announcement.connections = 64;
        route::announce_upstream(table, 0, announcement);
        route::set_home(table, number, true);
        route::withhold_slots(table, number, 0);
    }

    /** Admits one request, starts the next one in the queue and takes a slot for it. */
    void start()
    {
        const auto owner = static_cast<std::uint32_t>(random() % owner_count);
        route::submit_request(admission, {owner, 0, now + std::chrono::seconds{10}}, now);
        const auto index = route::choose_upstream(table, 0, {});
        const auto started = route::start_next(admission, 0);
        route::take_slot(table, *index);
        taken.push_back(*index);
        running.push_back(started->owner);
    }

    /** Finishes a random running request. */
    void finish()
    {
        const auto chosen = random() % taken.size();
        constexpr auto took = std::chrono::milliseconds{50};
        route::record_attempt(table, taken[chosen], false, took, now);
        route::return_slot(table, taken[chosen]);
        route::finish_request(admission, 0, running[chosen], took);
        taken[chosen] = taken.back();
        running[chosen] = running.back();
        taken.pop_back();
        running.pop_back();
    }

    void run(int count)
    {
        for (int number = 0; number < count; ++number) {
            now += std::chrono::microseconds{100};
            start();
            finish();
        }
    }
};

/** Returns the time of all decisions for one request, in ns: the minimum of several runs. */
double decision_cost_ns(entry_state& state)
{
    double best = 1e12;
    for (int repetition = 0; repetition < runs; ++repetition) {
        const auto begin = std::chrono::steady_clock::now();
        state.run(decisions_per_run);
        const auto took = std::chrono::steady_clock::now() - begin;
        const auto nanoseconds = std::chrono::duration<double, std::nano>(took).count();
        best = std::min(best, nanoseconds / decisions_per_run);
    }
    return best;
}

} // namespace

void measure_decision_cost(benchmark_report& report, bool quick)
{
    entry_state small{65};
    entry_state large{2900};
    small.run(warm_up_decisions);
    large.run(warm_up_decisions);
    const auto before = allocations;
    large.run(decisions_per_run);
    // Read before the call, whose arguments allocate and may be evaluated in any order.
    const auto allocated = allocations - before;
    report.add("allocations_per_decision", static_cast<double>(allocated) / decisions_per_run,
               "count", at_most(0));
    if (quick)
        return;
    const double small_cost = decision_cost_ns(small);
    const double large_cost = decision_cost_ns(large);
    report.add("decision_65_upstreams", small_cost, "ns");
    report.add("decision_2900_upstreams", large_cost, "ns", {}, std::to_string(small_cost));
    report.add("decision_growth_65_to_2900", large_cost / small_cost, "ratio", at_most(4));
}

} // namespace galenaturn::bench
