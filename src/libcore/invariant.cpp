#include "invariant.h"

#include <cstdlib>
#include <sstream>

namespace galenaturn {

namespace {

invariant_handler current_handler = nullptr;

} // namespace

void set_invariant_handler(invariant_handler handler)
{
    current_handler = handler;
}

void fail_invariant(std::string_view condition, std::string_view file, int line,
                    std::initializer_list<log_field> fields)
{
    std::ostringstream details;
    for (const auto& field : fields)
        details << field.key << '=' << log_quoted(field.value) << ' ';
    if (current_handler != nullptr)
        current_handler(std::string{condition} + " " + details.str());
    log_event(
        log_level::fatal, "invariant_broken",
        {{"condition", condition}, {"file", file}, {"line", line}, {"details", details.str()}});
    std::abort();
}

} // namespace galenaturn
