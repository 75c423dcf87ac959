#pragma once

#include <galenaturn/messages.h>

#include <map>

namespace galenaturn::schedule {

/** Latest announcement of a worker, received by any control process. */
struct announced_worker {
    wire::worker_presence presence;
    time_point last_seen;
    /**
     * A later life has announced itself, or the worker was found to be gone. Unlike one that has
     * left, it may have been lost with its runs.
     */
    bool over{false};
};

using announced_workers = std::map<worker_id, announced_worker>;

/** What an announcement changes compared with those before it. */
enum class announcement_effect : std::uint8_t {
    /** A newer announcement arrived first, or the worker has left. */
    outdated,
    unchanged,
    new_worker,
    /** The worker has started to leave, or has left. */
    departure,
};

announcement_effect record_announcement(announced_workers& workers,
                                        const wire::worker_presence& presence, time_point now);
/** A departure names the worker but not its life: sets the life that was about to leave. */
void resolve_departure(announced_workers& workers, wire::worker_presence& presence);
/** Forgets workers that were silent for so long that no delayed announcement of them can arrive. */
void forget_silent_workers(announced_workers& workers, time_point now);

} // namespace galenaturn::schedule
