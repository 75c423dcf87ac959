#pragma once

#include "findings.h"
#include "units.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaturn {

/** An IP address and a port. */
struct ip_endpoint {
    std::string address;
    std::uint16_t port{0};

    auto operator<=>(const ip_endpoint&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, port);
    }
};

std::ostream& operator<<(std::ostream& out, const ip_endpoint& endpoint);
/** Returns the text that parse_endpoint reads. */
std::string to_string(const ip_endpoint& endpoint);

/** Parses "127.0.0.1:8080" or "[::1]:8080". Returns nothing for host names and bad ports. */
std::optional<ip_endpoint> parse_endpoint(std::string_view text);
/** Parses a count with a unit: us, ms, s, min, h. */
std::optional<duration> parse_duration(std::string_view text);
/** Parses a count with a unit: B, KiB, MiB, GiB, TiB. */
std::optional<bytes> parse_bytes(std::string_view text);
/** Parses processors with up to three decimals: "0.5", "8". */
std::optional<millicores> parse_processors(std::string_view text);

/**
 * One mapping of a YAML document, read key by key. Each problem is added as a finding with its
 * position and the getter returns a default, so that one pass finds all problems.
 */
class yaml_map {
public:
    /** Parses `text`; `file` names it in findings. A syntax error yields an empty map. */
    static yaml_map parse(const std::string& text, const std::string& file, findings& found);
    /** Reads and parses a file. */
    static yaml_map load(const std::string& path, findings& found);

    yaml_map(yaml_map&&) noexcept;
    yaml_map& operator=(yaml_map&&) noexcept;
    yaml_map(const yaml_map&) = delete;
    yaml_map& operator=(const yaml_map&) = delete;
    ~yaml_map();

    [[nodiscard]] bool has(const std::string& key) const;
    [[nodiscard]] source_place place() const;
    /** Returns the position of the value of `key`, or of the map where the key is missing. */
    [[nodiscard]] source_place place_of(const std::string& key) const;
    /** Returns the keys in their order and marks them all as known. */
    [[nodiscard]] std::vector<std::string> keys();

    // Each getter marks `key` as known. Without a fallback a missing key is a finding.
    std::string text(const std::string& key, std::optional<std::string> fallback = {});
    std::int64_t integer(const std::string& key, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> fallback = {});
    double number(const std::string& key, double min, double max,
                  std::optional<double> fallback = {});
    bool boolean(const std::string& key, std::optional<bool> fallback = {});
    duration span(const std::string& key, std::optional<duration> fallback = {});
    bytes size(const std::string& key, std::optional<bytes> fallback = {});
    millicores processors(const std::string& key, std::optional<millicores> fallback = {});
    ip_endpoint endpoint(const std::string& key, std::optional<ip_endpoint> fallback = {});
    /** Returns the index of the value in `allowed`, or 0 after a finding. */
    std::size_t choice(const std::string& key, const std::vector<std::string>& allowed,
                       std::optional<std::size_t> fallback = {});
    std::vector<std::string> texts(const std::string& key);
    /** Returns the mapping below `key`; an empty map after a finding. */
    yaml_map map(const std::string& key);
    /** Returns the mappings of the list below `key`; none where the key is missing. */
    std::vector<yaml_map> maps(const std::string& key);

    /** Adds a finding for each key that no getter has read. */
    void finish();
    /** Adds a finding at the position of `key`. */
    void report(const std::string& key, const std::string& problem, const std::string& fix);

private:
    struct node;
    explicit yaml_map(std::unique_ptr<node> root);
    template <class Parse>
    auto parsed(const std::string& key, Parse parse, const std::string& expected);
    /** Marks `key` as known. Returns whether it is present; a missing required key is a finding. */
    bool check_presence(const std::string& key, bool required);

    std::unique_ptr<node> node_;
};

} // namespace galenaturn
