#pragma once

#include <galenaturn/messages.h>

#include <functional>
#include <vector>

namespace galenaturn::entryd {

/** The catalogue that this entry works by. The version only grows. */
struct catalogue_in_force {
    catalogue_version version;
    std::string digest;
    catalogue entries;
};

/** Another entry of the own failure domain that is believed to be alive. */
struct live_entry {
    process_id process;
    incarnation life;
};

/**
 * What the services of one entry tell each other. The publisher of each list calls every
 * subscriber; subscribers are added in constructors, before anything is published.
 */
struct entry_hub {
    /** Published by the announcement service for each announcement that is news. */
    std::vector<std::function<void(const wire::upstream_announcement&, time_point heard)>>
        upstream_announced;
    /** Published when an upstream's announcements have lapsed. */
    std::vector<std::function<void(const upstream_id&)>> upstream_lapsed;
    /** Published when the live entries of the own domain change; includes this entry. */
    std::vector<std::function<void(const std::vector<live_entry>&)>> entries_changed;
    /** Published by the catalogue service for each higher version. */
    std::vector<std::function<void(const catalogue_in_force&)>> catalogue_changed;
};

/** Calls every subscriber in `subscribers`. */
template <class Subscribers, class... Arguments>
void publish(const Subscribers& subscribers, const Arguments&... arguments)
{
    for (const auto& subscriber : subscribers)
        subscriber(arguments...);
}

} // namespace galenaturn::entryd
