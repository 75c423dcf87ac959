#pragma once

#include <string>

namespace galenaturn {

/** Returns the text of charts/`name`.yaml as it was at the build; empty for an unknown name. */
std::string builtin_chart(const std::string& name);

} // namespace galenaturn
