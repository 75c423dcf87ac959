#include "invariant.h"

#include <cstdlib>
#include <sstream>

namespace galenaturn {

void fail_invariant(std::string_view condition, std::string_view file, int line,
                    std::initializer_list<log_field> fields)
{
    std::ostringstream details;
    for (const auto& field : fields)
        details << field.key << '=' << log_quoted(field.value) << ' ';
    log_event(
        log_level::fatal, "invariant_broken",
        {{"condition", condition}, {"file", file}, {"line", line}, {"details", details.str()}});
    std::abort();
}

} // namespace galenaturn
