#include "measurements.h"

#include <algorithm>
#include <deque>
#include <string>

namespace galenaturn::bench {

namespace {

using namespace schedule;
using std::chrono::seconds;

constexpr std::size_t small_owners = 20;
constexpr std::int64_t whole = 1'000'000;
constexpr seconds run_time{30};
constexpr seconds other_side_comes{120};
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
        beat();
        on_stewardship(assigner_, domain_, process_id{"steward"}, epoch{1});
        beat();
    }

    void add_tasks(const std::string& owner, std::size_t count)
    {
        for (std::size_t added = 0; added < count; ++added) {
            wire::task_record record;
            record.id = task_id{owner + "-" + std::to_string(next_++)};
            record.owner = owner_id{owner};
            record.demand = {millicores{1000}, bytes{1000}, {}};
            record.hold = seconds{60};
            records_[record.id] = record;
            on_record(assigner_, record.id, &record, log_index{1}, now());
        }
    }

    void step()
    {
        now_ += seconds{1};
        while (!ends_.empty() && ends_.front().first <= now_) {
            const auto id = ends_.front().second;
            on_record(assigner_, id, nullptr, log_index{index_}, now());
            used_ -= 1000;
            records_.erase(id);
            ends_.pop_front();
        }
        beat();
        for (const auto& item : assign_pending(assigner_, 10'000, now()).items) {
            auto& record = records_.at(item.id);
            record.phase = wire::task_phase::assigned;
            record.domain = item.domain;
            record.assignment = item.expected.next();
            on_record(assigner_, item.id, &record, log_index{++index_}, now());
            used_ += 1000;
            ends_.emplace_back(now_ + run_time, item.id);
        }
    }

    [[nodiscard]] double share(const std::string& owner) const
    {
        return static_cast<double>(assigner_.owners.at(owner_id{owner}).used.processors.value()) /
               static_cast<double>(whole);
    }
    [[nodiscard]] std::size_t waiting(const std::string& owner) const
    {
        return assigner_.owners.at(owner_id{owner}).waiting.size();
    }
    [[nodiscard]] duration elapsed() const { return now_; }

private:
    [[nodiscard]] time_point now() const { return time_point{std::chrono::hours{1}} + now_; }

    static void add_owner(catalogue& entries, const std::string& name, double weight)
    {
        const owner_id id{name};
        entries.owners[id] = {id, weight, {millicores{whole}, bytes{whole}, {}}, 0, 0};
    }

    void beat()
    {
        steward_heartbeat sent;
        sent.process = process_id{"steward"};
        sent.domain = domain_;
        sent.life = incarnation{1};
        sent.number = heartbeat_number{++beats_};
        sent.applied = log_index{index_};
        sent.load.capacity = {millicores{whole}, bytes{whole}, {}};
        sent.load.free = {millicores{whole - used_}, bytes{whole - used_}, {}};
        sent.load.largest_free = {millicores{1000}, bytes{1000}, {}};
        sent.load.largest_worker = sent.load.largest_free;
        sent.load.workers = 100;
        on_steward_heartbeat(assigner_, sent, now());
    }

    assigner_state assigner_;
    failure_domain_id domain_{"hall-a"};
    duration now_{};
    std::uint64_t beats_{0};
    std::uint64_t index_{1};
    std::uint64_t next_{0};
    std::int64_t used_{0};
    std::map<task_id, wire::task_record> records_;
    std::deque<std::pair<duration, task_id>> ends_;
};

void keep_waiting(shared_cluster& cluster, const std::string& owner, std::size_t least)
{
    const auto waiting = cluster.waiting(owner);
    if (waiting < least)
        cluster.add_tasks(owner, least - waiting);
}

std::string small_name(std::size_t number)
{
    return "small-" + std::to_string(number);
}

/**
 * Returns the smallest fraction of its fair share that the side which starts later had during the
 * measured time.
 */
double least_part(bool large_floods)
{
    shared_cluster cluster;
    constexpr double weights = static_cast<double>(small_owners) * 2.2;
    double least = 1e9;
    while (cluster.elapsed() < measured_until) {
        const bool both = cluster.elapsed() >= other_side_comes;
        if (large_floods || both)
            keep_waiting(cluster, "large", 1500);
        for (std::size_t number = 0; number < small_owners; ++number) {
            if (!large_floods || both)
                keep_waiting(cluster, small_name(number), 80);
        }
        cluster.step();
        if (cluster.elapsed() < measured_from)
            continue;
        if (!large_floods) {
            const double fair = static_cast<double>(small_owners) * 1.2 / weights;
            least = std::min(least, cluster.share("large") / fair);
            continue;
        }
        for (std::size_t number = 0; number < small_owners; ++number)
            least = std::min(least, cluster.share(small_name(number)) * weights);
    }
    return least;
}

/** Returns the share of the cluster that the large owner uses while no one else has tasks. */
double share_when_alone()
{
    shared_cluster cluster;
    while (cluster.elapsed() < other_side_comes) {
        keep_waiting(cluster, "large", 1500);
        cluster.step();
    }
    return cluster.share("large");
}

} // namespace

void measure_shares(figure_report& report)
{
    report.add("least_part_of_fair_share_small_owner_while_large_floods", least_part(true), "ratio",
               at_least(0.9));
    report.add("least_part_of_fair_share_large_owner_while_small_flood", least_part(false), "ratio",
               at_least(0.9));
    report.add("share_of_large_owner_while_others_idle", share_when_alone(), "ratio",
               at_least(0.95));
}

} // namespace galenaturn::bench
