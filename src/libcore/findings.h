#pragma once

#include <string>
#include <vector>

namespace galenaturn {

/** Where a finding was made. Lines and columns count from 1; 0 means the whole file. */
struct source_place {
    std::string file;
    int line{0};
    int column{0};
};

/** One problem in an input and what to do about it. */
struct finding {
    source_place place;
    std::string problem;
    std::string fix;
};

/** Collects every problem of one input, so that all are reported together. */
class findings {
public:
    void add(source_place place, std::string problem, std::string fix);

    [[nodiscard]] bool empty() const { return items_.empty(); }
    [[nodiscard]] const std::vector<finding>& items() const { return items_; }
    /** Returns one line a finding: file:line:column: problem; fix. */
    [[nodiscard]] std::string text() const;

private:
    std::vector<finding> items_;
};

} // namespace galenaturn
