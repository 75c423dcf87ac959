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

/** One process of the system, as every process's settings list it. */
struct member_settings {
    process_id id;
    process_role role{process_role::entry};
    failure_domain_id domain;
    region_id region;
    /** TCP for framed messages between our processes; UDP for gossip on the same port. */
    ip_endpoint peer;
    /** HTTP for callers, upstreams, workers, operators and the balancer. */
    ip_endpoint http;
};

/** How a process finds the others where its settings do not list them. */
struct join_settings {
    /** Addresses of some control processes; any of them may be down, stale or gone. */
    std::vector<ip_endpoint> seeds;
    /** Whether empty disks at all seeds mean that a new ledger is to be formed. */
    bool form_ledger{false};
    /** Disks that may be lost at once; the ledger keeps 2f+1 voters where there are as many. */
    std::uint32_t tolerated_disks{1};
};

/** How tasks run on the workers of a platform that takes orders. */
struct job_settings {
    /** How long a worker goes on without hearing from us. */
    duration lease{};
    /** The longest that a stop takes at a worker. */
    duration stop_limit{};
    /** How often a worker announces itself. */
    duration announcement_interval{};
};

/** Everything that a daemon learns at its start. */
struct process_settings {
    member_settings self;
    /** All processes; only this one where the others are found through seeds. */
    std::vector<member_settings> members;
    /** Present where the members are not listed but found through seeds. */
    std::optional<join_settings> join;
    job_settings jobs;
    /** A second listener that answers only readiness and metrics; port 0 for none. */
    ip_endpoint readiness;
    /** A further listener at a known place for who collects metrics; port 0 for none. */
    ip_endpoint metrics;
    /** Control only: the folder that holds the ledger. */
    std::string data_folder;
    /** The folder with the state charts; empty for those built into the program. */
    std::string charts_folder;
    /** How long readiness fails before new work is refused, so that the balancer sees it. */
    duration drain_notice{};
    /** How long requests in progress may take to end at a planned stop. */
    duration drain_limit{};
    /** Largest request or answer body. */
    bytes body_limit;
    /** Domains whose messages this process drops; for failure tests only. */
    std::vector<failure_domain_id> refused_domains;
};

/** Gathers settings step by step, checks them as a whole and makes the result. */
class settings_builder {
public:
    /** Reads `path`; relative folders in it count from the file's own folder. */
    settings_builder& read_file(const std::string& path);
    settings_builder& read_text(const std::string& text, const std::string& file);
    /** Replaces the name of the process; several processes may share one file of members. */
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
