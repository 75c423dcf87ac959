#pragma once

#include "ledgerstate.h"

#include <deque>
#include <map>
#include <string>

namespace galenaturn::ledger {

/** When a leader recorded the cancelling of jobs that it did not know, by queue. */
struct unknown_cancels {
    std::map<std::string, std::deque<wall_time>> recorded;
};

/**
 * Returns whether one more such cancelling of the queue may be recorded. The records of a queue are
 * at most as many as are left for all queues, so that no queue uses up the limit. Those that an
 * earlier leader has recorded count for no queue.
 */
bool may_cancel_unknown_job(unknown_cancels& cancels, const ledger_state& state,
                            const std::string& queue);
/** Notes a cancelling that the ledger has recorded `at` that time of its clock. */
void note_unknown_cancel(unknown_cancels& cancels, const std::string& queue, wall_time at);

} // namespace galenaturn::ledger
