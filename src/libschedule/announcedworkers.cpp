#include "announcedworkers.h"

namespace galenaturn::schedule {

namespace {

/** Much longer than a network partition delays announcements. */
constexpr duration silence_limit = std::chrono::minutes{10};

} // namespace

announcement_news note_announcement(announced_workers& workers, const wire::worker_beat& beat,
                                    time_point now)
{
    const auto known = workers.find(beat.worker.id);
    if (known == workers.end()) {
        workers.emplace(beat.worker.id, announced_worker{beat, now});
        return beat.left ? announcement_news::leaving : announcement_news::first;
    }
    auto& held = known->second;
    // The announcement of a departure carries no sequence number, and a worker that has left never
    // returns under the same name.
    if (held.beat.left || (!beat.left && beat.sequence < held.beat.sequence))
        return announcement_news::late;
    const bool changed = beat.leaving != held.beat.leaving || beat.left != held.beat.left;
    held = {beat, now};
    return changed ? announcement_news::leaving : announcement_news::nothing;
}

void forget_silent_workers(announced_workers& workers, time_point now)
{
    std::erase_if(workers,
                  [&](const auto& worker) { return now - worker.second.heard > silence_limit; });
}

} // namespace galenaturn::schedule
