#include "measurements.h"

#include <algorithm>
#include <deque>
#include <string>

namespace galenaturn::bench {

namespace {

using namespace schedule;
using std::chrono::seconds;

constexpr std::size_t small_owners = 20;
constexpr std::int64_t cluster_millicores = 1'000'000;
constexpr seconds run_time{30};
constexpr seconds second_side_starts{120};
constexpr seconds measured_from{180};
constexpr seconds measured_until{600};

/** A leading assigner and one domain that runs every task for the same time. */
class shared_cluster {
public:
    shared_cluster()
    {
        catalogue entries;
        add_owner(entries, "large", static_cast<double>(small_owners) * 1.2);
        for (std::size_t number = 0; number < small_owners; ++number)
            add_owner(entries, "small-" + std::to_string(number), 1);
        on_catalogue(assigner_, entries);
        begin_leading(assigner_, now());
        send_heartbeat();
        on_stewardship(assigner_, domain_, process_id{"steward"}, epoch{1});
        send_heartbeat();
    }

    void add_tasks(const std::string& owner, std::size_t count)
    {
        for (std::size_t added = 0; added < count; ++added) {
            wire::task_record record;
            record.id = task_id{owner + "-" + std::to_string(next_task_++)};
            record.owner = owner_id{owner};
            record.demand = {millicores{1000}, bytes{1000}, {}};
            record.hold = seconds{60};
            records_[record.id] = record;
            on_task_record(assigner_, record.id, &record, log_index{1}, now());
        }
    }

    void step()
    {
        elapsed_ += seconds{1};
        while (!completions_.empty() && completions_.front().first <= elapsed_) {
            const auto id = completions_.front().second;
            on_task_record(assigner_, id, nullptr, log_index{last_index_}, now());
            used_ -= 1000;
            records_.erase(id);
            completions_.pop_front();
        }
        send_heartbeat();
        for (const auto& item : assign_pending(assigner_, 10'000, now()).items) {
            auto& record = records_.at(item.id);
            record.phase = wire::task_phase::assigned;
            record.domain = item.domain;
            record.assignment = item.expected.next();
            on_task_record(assigner_, item.id, &record, log_index{++last_index_}, now());
            used_ += 1000;
            completions_.emplace_back(elapsed_ + run_time, item.id);
        }
    }

    [[nodiscard]] double share(const std::string& owner) const
    {
        return static_cast<double>(assigner_.owners.at(owner_id{owner}).used.processors.value()) /
               static_cast<double>(cluster_millicores);
    }
    [[nodiscard]] std::size_t waiting(const std::string& owner) const
    {
        return assigner_.owners.at(owner_id{owner}).waiting.size();
    }
    [[nodiscard]] duration elapsed() const { return elapsed_; }

private:
    [[nodiscard]] time_point now() const { return time_point{std::chrono::hours{1}} + elapsed_; }

    static void add_owner(catalogue& entries, const std::string& name, double weight)
    {
        const owner_id id{name};
        entries.owners[id] = {
            id, weight, {millicores{cluster_millicores}, bytes{cluster_millicores}, {}}, 0, 0};
    }

    void send_heartbeat()
    {
        steward_heartbeat sent;
        sent.process = process_id{"steward"};
        sent.domain = domain_;
        sent.process_incarnation = incarnation{1};
        sent.number = heartbeat_number{++heartbeats_};
        sent.applied_index = log_index{last_index_};
        sent.load.capacity = {millicores{cluster_millicores}, bytes{cluster_millicores}, {}};
        sent.load.free = {
            millicores{cluster_millicores - used_}, bytes{cluster_millicores - used_}, {}};
        sent.load.largest_free = {millicores{1000}, bytes{1000}, {}};
        sent.load.largest_worker = sent.load.largest_free;
        sent.load.workers = 100;
        on_steward_heartbeat(assigner_, sent, now());
    }

    assigner_state assigner_;
    failure_domain_id domain_{"hall-a"};
    duration elapsed_{};
    std::uint64_t heartbeats_{0};
    std::uint64_t last_index_{1};
    std::uint64_t next_task_{0};
    std::int64_t used_{0};
    std::map<task_id, wire::task_record> records_;
    std::deque<std::pair<duration, task_id>> completions_;
};

void keep_backlog(shared_cluster& cluster, const std::string& owner, std::size_t min_backlog)
{
    const auto waiting = cluster.waiting(owner);
    if (waiting < min_backlog)
        cluster.add_tasks(owner, min_backlog - waiting);
}

std::string small_name(std::size_t number)
{
    return "small-" + std::to_string(number);
}

/**
 * Returns the smallest fraction of its fair share that the side which starts later had during the
 * measured time.
 */
double min_fair_share_fraction(bool large_floods)
{
    shared_cluster cluster;
    constexpr double weights = static_cast<double>(small_owners) * 2.2;
    double smallest_fraction = 1e9;
    while (cluster.elapsed() < measured_until) {
        const bool both_flood = cluster.elapsed() >= second_side_starts;
        if (large_floods || both_flood)
            keep_backlog(cluster, "large", 1500);
        for (std::size_t number = 0; number < small_owners; ++number) {
            if (!large_floods || both_flood)
                keep_backlog(cluster, small_name(number), 80);
        }
        cluster.step();
        if (cluster.elapsed() < measured_from)
            continue;
        if (!large_floods) {
            const double fair = static_cast<double>(small_owners) * 1.2 / weights;
            smallest_fraction = std::min(smallest_fraction, cluster.share("large") / fair);
            continue;
        }
        for (std::size_t number = 0; number < small_owners; ++number)
            smallest_fraction =
                std::min(smallest_fraction, cluster.share(small_name(number)) * weights);
    }
    return smallest_fraction;
}

/** Returns the share of the cluster that the large owner uses while no one else has tasks. */
double share_without_competition()
{
    shared_cluster cluster;
    while (cluster.elapsed() < second_side_starts) {
        keep_backlog(cluster, "large", 1500);
        cluster.step();
    }
    return cluster.share("large");
}

} // namespace

void measure_shares(benchmark_report& report)
{
    report.add("least_part_of_fair_share_small_owner_while_large_floods",
               min_fair_share_fraction(true), "ratio", at_least(0.9));
    report.add("least_part_of_fair_share_large_owner_while_small_flood",
               min_fair_share_fraction(false), "ratio", at_least(0.9));
    report.add("share_of_large_owner_while_others_idle", share_without_competition(), "ratio",
               at_least(0.95));
}

} // namespace galenaturn::bench
