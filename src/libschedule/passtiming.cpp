#include "passtiming.h"

#include <algorithm>
#include <utility>

namespace galenaturn::schedule {

namespace {

/**
 * Minimum pause between passes and before urgent slices, so that events are handled in batches; far
 * below any job objective.
 */
constexpr duration min_pass_pause = std::chrono::milliseconds{10};
/**
 * A slice is followed by a pause of this multiple of its duration, so that slices take at most one
 * fifth of the time; where something urgent waits, by one of its own duration.
 */
constexpr int slice_pause_factor = 4;

} // namespace

std::optional<time_point> next_slice_at(const job_scheduler& state, const pass_timing& timing)
{
    std::optional<time_point> due;
    if (state.pass.active)
        due = timing.next_slice;
    else if (timing.wanted)
        due = timing.next_pass;
    if (!has_urgent_changes(state))
        return due;
    return due ? std::min(*due, timing.next_urgent_slice) : timing.next_urgent_slice;
}

slice_result run_slice(job_scheduler& state, pass_timing& timing, time_point now, wall_time wall)
{
    if (!state.pass.active && timing.wanted && now >= timing.next_pass) {
        timing.wanted = false;
        timing.pass_time = {};
        drain_leaving_workers(state, now);
        begin_pass(state, now);
    }
    slice_result slice;
    const bool in_pass = state.pass.active;
    slice.starts = continue_pass(state, now, wall, timing.limits);
    slice.ends_pass = in_pass && !state.pass.active;
    return slice;
}

void record_slice_time(pass_timing& timing, time_point began, time_point ended)
{
    const auto elapsed = ended - began;
    timing.next_slice = ended + elapsed * slice_pause_factor;
    timing.next_urgent_slice = ended + std::max(min_pass_pause, elapsed);
    timing.pass_time += elapsed;
}

ended_pass record_pass_end(pass_timing& timing, time_point ended)
{
    timing.next_pass = std::max(ended + min_pass_pause, timing.next_slice);
    return {timing.pass_time, ended - std::exchange(timing.last_pass, ended)};
}

} // namespace galenaturn::schedule
