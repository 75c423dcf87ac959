#pragma once

#include "findings.h"
#include "ids.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <string>

namespace galenaturn {

/** How the latency of an entry is weighed against throughput. */
enum class work_class : std::uint8_t { interactive, batch, watcher };

/** Who may use how much. Rates and concurrency are cluster-wide. */
struct owner_entry {
    owner_id id;
    /** Share of capacity in relation to the other owners. */
    double weight{1};
    resources quota;
    /** Requests a second. */
    double rate{0};
    std::int64_t concurrency{0};
};

/** A request service behind upstreams. */
struct service_entry {
    service_id id;
    owner_id owner;
    work_class shed_class{work_class::interactive};
    std::int64_t concurrency{0};
    std::int64_t queue{0};
    /** Applied when the caller names no timeout, and the longest a caller may name. */
    duration timeout{};
    duration latency_objective{};
    /** Whether requests with other methods than the HTTP idempotent ones may be repeated. */
    bool idempotent{false};
};

/** A kind of task: batch work, a watcher, or the runner of a service. */
struct job_entry {
    job_id id;
    owner_id owner;
    work_class task_class{work_class::batch};
    bool urgent{false};
    resources demand;
    duration expected_run_time{};
    /** How long a cut-off failure domain may go on running the task before it moves. */
    duration hold{};
    std::int64_t max_attempts{3};
};

/** One version of what operators declared. */
struct catalogue {
    std::map<owner_id, owner_entry> owners;
    std::map<service_id, service_entry> services;
    std::map<job_id, job_entry> jobs;
};

/** Parses and checks a catalogue document. Problems go to `found`; the result is then unusable. */
catalogue parse_catalogue(const std::string& document, const std::string& file, findings& found);

const char* to_string(work_class value);

} // namespace galenaturn
