#include "table.h"

#include <algorithm>
#include <utility>

namespace galenaturn::command_line {

table::table(std::vector<std::string> titles)
{
    rows_.push_back(std::move(titles));
}

void table::add(std::vector<std::string> row)
{
    row.resize(rows_.front().size());
    rows_.push_back(std::move(row));
}

void table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace galenaturn::command_line
