#pragma once

#include <string>
#include <string_view>

namespace galenaturn::wire {

/** Returns the 128-bit xxHash of `content` as 32 hexadecimal digits. */
std::string content_digest(std::string_view content);

} // namespace galenaturn::wire
