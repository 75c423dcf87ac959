#include "leaseterms.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

constexpr unsigned placement_bits = 14;
constexpr unsigned stewardship_bits = 22;
constexpr unsigned assignment_bits = 28;

} // namespace

duration grantor_span(const lease_terms& terms, duration span)
{
    const auto margin = static_cast<double>(span.count()) * terms.clock_margin;
    return span + duration{static_cast<duration::rep>(margin) + 1};
}

duration effective_hold(const lease_terms& terms, duration hold)
{
    return std::max(hold, 2 * terms.worker_lease);
}

epoch placement_epoch(epoch assignment, epoch stewardship, std::uint32_t placements)
{
    GN_INVARIANT(assignment.value() < (1ULL << assignment_bits), {"assignment", assignment});
    GN_INVARIANT(stewardship.value() < (1ULL << stewardship_bits), {"stewardship", stewardship});
    GN_INVARIANT(placements <= max_placements, {"placements", placements});
    return epoch{(assignment.value() << (stewardship_bits + placement_bits)) |
                 (stewardship.value() << placement_bits) | placements};
}

epoch assignment_of(epoch placement)
{
    return epoch{placement.value() >> (stewardship_bits + placement_bits)};
}

} // namespace galenaturn::schedule
