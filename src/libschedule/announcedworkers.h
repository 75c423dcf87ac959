#pragma once

#include <galenaturn/messages.h>

#include <map>

namespace galenaturn::schedule {

/** What a worker announced last, on whichever process. */
struct announced_worker {
    wire::worker_beat beat;
    time_point heard;
};

using announced_workers = std::map<worker_id, announced_worker>;

/** What an announcement tells beyond those before it. */
enum class announcement_news : std::uint8_t {
    /** It was overtaken by a newer one, or the worker has left since. */
    late,
    nothing,
    first,
    /** The worker is leaving, or has left. */
    leaving,
};

announcement_news note_announcement(announced_workers& workers, const wire::worker_beat& beat,
                                    time_point now);
/** Forgets workers that were silent for so long that no late announcement of theirs can come. */
void forget_silent_workers(announced_workers& workers, time_point now);

} // namespace galenaturn::schedule
