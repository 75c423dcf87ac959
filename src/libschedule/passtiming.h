#pragma once

#include "jobscheduler.h"

#include <optional>

namespace galenaturn::schedule {

/**
 * When the leader continues a scheduling pass, so that slices leave most of the time to other work
 * and what is urgent does not wait for the rest.
 */
struct pass_timing {
    slice_limits limits;
    /** Something has changed since the current or last pass began. */
    bool wanted{false};
    /** Earliest start of the next pass. */
    time_point next_pass;
    /** Earliest start of the next slice, and of one that places something urgent. */
    time_point next_slice;
    time_point next_urgent_slice;
    /** Time in the slices of the current pass. */
    duration pass_time{};
    /** End of the last pass, or start of the term. */
    time_point last_pass;
};

/** A pass that has ended. */
struct ended_pass {
    duration time{};
    /** From the end of the pass before. */
    duration interval{};
};

/** What a slice has done. */
struct slice_result {
    std::vector<start_command> starts;
    /** The slice was part of a pass, which it has ended. */
    bool ends_pass{false};
};

/** Returns when the next slice is to run; nothing while there is nothing to place. */
std::optional<time_point> next_slice_at(const job_scheduler& state, const pass_timing& timing);

/** Runs the slice that is due. It begins a pass if that is due, and places what is urgent first. */
slice_result run_slice(job_scheduler& state, pass_timing& timing, time_point now, wall_time wall);

/** Records the time that the slice took, from which the pauses after it follow. */
void record_slice_time(pass_timing& timing, time_point began, time_point ended);

/** Records that the pass has ended with the last slice. */
ended_pass record_pass_end(pass_timing& timing, time_point ended);

} // namespace galenaturn::schedule
