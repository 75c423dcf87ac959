#pragma once

#include "benchmarkreport.h"

#include <galenaturn/schedule.h>

namespace galenaturn::bench {

/**
 * Measures the cost of placing a task, and of a task from assignment to reported end, at different
 * numbers of workers.
 */
void measure_scale(benchmark_report& report);
/**
 * Measures the shares that the large owner and the small ones get while the other side floods the
 * system.
 */
void measure_shares(benchmark_report& report);
/** Measures the time until the tasks of a lost rack run on other racks. */
void measure_recovery(benchmark_report& report);
/** Measures services beside nightly batch work, compared with baseline policies in the same run. */
void measure_policy(benchmark_report& report);
/**
 * Measures the passes of the job scheduler of a leader with more work waiting than the workers have
 * room for, compared with a search of all workers. `quick`: only the work done.
 */
void measure_passes(benchmark_report& report, bool quick);

/** Returns the state chart of charts/task.yaml. */
const state_chart& task_chart();

} // namespace galenaturn::bench
