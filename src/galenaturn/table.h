#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace galenaturn::command_line {

/** Rows of text, printed in columns that are as wide as their widest cell. */
class table {
public:
    explicit table(std::vector<std::string> titles);

    void add(std::vector<std::string> row);
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace galenaturn::command_line
