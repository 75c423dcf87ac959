#include "router.h"

#include <sstream>
#include <utility>

namespace galenaturn::http {

namespace {

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> segments;
    std::istringstream in{path};
    std::string segment;
    while (std::getline(in, segment, '/')) {
        if (!segment.empty())
            segments.push_back(segment);
    }
    return segments;
}

bool is_parameter(const std::string& segment)
{
    return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

std::string parameter_name(const std::string& segment)
{
    return segment.substr(1, segment.size() - 2);
}

/** Returns whether the path matches the pattern. Fills `parameters`. */
bool match_segments(const std::vector<std::string>& pattern, const std::vector<std::string>& path,
                    std::map<std::string, std::string>& parameters)
{
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        const auto& expected = pattern[index];
        if (is_parameter(expected) && expected.ends_with("...}")) {
            std::string rest;
            for (auto part = index; part < path.size(); ++part)
                rest += "/" + path[part];
            parameters[expected.substr(1, expected.size() - 5)] = rest;
            return true;
        }
        if (index >= path.size())
            return false;
        if (is_parameter(expected))
            parameters[parameter_name(expected)] = path[index];
        else if (expected != path[index])
            return false;
    }
    return pattern.size() == path.size();
}

} // namespace

void router::add(verb method, const std::string& pattern, handler target)
{
    routes_.push_back({method, split_path(pattern), std::move(target)});
}

router::match router::find(verb method, const std::string& path,
                           std::map<std::string, std::string>& parameters, handler& target) const
{
    const auto segments = split_path(path);
    bool path_known = false;
    for (const auto& candidate : routes_) {
        std::map<std::string, std::string> matched;
        if (!match_segments(candidate.segments, segments, matched))
            continue;
        path_known = true;
        if (candidate.method != verb::unknown && candidate.method != method)
            continue;
        parameters = std::move(matched);
        target = candidate.target;
        return match::found;
    }
    return path_known ? match::wrong_method : match::unknown_path;
}

} // namespace galenaturn::http
