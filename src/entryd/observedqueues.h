#pragma once

#include <galenaturn/core.h>

#include <cstdint>

namespace galenaturn::entryd {

/** The newest version of the queues that answers of leaders have named. */
struct observed_queues {
    std::uint64_t version{0};
    term observed_in;
    time_point since;
};

enum class queues_observation : std::uint8_t {
    unchanged,
    newer,
    /** An older version has answered a request that arrived after the newer one was observed. */
    regressed,
};

/** Records the version that decided a request which arrived at `arrived`; 0 where none did. */
queues_observation observe_queues(observed_queues& known, std::uint64_t version, term decided_in,
                                  time_point arrived, time_point now);

} // namespace galenaturn::entryd
