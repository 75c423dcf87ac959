#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "units.h"

namespace galenaturn {

/** A counter that only increases. */
class counter {
public:
    void add(std::uint64_t amount = 1) { value_ += amount; }
    [[nodiscard]] std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_{0};
};

/** A value that may increase and decrease. */
class gauge {
public:
    void set(double value) { value_ = value; }
    [[nodiscard]] double value() const { return value_; }

private:
    double value_{0};
};

/** Count, mean and the quantiles 0.5, 0.95, 0.99 and 0.999 of a latency. */
class latency_summary {
public:
    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;

    void record(duration sample);
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double mean_seconds() const;
    /** Returns the estimate in seconds; `probability` is one of the four above. */
    [[nodiscard]] double quantile_seconds(double probability) const;

private:
    struct accumulator;
    std::unique_ptr<accumulator> accumulator_;
};

/** Labels of one series, for example {{"reason", "queue_full"}}. */
using metric_labels = std::map<std::string, std::string>;

/** All metrics of a process. A series starts at 0 when it is first requested. */
class metrics_registry {
public:
    counter& make_counter(const std::string& name, const metric_labels& labels = {});
    gauge& make_gauge(const std::string& name, const metric_labels& labels = {});
    latency_summary& make_latency(const std::string& name, const metric_labels& labels = {});

    /** Returns every series in the Prometheus text exposition format, version 0.0.4. */
    [[nodiscard]] std::string text() const;

private:
    template <class T>
    using series = std::map<std::string, std::map<std::string, std::unique_ptr<T>>>;

    series<counter> counters_;
    series<gauge> gauges_;
    series<latency_summary> latencies_;
};

} // namespace galenaturn
