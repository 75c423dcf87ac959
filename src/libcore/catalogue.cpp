#include "catalogue.h"

#include "yamlreader.h"

#include <vector>

namespace galenaturn {

namespace {

constexpr double max_weight = 1e6;
constexpr double max_requests_per_second = 1e6;
constexpr std::int64_t max_count = 1'000'000;
constexpr duration max_hold = std::chrono::hours{24};

const std::vector<std::string> class_names{"interactive", "batch", "watcher"};

resources read_resources(yaml_map& map)
{
    return {map.processors("processors"), map.size("memory"),
            accelerator_count{map.integer("accelerators", 0, max_count, 0)}};
}

void read_owner(yaml_map& map, catalogue& target)
{
    owner_entry entry;
    entry.id = owner_id{map.text("name")};
    entry.weight = map.number("weight", 0.001, max_weight, 1.0);
    auto quota = map.map("quota");
    entry.quota = read_resources(quota);
    quota.finish();
    entry.rate = map.number("rate", 0, max_requests_per_second);
    entry.concurrency = map.integer("concurrency", 0, max_count);
    map.finish();
    if (!target.owners.emplace(entry.id, entry).second)
        map.report("name", "owner '" + entry.id.value() + "' is declared twice",
                   "remove one of them");
}

owner_id read_owner_reference(yaml_map& map, const catalogue& target)
{
    owner_id owner{map.text("owner")};
    if (!owner.empty() && !target.owners.contains(owner))
        map.report("owner", "unknown owner '" + owner.value() + "'", "declare it under 'owners'");
    return owner;
}

void read_service(yaml_map& map, catalogue& target)
{
    service_entry entry;
    entry.id = service_id{map.text("name")};
    entry.owner = read_owner_reference(map, target);
    entry.shed_class = static_cast<work_class>(map.choice("class", class_names));
    entry.concurrency = map.integer("concurrency", 1, max_count);
    entry.queue = map.integer("queue", 0, max_count);
    entry.timeout = map.span("timeout");
    entry.latency_objective = map.span("latency_objective", entry.timeout);
    entry.idempotent = map.boolean("idempotent", false);
    map.finish();
    if (map.has("timeout") && entry.timeout <= duration::zero())
        map.report("timeout", "'timeout' is not above zero", "write a positive timeout");
    if (!target.services.emplace(entry.id, entry).second)
        map.report("name", "service '" + entry.id.value() + "' is declared twice",
                   "remove one of them");
}

void read_job(yaml_map& map, catalogue& target)
{
    job_entry entry;
    entry.id = job_id{map.text("name")};
    entry.owner = read_owner_reference(map, target);
    entry.task_class = static_cast<work_class>(map.choice("class", class_names));
    entry.urgent = map.boolean("urgent", false);
    entry.demand = read_resources(map);
    entry.expected_run_time = map.span("expected_run_time", duration::zero());
    entry.hold = map.span("hold");
    entry.max_attempts = map.integer("max_attempts", 1, 1000, 3);
    map.finish();
    if (entry.hold > max_hold)
        map.report("hold", "'hold' is longer than 24h", "write a shorter hold");
    const auto owner = target.owners.find(entry.owner);
    if (owner != target.owners.end() && !fits(entry.demand, owner->second.quota))
        map.report("name", "job '" + entry.id.value() + "' is larger than its owner's quota",
                   "raise the quota or lower the job's sizes");
    if (!target.jobs.emplace(entry.id, entry).second)
        map.report("name", "job '" + entry.id.value() + "' is declared twice",
                   "remove one of them");
}

} // namespace

catalogue parse_catalogue(const std::string& document, const std::string& file, findings& problems)
{
    catalogue parsed;
    auto root = yaml_map::parse(document, file, problems);
    for (auto& item : root.maps("owners"))
        read_owner(item, parsed);
    for (auto& item : root.maps("services"))
        read_service(item, parsed);
    for (auto& item : root.maps("jobs"))
        read_job(item, parsed);
    root.finish();
    return parsed;
}

const char* to_string(work_class value)
{
    switch (value) {
    case work_class::interactive:
        return "interactive";
    case work_class::batch:
        return "batch";
    case work_class::watcher:
        return "watcher";
    }
    return "unknown";
}

} // namespace galenaturn
