#pragma once

#include <string>
#include <vector>

namespace galenaturn {

/** Position of a finding in a file. Lines and columns start at 1; 0 means the whole file. */
struct source_place {
    std::string file;
    int line{0};
    int column{0};
};

/** A problem in an input and how to fix it. */
struct finding {
    source_place place;
    std::string problem;
    std::string fix;
};

/** Collects all problems of one input, so that they are reported together. */
class findings {
public:
    void add(source_place place, std::string problem, std::string fix);

    [[nodiscard]] bool empty() const { return items_.empty(); }
    [[nodiscard]] const std::vector<finding>& items() const { return items_; }
    /** Returns one line per finding: file:line:column: problem; fix. */
    [[nodiscard]] std::string text() const;

private:
    std::vector<finding> items_;
};

} // namespace galenaturn
