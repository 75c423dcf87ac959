#include "benchmarkreport.h"
#include "virtualgroup.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <cstring>
#include <filesystem>

namespace {

using namespace galenaturn;
using bench::at_most;
using bench::benchmark_report;
using bench::virtual_group;

std::string catalogue_of(std::size_t owners, std::size_t jobs)
{
    std::string text = "owners:\n";
    for (std::size_t owner = 0; owner < owners; ++owner)
        text += "  - {name: owner-" + std::to_string(owner) +
                ", quota: {processors: 900, memory: 900GiB}, rate: 100, concurrency: 100}\n";
    text += "jobs:\n";
    for (std::size_t job = 0; job < jobs; ++job)
        text += "  - {name: job-" + std::to_string(job) + ", owner: owner-" +
                std::to_string(job % owners) +
                ", class: batch, processors: 2, memory: 4GiB, hold: 30s}\n";
    return text;
}

wire::command_request start_request(std::size_t number)
{
    return {request_id{"entry-3-1796330614021-" + std::to_string(number)},
            wire::start_task{task_id{"ensemble-2026-03-" + std::to_string(number)},
                             job_id{"job-" + std::to_string(number % 100)},
                             wall_time{std::chrono::hours{9'000}},
                             wall_time{std::chrono::hours{9'001}},
                             {}}};
}

wire::command_request write_request(std::uint64_t expected, const std::string& document)
{
    return {request_id{"operator-1-" + std::to_string(expected)},
            wire::write_catalogue{catalogue_version{expected}, document,
                                  wire::content_digest(document), "operator"}};
}

/** Submits `rate` task starts per second for two seconds; reports syncs and bytes per commit. */
void report_rate(benchmark_report& report, std::size_t rate)
{
    virtual_group group{{}};
    constexpr std::size_t seconds = 2;
    const duration interval{1'000'000 / static_cast<std::int64_t>(rate)};
    for (std::size_t number = 0; number < rate * seconds; ++number) {
        group.propose(wire::encode(start_request(number)));
        group.run_for(interval);
    }
    group.run_for(std::chrono::seconds{1});
    const auto& totals = group.totals();
    const auto commits = static_cast<double>(std::max<std::uint64_t>(totals.commits, 1));
    const auto suffix = "_at_" + std::to_string(rate) + "_a_second";
    const double voters = 3;
    report.add("commits" + suffix, commits / seconds, "1/s",
               bench::at_least(0.99 * static_cast<double>(rate)));
    report.add("syncs_per_commit_and_voter" + suffix,
               static_cast<double>(totals.syncs) / commits / voters, "syncs");
    report.add("bytes_per_follower_and_commit" + suffix,
               static_cast<double>(totals.follower_bytes) / commits, "B");
}

/** Reports the heartbeat bytes per second of an idle leader, half of those of the group. */
void report_idle(benchmark_report& report, std::size_t voters)
{
    virtual_group::options options;
    options.voters = voters;
    virtual_group group{options};
    group.run_for(std::chrono::seconds{100});
    const auto bytes = static_cast<double>(group.totals().bytes_sent);
    report.add("idle_bytes_a_second_of_a_leader_of_" + std::to_string(voters), bytes / 100 / 2,
               "B/s", at_most(4096));
}

/** Returns the time until every entry has a new catalogue version, by push or by polling. */
duration time_until_known_to_all_entries(double loss, std::size_t entries, std::uint64_t seed)
{
    virtual_group::options options;
    options.voters = 7;
    options.loss = loss;
    options.seed = seed;
    virtual_group group{options};
    std::mt19937_64 random{seed}; // NOLINT: fixed seed, for a repeatable result
    const auto lost = [&] { return std::uniform_real_distribution<double>{0, 1}(random) < loss; };
    constexpr duration poll = std::chrono::seconds{2};
    std::vector<time_point> known_at(entries, time_point::max());
    group.applied = [&](std::size_t voter, const ledger::log_entry& entry) {
        if (entry.kind != ledger::entry_kind::command)
            return;
        for (std::size_t index = voter; index < entries; index += options.voters) {
            if (!lost())
                known_at[index] = std::min(known_at[index], group.now() + options.latency);
            // A poll and the fetch after it take two requests and two responses; none may be lost.
            auto polled = group.now() + duration{static_cast<std::int64_t>(
                                            random() % static_cast<std::uint64_t>(poll.count()))};
            while (lost() || lost() || lost() || lost())
                polled += poll;
            known_at[index] = std::min(known_at[index], polled + 4 * options.latency);
        }
    };
    const auto written = group.now();
    group.propose(std::string(400, 'x'));
    group.run_for(std::chrono::seconds{30});
    return *std::max_element(known_at.begin(), known_at.end()) - written;
}

void report_time_until_known(benchmark_report& report, int loss_percent)
{
    constexpr std::uint64_t runs = 40;
    duration worst{};
    for (std::uint64_t seed = 1; seed <= runs; ++seed)
        worst = std::max(worst, time_until_known_to_all_entries(loss_percent / 100.0, 51, seed));
    report.add("in_force_at_60_processes_with_" + std::to_string(loss_percent) + "_percent_loss",
               std::chrono::duration<double>(worst).count(), "s", at_most(18));
}

/** Returns the messages for one catalogue change, between voters and to the entries. */
double messages_per_change(std::size_t voters, std::size_t entries)
{
    virtual_group::options options;
    options.voters = voters;
    virtual_group group{options};
    constexpr std::size_t changes = 20;
    const auto run = [&](bool with_changes) {
        group.reset_counts();
        for (std::size_t change = 0; change < changes; ++change) {
            if (with_changes)
                group.propose(std::string(400, 'x'));
            group.run_for(std::chrono::seconds{1});
        }
        return static_cast<double>(group.totals().messages);
    };
    const auto idle = run(false);
    // Each entry receives one push and acknowledges it.
    return (run(true) - idle) / changes + 2.0 * static_cast<double>(entries);
}

void report_messages(benchmark_report& report)
{
    const auto small = messages_per_change(3, 6);
    const auto large = messages_per_change(7, 53);
    report.add("messages_per_change_at_9", small, "messages");
    report.add("messages_per_change_at_60", large, "messages");
    report.add("messages_per_change_and_process_slope", (large - small) / (60 - 9), "messages",
               at_most(4));
}

std::size_t heap_in_use()
{
    return mallinfo2().uordblks;
}

void report_memory(benchmark_report& report)
{
    ledger::ledger_state state;
    ledger::applied_change change;
    auto before = heap_in_use();
    ledger::apply_command(state, write_request(0, catalogue_of(150, 850)), log_index{1}, change);
    report.add("memory_per_1000_catalogue_entries", static_cast<double>(heap_in_use() - before),
               "B");
    constexpr std::size_t tasks = 10'000;
    before = heap_in_use();
    for (std::size_t number = 0; number < tasks; ++number)
        ledger::apply_command(state, start_request(number), log_index{number + 2}, change);
    const auto used = static_cast<double>(heap_in_use() - before);
    report.add("memory_per_10000_tasks", used, "B");
    // 36,000 open tasks within the 32 MB of a node, less 8 MB for the process itself.
    report.add("memory_of_36000_tasks", used * 3.6, "B", at_most(24.0 * 1024 * 1024));
    const auto snapshot = ledger::encode_snapshot(state);
    report.add("image_of_10000_tasks", static_cast<double>(snapshot.size()), "B");
}

/** Reports how many bytes a restart reads, from a log alone and from a snapshot. */
void report_restart(benchmark_report& report)
{
    ledger::ledger_state state;
    ledger::applied_change change;
    ledger::apply_command(state, write_request(0, catalogue_of(10, 100)), log_index{1}, change);
    ledger::log_batch long_log;
    constexpr std::size_t entries = 20'000;
    for (std::size_t number = 1; number <= entries; ++number) {
        // Starts of the same 2,000 tasks are resent repeatedly, so the state stays small.
        const auto request = start_request(number % 2'000);
        ledger::apply_command(state, request, log_index{number}, change);
        long_log.entries.push_back(
            {term{1}, log_index{number}, ledger::entry_kind::command, wire::encode(request)});
    }
    const auto log_size = ledger::encode_record(1, {long_log}).size();
    const auto snapshot_bytes = ledger::encode_snapshot(state).size();
    report.add("restart_bytes_of_20000_entries", static_cast<double>(log_size), "B");
    report.add("restart_bytes_behind_an_image", static_cast<double>(snapshot_bytes), "B",
               at_most(static_cast<double>(log_size)), std::to_string(log_size));
}

/** Measures the processor time of decoding and applying one task start. */
void apply_starts(benchmark::State& run)
{
    ledger::ledger_state state;
    ledger::applied_change change;
    ledger::apply_command(state, write_request(0, catalogue_of(150, 850)), log_index{1}, change);
    std::size_t number = 0;
    for (auto step : run) {
        (void)step;
        const auto payload = wire::encode(start_request(++number));
        const auto request = wire::decode<wire::command_request>(payload);
        benchmark::DoNotOptimize(
            ledger::apply_command(state, request.value(), log_index{number + 1}, change));
        if (number % 20'000 == 0)
            state.tasks.clear();
    }
}

BENCHMARK(apply_starts);

/** Measures the processor time per commit of a leader and two followers together. */
void commit_groups(benchmark::State& run)
{
    virtual_group group{{}};
    std::size_t number = 0;
    for (auto step : run) {
        (void)step;
        for (std::int64_t one = 0; one < run.range(0); ++one)
            group.propose(wire::encode(start_request(++number)));
        group.run_for(std::chrono::milliseconds{8});
    }
    run.SetItemsProcessed(static_cast<std::int64_t>(number));
}

BENCHMARK(commit_groups)->Arg(1)->Arg(16)->Arg(128);

/** Measures synced appends to a real disk, for comparison with the simulated one. */
void append_to_disk(benchmark::State& run)
{
    const auto folder = std::string{GALENATURN_BINARY_DIR} + "/bench_ledger_disk";
    std::filesystem::remove_all(folder);
    findings found;
    auto disk = ledger::storage::open(folder, found);
    GN_INVARIANT(disk.has_value(), {"findings", found.text()});
    std::uint64_t index = 0;
    for (auto step : run) {
        (void)step;
        ledger::log_batch batch;
        for (std::int64_t one = 0; one < run.range(0); ++one)
            batch.entries.push_back({term{1}, log_index{++index}, ledger::entry_kind::command,
                                     wire::encode(start_request(index))});
        GN_INVARIANT(disk.value().append({batch}), {"index", index});
    }
    run.SetItemsProcessed(static_cast<std::int64_t>(index));
    std::filesystem::remove_all(folder);
}

BENCHMARK(append_to_disk)->Arg(1)->Arg(16)->Arg(128);

} // namespace

/** Reports the ledger's measurements; without --quick also processor times of this machine. */
int main(int argc, char** argv)
{
    init_log(log_level::fatal);
    const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
    benchmark_report report;
    for (const std::size_t rate : {10, 100, 1'000, 2'100})
        report_rate(report, rate);
    report_idle(report, 3);
    report_idle(report, 7);
    report_messages(report);
    for (const int loss : {0, 1, 10})
        report_time_until_known(report, loss);
    report_memory(report);
    report_restart(report);
    if (!quick) {
        benchmark::Initialize(&argc, argv);
        benchmark::RunSpecifiedBenchmarks();
    }
    return report.exit_code();
}
