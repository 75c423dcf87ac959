#pragma once

#include "errors.h"
#include "findings.h"
#include "ids.h"
#include "units.h"
#include "yamlreader.h"

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

/** Everything that a daemon learns at its start. */
struct process_settings {
    member_settings self;
    std::vector<member_settings> members;
    /** Control only: the folder that holds the ledger. */
    std::string data_folder;
    /** The folder with the state charts. */
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
