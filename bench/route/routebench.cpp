#include "routebench.h"

#include <galenaturn/core.h>

#include <string_view>

/** Runs the benchmarks of the request path; with --quick, without those that measure real time. */
int main(int argc, char** argv)
{
    using namespace galenaturn;
    init_log(log_level::fatal);
    const bool quick = argc > 1 && std::string_view{argv[1]} == "--quick";
    bench::benchmark_report report;
    bench::measure_decision_cost(report, quick);
    bench::measure_tail(report);
    bench::measure_fairness(report);
    bench::measure_failures(report);
    return report.exit_code();
}
