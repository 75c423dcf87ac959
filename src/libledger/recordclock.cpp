#include "recordclock.h"

#include <algorithm>

namespace galenaturn::ledger {

void observe_clock(record_clock& clock, const ledger_state& state, time_point now)
{
    if (clock.shown != state.clock)
        clock = {state.clock, now};
}

wall_time next_clock(const record_clock& clock, wall_time time_of_day, time_point now)
{
    if (clock.shown == wall_time{})
        return time_of_day;
    const auto passed = std::chrono::duration_cast<wall_time::duration>(now - clock.shown_since);
    return std::clamp(time_of_day, clock.shown + passed / 2, clock.shown + passed * 2);
}

wall_time record_time(const ledger_state& state, wall_time time_of_day)
{
    return state.clock == wall_time{} ? time_of_day : state.clock;
}

} // namespace galenaturn::ledger
