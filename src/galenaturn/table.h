#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace galenaturn::command_line {

/** A text table; each column is as wide as its widest cell. */
class table {
public:
    explicit table(std::vector<std::string> titles);

    void add(std::vector<std::string> row);
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace galenaturn::command_line
