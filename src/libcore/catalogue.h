#pragma once

#include "findings.h"
#include "ids.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <string>

namespace galenaturn {

/** Whether an entry favors latency (interactive) or throughput (batch), or runs continuously
 * (watcher). */
enum class work_class : std::uint8_t { interactive, batch, watcher };

/** An owner of jobs and services, with its limits. Rates and concurrency are cluster-wide. */
struct owner_entry {
    owner_id id;
    /** Share of the capacity, relative to the weights of the other owners. */
    double weight{1};
    resources quota;
    /** Maximum number of requests per second. */
    double rate{0};
    std::int64_t concurrency{0};
};

/** A service whose requests are routed to upstreams. */
struct service_entry {
    service_id id;
    owner_id owner;
    work_class shed_class{work_class::interactive};
    std::int64_t concurrency{0};
    std::int64_t queue{0};
    /** Default timeout of a request, and the maximum that a caller may set. */
    duration timeout{};
    duration latency_objective{};
    /** Whether requests may be retried even if their HTTP method is not idempotent. */
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
    /** How long a partitioned failure domain may keep running the task before it is reassigned. */
    duration hold{};
    std::int64_t max_attempts{3};
};

/** One version of the owners, services and jobs that operators declare. */
struct catalogue {
    std::map<owner_id, owner_entry> owners;
    std::map<service_id, service_entry> services;
    std::map<job_id, job_entry> jobs;
};

/** Parses and checks a catalogue document. Adds problems to `problems`; the result is not usable
 * if there are any. */
catalogue parse_catalogue(const std::string& document, const std::string& file, findings& problems);

const char* to_string(work_class value);

} // namespace galenaturn
