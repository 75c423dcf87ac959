#pragma once

#include <cstdio>
#include <string>

namespace galenaturn::bench {

/** The limit that a measurement must keep; `none` if it is only informative. */
struct bound {
    enum class side { at_most, at_least, none };
    side kind{side::none};
    double limit{0};
};

inline bound at_most(double limit)
{
    return {bound::side::at_most, limit};
}

inline bound at_least(double limit)
{
    return {bound::side::at_least, limit};
}

/** Collects the measurements of one benchmark program and whether any bound was broken. */
class benchmark_report {
public:
    /**
     * Prints the line that util/bench reads. `baseline` is the value that the measurement is
     * compared with.
     */
    void add(const std::string& name, double value, const std::string& unit, bound limit = {},
             const std::string& baseline = "-")
    {
        const bool broken = (limit.kind == bound::side::at_most && !(value <= limit.limit)) ||
                            (limit.kind == bound::side::at_least && !(value >= limit.limit));
        broken_ = broken_ || broken;
        std::printf("figure name=%s value=%.6g unit=%s bound=%s baseline=%s\n", name.c_str(), value,
                    unit.c_str(), bound_text(limit).c_str(), baseline.c_str());
        std::fflush(stdout);
    }

    /** Returns the exit code: 1 if any bound was broken. */
    [[nodiscard]] int exit_code() const { return broken_ ? 1 : 0; }

private:
    static std::string bound_text(bound limit)
    {
        if (limit.kind == bound::side::none)
            return "-";
        char text[64];
        std::snprintf(text, sizeof text, "%s%.6g",
                      limit.kind == bound::side::at_most ? "<=" : ">=", limit.limit);
        return text;
    }

    bool broken_{false};
};

} // namespace galenaturn::bench
