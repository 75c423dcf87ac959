#include "observedqueues.h"

namespace galenaturn::entryd {

queues_observation observe_queues(observed_queues& known, std::uint64_t version, term decided_in,
                                  time_point arrived, time_point now)
{
    if (version == 0 || version == known.version)
        return queues_observation::unchanged;
    if (version < known.version)
        return arrived > known.since ? queues_observation::regressed
                                     : queues_observation::unchanged;
    known = {version, decided_in, now};
    return queues_observation::newer;
}

} // namespace galenaturn::entryd
