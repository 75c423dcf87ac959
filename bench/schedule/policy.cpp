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
    case policy::ours:
        return "ours";
    }
    return "invalid";
}

void measure_night(figure_report& report, const nightly_options& options)
{
    std::map<policy, nightly_result> results;
    for (const auto chosen : {policy::services_alone, policy::first_fit, policy::best_fit,
                              policy::without_learning, policy::without_hysteresis, policy::ours}) {
        const auto result = nightly_run{options, chosen}.run();
        results[chosen] = result;
        const auto name = options.name + "_" + name_of(chosen);
        report.add(name + "_service_p99", result.service_p99, "objective");
        report.add(name + "_deadline_misses", static_cast<double>(result.deadline_misses), "tasks");
        report.add(name + "_evictions", static_cast<double>(result.evictions), "evictions");
        report.add(name + "_utilisation", result.utilisation, "share");
    }
    const auto& ours = results[policy::ours];
    const auto alone = results[policy::services_alone].service_p99;
    report.add(options.name + "_p99_in_relation_to_alone", ours.service_p99 / alone, "ratio",
               at_most(1.2), std::to_string(results[policy::first_fit].service_p99 / alone));
    const auto least = std::min({results[policy::first_fit].deadline_misses,
                                 results[policy::best_fit].deadline_misses,
                                 results[policy::without_learning].deadline_misses});
    report.add(options.name + "_misses_above_best_baseline",
               static_cast<double>(ours.deadline_misses) - static_cast<double>(least), "tasks",
               at_most(0), std::to_string(least));
    const auto unsteady = static_cast<double>(results[policy::without_hysteresis].evictions);
    report.add(options.name + "_evictions_in_relation_to_no_hysteresis",
               static_cast<double>(ours.evictions) / std::max(unsteady, 1.0), "ratio", at_most(0.1),
               std::to_string(unsteady));
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

void measure_policy(figure_report& report)
{
    measure_night(report, {"te_awa", 50, 8, 32'000, 900});
    measure_night(report, {"bluebonnet", 65, 11, 64'000, 1300});
}

} // namespace galenaturn::bench
