#pragma once

#include "figures.h"

#include <galenaturn/schedule.h>

namespace galenaturn::bench {

/** Cost of placing and of a whole task life, by the number of workers. */
void measure_scale(figure_report& report);
/** Shares of the largest owner and of small ones while the other side floods the system. */
void measure_shares(figure_report& report);
/** Time until the tasks of a lost rack run elsewhere. */
void measure_recovery(figure_report& report);
/** Services beside nightly batch work, against baselines in the same run. */
void measure_policy(figure_report& report);

/** Returns charts/task.yaml. */
const state_chart& task_chart();

} // namespace galenaturn::bench
