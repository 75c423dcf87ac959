#include "walltime.h"

#include "yamlreader.h"

#include <boost/date_time/posix_time/posix_time.hpp>

#include <regex>

namespace galenaturn {

namespace {

namespace ptime = boost::posix_time;

const ptime::ptime& unix_epoch()
{
    static const ptime::ptime start{boost::gregorian::date{1970, 1, 1}};
    return start;
}

} // namespace

std::string format_wall_time(wall_time moment)
{
    constexpr std::size_t length_with_milliseconds = 23;
    const auto timestamp = unix_epoch() + ptime::milliseconds{moment.time_since_epoch().count()};
    auto text = ptime::to_iso_extended_string(timestamp);
    if (text.find('.') == std::string::npos)
        text += ".000";
    return text.substr(0, length_with_milliseconds) + "Z";
}

std::optional<wall_time> parse_wall_time(std::string_view text)
{
    static const std::regex pattern{
        R"((\d{4}-\d{2}-\d{2}T(?:[01]\d|2[0-3]):[0-5]\d:[0-5]\d(?:\.\d{1,6})?))"
        R"((?:Z|([+-])((?:[01]\d|2[0-3])):([0-5]\d)))"};
    std::cmatch parts;
    if (!std::regex_match(text.data(), text.data() + text.size(), parts, pattern))
        return {};
    try {
        auto moment = ptime::from_iso_extended_string(parts[1].str());
        if (parts[2].matched) {
            const auto offset =
                ptime::hours{std::stoi(parts[3])} + ptime::minutes{std::stoi(parts[4])};
            moment += parts[2].str() == "+" ? -offset : offset;
        }
        return wall_time{std::chrono::milliseconds{(moment - unix_epoch()).total_milliseconds()}};
    }
    catch (const std::exception&) {
        return {};
    }
}

std::optional<wall_time> parse_deadline(std::string_view text, wall_time now)
{
    if (const auto span = parse_duration(text))
        return now + std::chrono::duration_cast<std::chrono::milliseconds>(*span);
    return parse_wall_time(text);
}

} // namespace galenaturn
