#pragma once

#include "figures.h"

namespace galenaturn::bench {

/** Cost and allocations of one decision at 65 and at 2,900 upstreams. */
void measure_decision_cost(figure_report& report, bool quick);
/** Tail latency of our routing against other policies. */
void measure_tail(figure_report& report);
/** Fairness between one large owner and many small ones. */
void measure_fairness(figure_report& report);
/** One upstream that fails every request at once, and a domain that fails for ten seconds. */
void measure_failures(figure_report& report);

} // namespace galenaturn::bench
