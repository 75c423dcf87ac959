#include "findings.h"

#include <sstream>
#include <utility>

namespace galenaturn {

void findings::add(source_place place, std::string problem, std::string fix)
{
    items_.push_back({std::move(place), std::move(problem), std::move(fix)});
}

std::string findings::text() const
{
    std::ostringstream out;
    for (const auto& item : items_) {
        out << item.place.file << ':' << item.place.line << ':' << item.place.column << ": "
            << item.problem << "; " << item.fix << '\n';
    }
    return out.str();
}

} // namespace galenaturn
