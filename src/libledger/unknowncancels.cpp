#include "unknowncancels.h"

#include "statemachine.h"

namespace galenaturn::ledger {

bool may_cancel_unknown_job(unknown_cancels& cancels, const ledger_state& state,
                            const std::string& queue)
{
    if (!can_cancel_unknown_job(state))
        return false;
    const auto own = cancels.recorded.find(queue);
    if (own == cancels.recorded.end())
        return true;
    const state_limits limits;
    auto& times = own->second;
    while (!times.empty() && times.front() + limits.cancelled_submission_retention < state.clock)
        times.pop_front();
    if (times.empty()) {
        cancels.recorded.erase(own);
        return true;
    }
    const auto left = limits.max_cancelled_submissions - state.cancelled_submissions.size();
    return times.size() < left;
}

void note_unknown_cancel(unknown_cancels& cancels, const std::string& queue, wall_time at)
{
    cancels.recorded[queue].push_back(at);
}

} // namespace galenaturn::ledger
