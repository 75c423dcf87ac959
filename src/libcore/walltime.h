#pragma once

#include "units.h"

#include <optional>
#include <string>
#include <string_view>

namespace galenaturn {

/** Returns `moment` in RFC 3339, in UTC, with milliseconds: 2026-03-05T04:30:00.000Z. */
std::string format_wall_time(wall_time moment);
/** Parses an RFC 3339 time with "Z" or an offset. Returns nothing for anything else. */
std::optional<wall_time> parse_wall_time(std::string_view text);
/** Parses an RFC 3339 time, or a span such as "2h" that counts from `now`. */
std::optional<wall_time> parse_deadline(std::string_view text, wall_time now);

} // namespace galenaturn
