#pragma once

#include "replica.h"

#include <map>
#include <optional>

namespace galenaturn::ledger {

/** Input for planning the next voter change at the leader. */
struct voter_plan_input {
    voter_set set;
    /** Time since the leader last received a message from each member; 0 for itself. */
    std::map<voter_id, duration> silence;
    /** Learners whose log reaches the commit index. */
    std::vector<voter_id> caught_up;
    /** Processes that recently announced an empty disk, by their new voter ids. */
    std::map<voter_id, process_id> newcomers;
    /** Number of voters needed to tolerate the configured number of lost disks. */
    std::size_t target_voters{3};
};

/** A silent member is replaced after this time; longer than a restart or a short partition. */
constexpr duration max_voter_silence = std::chrono::seconds{8};

/**
 * Returns the next voter change towards the target number of voters, or nothing. A member whose
 * process came back with an empty disk is removed, since it can never vote again. A silent voter is
 * removed only if a newcomer is available to replace it; a silent learner always.
 */
std::optional<voter_change> plan_voter_change(const voter_plan_input& input);

} // namespace galenaturn::ledger
