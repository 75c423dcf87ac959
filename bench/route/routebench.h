#pragma once

#include "benchmarkreport.h"

namespace galenaturn::bench {

/** Measures time and allocations of one decision with 65 and with 2,900 upstreams. */
void measure_decision_cost(benchmark_report& report, bool quick);
/** Measures the tail latency of exact slots in comparison to other routing policies. */
void measure_tail(benchmark_report& report);
/** Measures the fairness between one large owner and many small ones. */
void measure_fairness(benchmark_report& report);
/**
 * Measures requests lost to one upstream that fails every request at once, and retries while all
 * upstreams fail for ten seconds.
 */
void measure_failures(benchmark_report& report);

} // namespace galenaturn::bench
