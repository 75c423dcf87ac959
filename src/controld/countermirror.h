#pragma once

#include <galenaturn/core.h>

#include <string>
#include <vector>

namespace galenaturn::controld {

/** Exports counts that scheduling code keeps in plain structs as counters of the registry. */
class counter_mirror {
public:
    explicit counter_mirror(metrics_registry& metrics) : metrics_{metrics} {}

    /** Adds a time series for `source`, which must outlive the mirror. */
    void add(const std::string& name, const metric_labels& labels, const std::uint64_t& source)
    {
        entries_.push_back({&metrics_.make_counter(name, labels), &source, 0});
    }

    /** Adds one time series for each element of `source`, an array indexed by the enum Reason. */
    template <class Reason, class Counts>
    void add_reasons(const std::string& name, const Counts& source)
    {
        for (std::size_t index = 0; index < source.size(); ++index)
            add(name, {{"reason", to_string(static_cast<Reason>(index))}}, source[index]);
    }

    /** Adds the increments since the last call to the counters of the registry. */
    void update()
    {
        for (auto& entry : entries_) {
            entry.target->add(*entry.source - entry.last);
            entry.last = *entry.source;
        }
    }

private:
    struct entry {
        counter* target;
        const std::uint64_t* source;
        std::uint64_t last;
    };

    metrics_registry& metrics_;
    std::vector<entry> entries_;
};

} // namespace galenaturn::controld
