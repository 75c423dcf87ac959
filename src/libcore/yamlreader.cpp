#include "yamlreader.h"

#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace galenaturn {

namespace {

struct unit {
    std::string_view name;
    std::int64_t factor;
};

constexpr std::array<unit, 5> duration_units{
    {{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"min", 60'000'000}, {"h", 3'600'000'000}}};
constexpr std::array<unit, 5> byte_units{{{"B", 1},
                                          {"KiB", std::int64_t{1} << 10},
                                          {"MiB", std::int64_t{1} << 20},
                                          {"GiB", std::int64_t{1} << 30},
                                          {"TiB", std::int64_t{1} << 40}}};
/** Maximum of every count before its unit is applied, so that the product cannot overflow. */
constexpr double max_amount = 9.0e18;

template <class Units>
std::optional<std::int64_t> parse_with_unit(std::string_view text, const Units& units)
{
    const auto split = std::find_if(text.begin(), text.end(), [](unsigned char character) {
        return std::isalpha(character) != 0;
    });
    const auto digits = static_cast<std::size_t>(split - text.begin());
    double count{};
    if (!boost::conversion::try_lexical_convert(text.substr(0, digits), count))
        return {};
    for (const auto& candidate : units) {
        if (candidate.name != text.substr(digits))
            continue;
        const double amount = count * static_cast<double>(candidate.factor);
        if (!(amount >= 0 && amount < max_amount))
            return {};
        return static_cast<std::int64_t>(std::llround(amount));
    }
    return {};
}

source_place place_from(const std::string& file, const YAML::Mark& mark)
{
    return {file, mark.line + 1, mark.column + 1};
}

} // namespace

std::ostream& operator<<(std::ostream& out, const ip_endpoint& endpoint)
{
    return out << endpoint.address << ':' << endpoint.port;
}

std::string to_string(const ip_endpoint& endpoint)
{
    const bool bracketed = endpoint.address.find(':') != std::string::npos;
    const auto host = bracketed ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

std::optional<ip_endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    int port{};
    if (error || !boost::conversion::try_lexical_convert(text.substr(colon + 1), port))
        return {};
    constexpr int max_port = 65535;
    if (port < 0 || port > max_port)
        return {};
    return ip_endpoint{address.to_string(), static_cast<std::uint16_t>(port)};
}

std::optional<duration> parse_duration(std::string_view text)
{
    const auto amount = parse_with_unit(text, duration_units);
    return amount ? std::optional{duration{*amount}} : std::nullopt;
}

std::optional<bytes> parse_bytes(std::string_view text)
{
    const auto amount = parse_with_unit(text, byte_units);
    return amount ? std::optional{bytes{*amount}} : std::nullopt;
}

std::optional<millicores> parse_processors(std::string_view text)
{
    constexpr double millicores_per_processor = 1000;
    constexpr double max_processors = 1e6;
    double count{};
    if (!boost::conversion::try_lexical_convert(text, count) || !(count >= 0) ||
        count > max_processors)
        return {};
    return millicores{std::llround(count * millicores_per_processor)};
}

struct yaml_map::node {
    YAML::Node value;
    std::string file;
    findings* found;
    std::set<std::string> known_keys;

    [[nodiscard]] YAML::Node child(const std::string& key) const
    {
        if (!value.IsMap())
            return YAML::Node{YAML::NodeType::Undefined};
        for (const auto& entry : value) {
            if (entry.first.IsScalar() && entry.first.Scalar() == key)
                return entry.second;
        }
        return YAML::Node{YAML::NodeType::Undefined};
    }
};

yaml_map::yaml_map(std::unique_ptr<node> root) : node_{std::move(root)} {}
yaml_map::yaml_map(yaml_map&&) noexcept = default;
yaml_map& yaml_map::operator=(yaml_map&&) noexcept = default;
yaml_map::~yaml_map() = default;

yaml_map yaml_map::parse(const std::string& text, const std::string& file, findings& found)
{
    YAML::Node root{YAML::NodeType::Map};
    try {
        auto parsed_root = YAML::Load(text);
        if (parsed_root.IsMap())
            root = parsed_root;
        else
            found.add({file, 1, 1}, "the document is not a mapping", "write key: value lines");
    }
    catch (const YAML::Exception& error) {
        found.add(place_from(file, error.mark), "not valid YAML: " + error.msg,
                  "correct the syntax");
    }
    return yaml_map{std::make_unique<node>(node{root, file, &found, {}})};
}

yaml_map yaml_map::load(const std::string& path, findings& found)
{
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    if (in.good())
        return parse(text.str(), path, found);
    found.add({path, 0, 0}, "file cannot be read", "check the path and its permissions");
    findings ignored;
    auto empty = parse("{}", path, ignored);
    empty.node_->found = &found;
    return empty;
}

bool yaml_map::has(const std::string& key) const
{
    return node_->child(key).IsDefined();
}

source_place yaml_map::place() const
{
    return place_from(node_->file, node_->value.Mark());
}

source_place yaml_map::place_of(const std::string& key) const
{
    const auto child = node_->child(key);
    return child.IsDefined() ? place_from(node_->file, child.Mark()) : place();
}

std::vector<std::string> yaml_map::keys()
{
    std::vector<std::string> names;
    if (!node_->value.IsMap())
        return names;
    for (const auto& entry : node_->value)
        names.push_back(entry.first.Scalar());
    node_->known_keys.insert(names.begin(), names.end());
    return names;
}

void yaml_map::report(const std::string& key, const std::string& problem, const std::string& fix)
{
    node_->found->add(place_of(key), problem, fix);
}

bool yaml_map::check_presence(const std::string& key, bool required)
{
    node_->known_keys.insert(key);
    if (has(key))
        return true;
    if (required)
        report(key, "'" + key + "' is missing", "add the key '" + key + "'");
    return false;
}

template <class Parse>
auto yaml_map::parsed(const std::string& key, Parse parse, const std::string& expected)
{
    using value_type = typename decltype(parse(std::string{}))::value_type;
    const auto child = node_->child(key);
    if (child.IsScalar()) {
        if (auto value = parse(child.Scalar()))
            return *value;
        report(key, "'" + key + "' is '" + child.Scalar() + "'", "write " + expected);
        return value_type{};
    }
    report(key, "'" + key + "' is not a single value", "write " + expected);
    return value_type{};
}

std::string yaml_map::text(const std::string& key, std::optional<std::string> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(std::string{});
    const auto parse = [](const std::string& value) {
        return value.empty() ? std::nullopt : std::optional{value};
    };
    return parsed(key, parse, "a text that is not empty");
}

std::int64_t yaml_map::integer(const std::string& key, std::int64_t min, std::int64_t max,
                               std::optional<std::int64_t> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(min);
    const auto parse = [=](const std::string& value) -> std::optional<std::int64_t> {
        std::int64_t amount{};
        if (!boost::conversion::try_lexical_convert(value, amount))
            return {};
        return amount < min || amount > max ? std::nullopt : std::optional{amount};
    };
    return parsed(key, parse,
                  "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
}

double yaml_map::number(const std::string& key, double min, double max,
                        std::optional<double> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(min);
    const auto parse = [=](const std::string& value) -> std::optional<double> {
        double amount{};
        if (!boost::conversion::try_lexical_convert(value, amount))
            return {};
        return amount >= min && amount <= max ? std::optional{amount} : std::nullopt;
    };
    std::ostringstream expected;
    expected << "a number from " << min << " to " << max;
    return parsed(key, parse, expected.str());
}

bool yaml_map::boolean(const std::string& key, std::optional<bool> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(false);
    const auto parse = [](const std::string& value) -> std::optional<bool> {
        if (value == "true" || value == "false")
            return value == "true";
        return {};
    };
    return parsed(key, parse, "true or false");
}

duration yaml_map::span(const std::string& key, std::optional<duration> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(duration{});
    return parsed(key, parse_duration, "a count with a unit of time, such as 250ms, 4s or 10min");
}

bytes yaml_map::size(const std::string& key, std::optional<bytes> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(bytes{});
    return parsed(key, parse_bytes, "a count with a unit of memory, such as 64MiB or 2GiB");
}

millicores yaml_map::processors(const std::string& key, std::optional<millicores> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(millicores{});
    return parsed(key, parse_processors, "a count of processors, such as 0.5 or 8");
}

ip_endpoint yaml_map::endpoint(const std::string& key, std::optional<ip_endpoint> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(ip_endpoint{});
    return parsed(key, parse_endpoint, "an IP number and a port, such as 10.0.0.1:7400");
}

std::size_t yaml_map::choice(const std::string& key, const std::vector<std::string>& allowed,
                             std::optional<std::size_t> fallback)
{
    if (!check_presence(key, !fallback))
        return fallback.value_or(0);
    std::string expected{"one of"};
    for (const auto& name : allowed)
        expected += " " + name;
    const auto parse = [&allowed](const std::string& value) -> std::optional<std::size_t> {
        const auto position = std::find(allowed.begin(), allowed.end(), value);
        if (position == allowed.end())
            return {};
        return static_cast<std::size_t>(position - allowed.begin());
    };
    return parsed(key, parse, expected);
}

std::vector<std::string> yaml_map::texts(const std::string& key)
{
    std::vector<std::string> values;
    if (!check_presence(key, false))
        return values;
    const auto child = node_->child(key);
    if (!child.IsSequence()) {
        report(key, "'" + key + "' is not a list", "write a list of texts");
        return values;
    }
    for (const auto& item : child) {
        if (item.IsScalar())
            values.push_back(item.Scalar());
        else
            node_->found->add(place_from(node_->file, item.Mark()), "not a text", "write a text");
    }
    return values;
}

yaml_map yaml_map::map(const std::string& key)
{
    const bool present = check_presence(key, true);
    auto child = present ? node_->child(key) : YAML::Node{YAML::NodeType::Map};
    if (!child.IsMap()) {
        report(key, "'" + key + "' is not a mapping", "write key: value lines below it");
        child = YAML::Node{YAML::NodeType::Map};
    }
    return yaml_map{std::make_unique<node>(node{child, node_->file, node_->found, {}})};
}

std::vector<yaml_map> yaml_map::maps(const std::string& key)
{
    std::vector<yaml_map> items;
    if (!check_presence(key, false))
        return items;
    const auto child = node_->child(key);
    if (!child.IsSequence()) {
        report(key, "'" + key + "' is not a list", "write a list of mappings");
        return items;
    }
    for (const auto& item : child) {
        if (!item.IsMap()) {
            node_->found->add(place_from(node_->file, item.Mark()), "not a mapping",
                              "write key: value lines");
            continue;
        }
        items.push_back(
            yaml_map{std::make_unique<node>(node{item, node_->file, node_->found, {}})});
    }
    return items;
}

void yaml_map::finish()
{
    if (!node_->value.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto& entry : node_->value) {
        const auto place = place_from(node_->file, entry.first.Mark());
        const auto name = entry.first.IsScalar() ? entry.first.Scalar() : std::string{"?"};
        if (!seen.insert(name).second)
            node_->found->add(place, "'" + name + "' is declared twice", "remove one of them");
        if (!node_->known_keys.contains(name))
            node_->found->add(place, "unknown key '" + name + "'", "remove or rename it");
    }
}

} // namespace galenaturn
