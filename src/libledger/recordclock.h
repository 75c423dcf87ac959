#pragma once

#include "ledgerstate.h"

namespace galenaturn::ledger {

/** The clock of the state as one process has observed it. */
struct record_clock {
    wall_time shown;
    /** When this process first saw it show that. */
    time_point shown_since;
};

/** To be called after each change of the state. */
void observe_clock(record_clock& clock, const ledger_state& state, time_point now);

/**
 * Returns what the leader sets the clock of the state to. It follows the time of day of the
 * leader's VM at no less than half and no more than twice the speed of the time that has passed,
 * since a jump of the time of day must not remove records before their retention has passed.
 */
wall_time next_clock(const record_clock& clock, wall_time time_of_day, time_point now);

/** Returns the time of a record from which its retention counts. */
wall_time record_time(const ledger_state& state, wall_time time_of_day);

} // namespace galenaturn::ledger
