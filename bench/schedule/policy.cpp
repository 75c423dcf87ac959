#include "measurements.h"

#include "nightly.h"

#include <algorithm>
#include <map>

namespace galenaturn::bench {

namespace {

const char* name_of(policy chosen)
{
    switch (chosen) {
    case policy::services_alone:
        return "services_alone";
    case policy::first_fit:
        return "first_fit";
    case policy::best_fit:
        return "best_fit";
    case policy::without_learning:
        return "without_learning";
    case policy::without_hysteresis:
        return "without_hysteresis";
    case policy::full_scheduler:
        return "ours";
    }
    return "invalid";
}

void measure_night(benchmark_report& report, const nightly_options& options)
{
    std::map<policy, nightly_result> results;
    for (const auto chosen :
         {policy::services_alone, policy::first_fit, policy::best_fit, policy::without_learning,
          policy::without_hysteresis, policy::full_scheduler}) {
        const auto result = nightly_run{options, chosen}.run();
        results[chosen] = result;
        const auto name = options.name + "_" + name_of(chosen);
        report.add(name + "_service_p99", result.service_p99, "objective");
        report.add(name + "_deadline_misses", static_cast<double>(result.deadline_misses), "tasks");
        report.add(name + "_evictions", static_cast<double>(result.evictions), "evictions");
        report.add(name + "_utilisation", result.utilisation, "share");
    }
    const auto& full_scheduler = results[policy::full_scheduler];
    const auto baseline_p99 = results[policy::services_alone].service_p99;
    report.add(options.name + "_p99_in_relation_to_alone",
               full_scheduler.service_p99 / baseline_p99, "ratio", at_most(1.2),
               std::to_string(results[policy::first_fit].service_p99 / baseline_p99));
    const auto fewest_misses = std::min({results[policy::first_fit].deadline_misses,
                                         results[policy::best_fit].deadline_misses,
                                         results[policy::without_learning].deadline_misses});
    report.add(options.name + "_misses_above_best_baseline",
               static_cast<double>(full_scheduler.deadline_misses) -
                   static_cast<double>(fewest_misses),
               "tasks", at_most(0), std::to_string(fewest_misses));
    const auto evictions_without_hysteresis =
        static_cast<double>(results[policy::without_hysteresis].evictions);
    report.add(options.name + "_evictions_in_relation_to_no_hysteresis",
               static_cast<double>(full_scheduler.evictions) /
                   std::max(evictions_without_hysteresis, 1.0),
               "ratio", at_most(0.1), std::to_string(evictions_without_hysteresis));
}

} // namespace

const state_chart& task_chart()
{
    static const state_chart chart = [] {
        findings found;
        auto loaded = schedule::load_task_chart(GALENATURN_SOURCE_DIR "/charts", found);
        GN_INVARIANT(found.empty(), {"findings", found.text()});
        return loaded;
    }();
    return chart;
}

void measure_policy(benchmark_report& report)
{
    measure_night(report, {"te_awa", 50, 8, 32'000, 900});
    measure_night(report, {"bluebonnet", 65, 11, 64'000, 1300});
}

} // namespace galenaturn::bench
