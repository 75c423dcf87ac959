#pragma once

#include <galenaturn/messages.h>

#include <functional>
#include <vector>

namespace galenaturn::entryd {

/** The catalogue that this entry uses. Its version never decreases. */
struct catalogue_in_force {
    catalogue_version version;
    std::string digest;
    catalogue entries;
};

/** An entry of the own failure domain that gossip reports as alive or suspect. */
struct live_entry {
    process_id process;
    incarnation incarnation_number;
};

/**
 * Events between the services of one entry. The publisher of an event calls all subscribers in its
 * list. Subscribers are added in constructors, before the first event is published.
 */
struct entry_hub {
    /** Published by the gossip service for each changed announcement of an upstream. */
    std::vector<std::function<void(const wire::upstream_announcement&, time_point last_seen)>>
        upstream_announced;
    /** Published when an upstream's announcements have expired. */
    std::vector<std::function<void(const upstream_id&)>> upstream_expired;
    /** Published when the live entries of the own domain change; includes this entry. */
    std::vector<std::function<void(const std::vector<live_entry>&)>> entries_changed;
    /** Published by the catalogue service for each higher version. */
    std::vector<std::function<void(const catalogue_in_force&)>> catalogue_changed;
};

/** Calls all subscribers with `arguments`. */
template <class Subscribers, class... Arguments>
void publish(const Subscribers& subscribers, const Arguments&... arguments)
{
    for (const auto& subscriber : subscribers)
        subscriber(arguments...);
}

} // namespace galenaturn::entryd
