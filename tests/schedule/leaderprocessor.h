#pragma once

#include <galenaturn/core.h>

#include <algorithm>

namespace galenaturn::schedule {

/** Processor time that the leader's work takes on a whole processor. */
namespace processor_time {

using std::chrono::nanoseconds;

/** A worker that a pass examines for a task. */
constexpr nanoseconds candidate{250};
/** A task that a pass tries to place. */
constexpr nanoseconds waiting_task{1000};
/** An open job or a worker when a pass begins. */
constexpr nanoseconds begun_pass{7000};
/** A worker at the beginning of a slice. */
constexpr nanoseconds slice{500};
constexpr nanoseconds report{100'000};
constexpr nanoseconds command{100'000};
constexpr nanoseconds ledger_change{50'000};

} // namespace processor_time

/** The processor of a leader that does one thing at a time. */
struct leader_processor {
    /** Share of a whole processor; zero: work takes no time. */
    double share{0};
    time_point busy_until;
};

/** Adds work that begins at `now`, or after the work before. */
inline void charge_work(leader_processor& processor, std::chrono::nanoseconds work, time_point now)
{
    if (processor.share <= 0)
        return;
    const auto span = std::chrono::duration<double, std::nano>(work) / processor.share;
    processor.busy_until =
        std::max(processor.busy_until, now) + std::chrono::duration_cast<duration>(span);
}

} // namespace galenaturn::schedule
