#pragma once

#include "replica.h"

#include <map>
#include <optional>

namespace galenaturn::ledger {

/** What a leader knows when it looks after the voters. */
struct voter_plan_input {
    voter_set set;
    /** How long each member was not heard by the leader; the leader itself is at 0. */
    std::map<voter_id, duration> silence;
    /** Learners whose log reaches the last commit. */
    std::vector<voter_id> caught_up;
    /** Processes with an empty disk that have just said so, under their new voter ids. */
    std::map<voter_id, process_id> newcomers;
    /** As many voters as the losses to be borne ask for. */
    std::size_t target_voters{3};
};

/** A voter gives way to a newcomer only after this: longer than a restart or a short cut. */
constexpr duration max_voter_silence = std::chrono::seconds{8};

/**
 * Returns the one change that brings the voters nearer to what is wanted, or nothing. A voter whose
 * process came back with an empty disk is removed, since it can never vote again; one that is
 * silent only where a newcomer waits for its place.
 */
std::optional<voter_change> plan_voter_change(const voter_plan_input& facts);

} // namespace galenaturn::ledger
