#pragma once

#include <string>

namespace galenaturn {

/** Returns the text of charts/`name`.yaml as of the build, or an empty string for an unknown name.
 */
std::string builtin_chart(const std::string& name);

} // namespace galenaturn
