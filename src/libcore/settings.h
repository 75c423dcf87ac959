#pragma once

#include "errors.h"
#include "findings.h"
#include "ids.h"
#include "units.h"
#include "yamlreader.h"

#include <optional>
#include <string>
#include <vector>

namespace galenaturn {

enum class process_role : std::uint8_t { entry, control };

/** A process of the system, as listed in the settings of all processes. */
struct member_settings {
    process_id id;
    process_role role{process_role::entry};
    failure_domain_id domain;
    region_id region;
    /** TCP for framed messages between galenaturn processes; UDP for gossip on the same port. */
    ip_endpoint peer;
    /** HTTP for callers, upstreams, workers, operators and the balancer. */
    ip_endpoint http;
};

/** How a process discovers the others if its settings do not list them. */
struct join_settings {
    /** Addresses of some control processes; some may be down, outdated or removed. */
    std::vector<ip_endpoint> seeds;
    /** Whether the seeds form a new ledger; false after the loss of a disk. */
    bool form_ledger{false};
    /** Number f of disks that may be lost at once; the ledger keeps 2f+1 voters if enough processes
     * exist. */
    std::uint32_t tolerated_disks{1};
};

/** Timing of the platform's workers that accept commands. */
struct job_settings {
    /** How long a worker continues without a message from the scheduler. */
    duration lease{};
    /** The longest lease that a worker accepts, whatever the scheduler grants. */
    duration lease_limit{};
    /** How long after it was sent a worker may still carry out a start that got no reply. */
    duration start_delay_limit{};
    /** Maximum time that a worker takes to stop a task. */
    duration stop_limit{};
    /** How often a worker announces itself. */
    duration announcement_interval{};
};

/** All settings of a daemon. */
struct process_settings {
    member_settings self;
    /** All processes; only this one if the others are discovered through seeds. */
    std::vector<member_settings> members;
    /** Present if the members are not listed but discovered through seeds. */
    std::optional<join_settings> join;
    job_settings jobs;
    /** Additional listener that serves only readiness and metrics; port 0 for none. */
    ip_endpoint readiness;
    /** Additional listener at a fixed address for metrics collectors; port 0 for none. */
    ip_endpoint metrics;
    /** Control only: the folder that holds the ledger. */
    std::string data_folder;
    /** The folder with the state charts; empty for those built into the program. */
    std::string charts_folder;
    /** How long readiness fails before new work is refused, so that the balancer sees it. */
    duration drain_notice{};
    /** How long requests in progress may take to complete during a planned shutdown. */
    duration drain_limit{};
    /** Maximum size of a request or response body. */
    bytes body_limit;
    /** Domains whose messages this process drops; for failure tests only. */
    std::vector<failure_domain_id> refused_domains;
};

/** Builder that collects settings, validates them together and returns the result. */
class settings_builder {
public:
    /** Reads the file `path`; relative folders in it are resolved against the folder of the file.
     */
    settings_builder& read_file(const std::string& path);
    settings_builder& read_text(const std::string& text, const std::string& file);
    /** Replaces the name of the process; several processes may share one settings file. */
    settings_builder& name(const std::string& process_name);
    settings_builder& data_folder(const std::string& folder);

    /** Returns the settings, or core_error::invalid_settings with all problems in `problems()`. */
    result<process_settings> build(process_role role);
    [[nodiscard]] const findings& problems() const { return problems_; }

private:
    void read(yaml_map& root);
    void read_member(yaml_map& item);
    void read_self(yaml_map& item);
    void read_jobs(yaml_map& item);
    void check_members();
    void select_self(process_role role);

    std::string file_;
    std::string base_folder_;
    std::string name_;
    process_settings settings_;
    std::vector<source_place> member_places_;
    findings problems_;
};

const char* to_string(process_role role);

} // namespace galenaturn
