#include "announcedworkers.h"

namespace galenaturn::schedule {

namespace {

/** Much longer than a network partition delays announcements. */
constexpr duration silence_limit = std::chrono::minutes{10};

/** Calls `visit(life)` for the announced lives of the worker. */
template <class Visit>
void for_each_life(announced_workers& workers, const std::string& name, const Visit& visit)
{
    for (auto life = workers.lower_bound(worker_id{name}); life != workers.end(); ++life) {
        if (!life->first.value().starts_with(name))
            return;
        if (name_of(life->first) == name)
            visit(*life);
    }
}

announced_worker* latest_life(announced_workers& workers, const std::string& name)
{
    announced_worker* latest = nullptr;
    auto number = incarnation{};
    for_each_life(workers, name, [&](auto& life) {
        if (latest != nullptr && incarnation_of(life.first) <= number)
            return;
        latest = &life.second;
        number = incarnation_of(life.first);
    });
    return latest;
}

} // namespace

announcement_effect record_announcement(announced_workers& workers,
                                        const wire::worker_presence& presence, time_point now)
{
    const auto& id = presence.worker.id;
    const auto* latest = latest_life(workers, name_of(id));
    if (latest != nullptr && incarnation_of(latest->presence.worker.id) > incarnation_of(id))
        return announcement_effect::outdated;
    const auto found = workers.find(id);
    if (found == workers.end()) {
        // The earlier lives are over; late announcements of them are outdated.
        for_each_life(workers, name_of(id), [](auto& life) { life.second.over = true; });
        workers.emplace(presence.worker.id, announced_worker{presence, now});
        return presence.left ? announcement_effect::departure : announcement_effect::new_worker;
    }
    auto& last = found->second;
    // The announcement of a departure carries no sequence number, and a life that has ended never
    // returns.
    if (last.over || last.presence.left ||
        (!presence.left && presence.sequence < last.presence.sequence))
        return announcement_effect::outdated;
    const bool changed =
        presence.leaving != last.presence.leaving || presence.left != last.presence.left;
    last = {presence, now};
    return changed ? announcement_effect::departure : announcement_effect::unchanged;
}

void resolve_departure(announced_workers& workers, wire::worker_presence& presence)
{
    auto& id = presence.worker.id;
    if (!presence.left || incarnation_of(id) != incarnation{})
        return;
    const auto* latest = latest_life(workers, id.value());
    // A planned departure is announced before; otherwise an earlier life may have sent this one.
    if (latest != nullptr && latest->presence.leaving)
        id = latest->presence.worker.id;
}

void forget_silent_workers(announced_workers& workers, time_point now)
{
    std::erase_if(
        workers, [&](const auto& worker) { return now - worker.second.last_seen > silence_limit; });
}

} // namespace galenaturn::schedule
