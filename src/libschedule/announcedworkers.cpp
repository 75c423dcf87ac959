#include "announcedworkers.h"

namespace galenaturn::schedule {

namespace {

/** Much longer than a network partition delays announcements. */
constexpr duration silence_limit = std::chrono::minutes{10};

} // namespace

announcement_effect record_announcement(announced_workers& workers,
                                        const wire::worker_presence& presence, time_point now)
{
    const auto found = workers.find(presence.worker.id);
    if (found == workers.end()) {
        workers.emplace(presence.worker.id, announced_worker{presence, now});
        return presence.left ? announcement_effect::departure : announcement_effect::new_worker;
    }
    auto& last = found->second;
    // The announcement of a departure carries no sequence number, and a worker that has left never
    // returns under the same name.
    if (last.presence.left || (!presence.left && presence.sequence < last.presence.sequence))
        return announcement_effect::outdated;
    const bool changed =
        presence.leaving != last.presence.leaving || presence.left != last.presence.left;
    last = {presence, now};
    return changed ? announcement_effect::departure : announcement_effect::unchanged;
}

void forget_silent_workers(announced_workers& workers, time_point now)
{
    std::erase_if(
        workers, [&](const auto& worker) { return now - worker.second.last_seen > silence_limit; });
}

} // namespace galenaturn::schedule
