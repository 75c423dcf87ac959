#include "metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <sstream>

namespace galenaturn {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 4> quantiles{0.5, 0.95, 0.99, 0.999};
constexpr double microseconds_per_second = 1e6;

std::string label_text(const metric_labels& labels)
{
    std::string text;
    for (const auto& [key, value] : labels) {
        if (!text.empty())
            text += ',';
        text += key + "=\"";
        for (const char character : value) {
            if (character == '"' || character == '\\')
                text += '\\';
            text += character == '\n' ? ' ' : character;
        }
        text += '"';
    }
    return text;
}

std::string braces(const std::string& labels)
{
    return labels.empty() ? std::string{} : "{" + labels + "}";
}

template <class Series>
auto& find_or_make(Series& all, const std::string& name, const metric_labels& labels)
{
    auto& slot = all[name][label_text(labels)];
    if (!slot)
        slot = std::make_unique<typename std::remove_reference_t<decltype(slot)>::element_type>();
    return *slot;
}

template <class Series>
void write_values(std::ostream& out, const Series& all, const char* type)
{
    for (const auto& [name, by_labels] : all) {
        out << "# TYPE " << name << ' ' << type << '\n';
        for (const auto& [labels, metric] : by_labels)
            out << name << braces(labels) << ' ' << metric->value() << '\n';
    }
}

void write_summary(std::ostream& out, const std::string& name, const std::string& labels,
                   const latency_summary& summary)
{
    for (const double probability : quantiles) {
        std::ostringstream label;
        label << labels << (labels.empty() ? "" : ",") << "quantile=\"" << probability << '"';
        out << name << braces(label.str()) << ' ' << summary.quantile_seconds(probability) << '\n';
    }
    const auto count = static_cast<double>(summary.count());
    out << name << "_sum" << braces(labels) << ' ' << summary.mean_seconds() * count << '\n';
    out << name << "_count" << braces(labels) << ' ' << summary.count() << '\n';
}

} // namespace

struct latency_summary::accumulator {
    accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean,
                                    accumulators::tag::extended_p_square>>
        set{accumulators::tag::extended_p_square::probabilities = quantiles};
};

latency_summary::latency_summary() : accumulator_{std::make_unique<accumulator>()} {}
latency_summary::~latency_summary() = default;

void latency_summary::record(duration sample)
{
    accumulator_->set(static_cast<double>(sample.count()) / microseconds_per_second);
}

std::uint64_t latency_summary::count() const
{
    return accumulators::count(accumulator_->set);
}

double latency_summary::mean_seconds() const
{
    return count() == 0 ? 0.0 : accumulators::mean(accumulator_->set);
}

double latency_summary::quantile_seconds(double probability) const
{
    if (count() == 0)
        return 0.0;
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        if (quantiles.at(index) == probability)
            return accumulators::extended_p_square(
                accumulator_->set)[static_cast<std::ptrdiff_t>(index)];
    }
    return 0.0;
}

counter& metrics_registry::make_counter(const std::string& name, const metric_labels& labels)
{
    return find_or_make(counters_, name, labels);
}

gauge& metrics_registry::make_gauge(const std::string& name, const metric_labels& labels)
{
    return find_or_make(gauges_, name, labels);
}

latency_summary& metrics_registry::make_latency(const std::string& name,
                                                const metric_labels& labels)
{
    return find_or_make(latencies_, name, labels);
}

std::string metrics_registry::text() const
{
    std::ostringstream out;
    write_values(out, counters_, "counter");
    write_values(out, gauges_, "gauge");
    for (const auto& [name, by_labels] : latencies_) {
        out << "# TYPE " << name << " summary\n";
        for (const auto& [labels, summary] : by_labels)
            write_summary(out, name, labels, *summary);
    }
    return out.str();
}

} // namespace galenaturn
