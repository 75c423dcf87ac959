#include "stewardstate.h"

namespace galenaturn::schedule {

const char* to_string(eviction_reason reason)
{
    switch (reason) {
    case eviction_reason::service_tail:
        return "service_tail";
    case eviction_reason::urgent_work:
        return "urgent_work";
    case eviction_reason::worker_lost:
        return "worker_lost";
    case eviction_reason::worker_leaving:
        return "worker_leaving";
    case eviction_reason::worker_evicted:
        return "worker_evicted";
    case eviction_reason::moved_by_ledger:
        return "moved_by_ledger";
    case eviction_reason::count:
        break;
    }
    return "invalid";
}

const char* to_string(wait_reason reason)
{
    switch (reason) {
    case wait_reason::none:
        return "none";
    case wait_reason::no_worker:
        return "no_worker";
    case wait_reason::no_capacity:
        return "no_capacity";
    case wait_reason::would_slow_service:
        return "would_slow_service";
    case wait_reason::hold_ending:
        return "hold_ending";
    case wait_reason::predecessor_lease:
        return "predecessor_lease";
    case wait_reason::backing_off:
        return "backing_off";
    case wait_reason::fits_no_worker:
        return "fits_no_worker";
    case wait_reason::count:
        break;
    }
    return "invalid";
}

const char* to_string(park_reason reason)
{
    switch (reason) {
    case park_reason::fits_no_worker:
        return "fits_no_worker";
    case park_reason::out_of_memory:
        return "out_of_memory";
    case park_reason::keeps_failing:
        return "keeps_failing";
    case park_reason::count:
        break;
    }
    return "invalid";
}

} // namespace galenaturn::schedule
