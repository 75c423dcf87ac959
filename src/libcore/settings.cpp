#include "settings.h"

#include <filesystem>
#include <map>
#include <set>

namespace galenaturn {

namespace {

constexpr duration default_drain_notice = std::chrono::seconds{2};
constexpr duration default_drain_limit = std::chrono::seconds{30};
constexpr bytes default_body_limit{std::int64_t{8} << 20};

/** Shorter than the lease limit of each supported platform. */
constexpr duration default_lease = std::chrono::seconds{8};
constexpr duration default_lease_limit = std::chrono::seconds{10};
constexpr duration default_start_delay_limit = std::chrono::seconds{12};
constexpr duration default_stop_limit = std::chrono::milliseconds{500};
constexpr duration default_announcement_interval = std::chrono::milliseconds{1500};
constexpr std::int64_t max_tolerated_disks = 4;

const std::vector<std::string> role_names{"entry", "control"};

std::string resolved(const std::string& folder, const std::string& base)
{
    const std::filesystem::path path{folder};
    if (folder.empty() || path.is_absolute())
        return folder;
    return (std::filesystem::path{base} / path).lexically_normal().string();
}

} // namespace

settings_builder& settings_builder::read_file(const std::string& path)
{
    file_ = path;
    base_folder_ = std::filesystem::path{path}.parent_path().string();
    auto root = yaml_map::load(path, problems_);
    if (problems_.empty())
        read(root);
    return *this;
}

settings_builder& settings_builder::read_text(const std::string& text, const std::string& file)
{
    file_ = file;
    base_folder_ = std::filesystem::path{file}.parent_path().string();
    auto root = yaml_map::parse(text, file, problems_);
    if (problems_.empty())
        read(root);
    return *this;
}

settings_builder& settings_builder::name(const std::string& process_name)
{
    name_ = process_name;
    return *this;
}

settings_builder& settings_builder::data_folder(const std::string& folder)
{
    settings_.data_folder = folder;
    return *this;
}

void settings_builder::read(yaml_map& root)
{
    if (name_.empty())
        name_ = root.text("name", std::string{});
    const auto data_folder = root.text("data_folder", std::string{});
    if (settings_.data_folder.empty())
        settings_.data_folder = resolved(data_folder, base_folder_);
    settings_.charts_folder = resolved(root.text("charts_folder", std::string{}), base_folder_);
    settings_.drain_notice = root.span("drain_notice", default_drain_notice);
    settings_.drain_limit = root.span("drain_limit", default_drain_limit);
    settings_.body_limit = root.size("body_limit", default_body_limit);
    for (auto& domain : root.texts("refused_domains"))
        settings_.refused_domains.emplace_back(std::move(domain));
    settings_.readiness = root.endpoint("readiness", ip_endpoint{});
    settings_.metrics = root.endpoint("metrics", ip_endpoint{});
    if (root.has("jobs")) {
        auto jobs = root.map("jobs");
        read_jobs(jobs);
    }
    for (auto& item : root.maps("members"))
        read_member(item);
    if (root.has("self")) {
        auto self = root.map("self");
        read_self(self);
    }
    root.finish();
    check_members();
}

void settings_builder::read_member(yaml_map& item)
{
    member_settings member;
    member.id = process_id{item.text("name")};
    member.role = static_cast<process_role>(item.choice("role", role_names));
    member.domain = failure_domain_id{item.text("failure_domain")};
    member.region = region_id{item.text("region")};
    member.peer = item.endpoint("peer");
    member.http = item.endpoint("http");
    item.finish();
    member_places_.push_back(item.place());
    settings_.members.push_back(std::move(member));
}

/** A process that joins is identified by its peer address. */
void settings_builder::read_self(yaml_map& item)
{
    member_settings self;
    self.role = static_cast<process_role>(item.choice("role", role_names));
    self.domain = failure_domain_id{item.text("failure_domain")};
    self.region = region_id{item.text("region")};
    self.peer = item.endpoint("peer");
    self.http = item.endpoint("http");
    self.id = process_id{to_string(self.peer)};
    join_settings join;
    for (const auto& text : item.texts("seeds")) {
        const auto seed = parse_endpoint(text);
        if (!seed) {
            item.report("seeds", "'" + text + "' is not an address", "write it as 10.0.0.1:7000");
            continue;
        }
        // The peer port is the same on all machines, so the port of a seed is ignored.
        join.seeds.push_back({seed->address, self.peer.port});
    }
    join.form_ledger = item.boolean("form_ledger", false);
    join.tolerated_disks =
        static_cast<std::uint32_t>(item.integer("tolerated_disks", 0, max_tolerated_disks, 1));
    item.finish();
    if (!settings_.members.empty())
        item.report("seeds", "both 'self' and 'members' are given", "keep one of them");
    name_ = self.id.value();
    member_places_.push_back(item.place());
    settings_.members.push_back(std::move(self));
    settings_.join = std::move(join);
}

void settings_builder::read_jobs(yaml_map& item)
{
    settings_.jobs.lease = item.span("lease", default_lease);
    settings_.jobs.lease_limit = item.span("lease_limit", default_lease_limit);
    settings_.jobs.start_delay_limit = item.span("start_delay_limit", default_start_delay_limit);
    settings_.jobs.stop_limit = item.span("stop_limit", default_stop_limit);
    settings_.jobs.announcement_interval =
        item.span("announcement_interval", default_announcement_interval);
    item.finish();
}

void settings_builder::check_members()
{
    std::set<process_id> names;
    std::set<ip_endpoint> addresses;
    std::map<failure_domain_id, region_id> regions;
    for (std::size_t index = 0; index < settings_.members.size(); ++index) {
        const auto& member = settings_.members[index];
        const auto& place = member_places_[index];
        if (!member.id.empty() && !names.insert(member.id).second)
            problems_.add(place, "member '" + member.id.value() + "' is declared twice",
                          "give each member its own name");
        for (const auto& address : {member.peer, member.http}) {
            if (address.port != 0 && !addresses.insert(address).second)
                problems_.add(place,
                              "address " + address.address + ":" + std::to_string(address.port) +
                                  " is taken by another member",
                              "give each member its own addresses");
        }
        const auto recorded = regions.emplace(member.domain, member.region).first;
        if (recorded->second != member.region)
            problems_.add(place, "failure domain '" + member.domain.value() + "' is in two regions",
                          "name one region for it");
    }
}

void settings_builder::select_self(process_role role)
{
    for (const auto& member : settings_.members) {
        if (member.id.value() == name_)
            settings_.self = member;
    }
    if (settings_.self.id.empty()) {
        problems_.add({file_, 0, 0}, "no member is named '" + name_ + "'",
                      "add it to 'members' or start with another --name");
        return;
    }
    if (settings_.self.role != role)
        problems_.add({file_, 0, 0},
                      "member '" + name_ + "' has the role " + to_string(settings_.self.role),
                      std::string{"start the program for that role, not "} + to_string(role));
    if (role == process_role::control && settings_.data_folder.empty())
        problems_.add({file_, 0, 0}, "a control process needs 'data_folder'",
                      "name a folder on a disk that lasts");
}

result<process_settings> settings_builder::build(process_role role)
{
    if (problems_.empty())
        select_self(role);
    if (!problems_.empty())
        return make_error_code(core_error::invalid_settings);
    return settings_;
}

const char* to_string(process_role role)
{
    return role == process_role::entry ? "entry" : "control";
}

} // namespace galenaturn
