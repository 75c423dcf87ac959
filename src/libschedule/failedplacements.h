#pragma once

#include <galenaturn/messages.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace galenaturn::schedule {

struct open_job;
struct placement_request;

/** A demand that no worker could run at the time of a change number. */
struct failed_placement {
    resources demand;
    millicores best_effort;
    std::uint64_t change{0};
};

/** Properties of a request that decide about its placement besides its size. */
struct placement_kind_view {
    // In the order in which they are compared: what differs most comes first.
    bool best_effort{false};
    bool latency_critical{false};
    bool oversubscribes{false};
    bool slowed{false};
    std::string_view image;
    std::string_view label;
    std::string_view service;

    auto operator<=>(const placement_kind_view&) const = default;
};

/** The same, stored. */
struct placement_kind {
    explicit placement_kind(const placement_kind_view& view);
    operator placement_kind_view() const;

    std::string service;
    std::string image;
    std::string label;
    bool best_effort{false};
    bool latency_critical{false};
    bool oversubscribes{false};
    bool slowed{false};
};

struct placement_kind_less {
    using is_transparent = void;
    bool operator()(const placement_kind_view& left, const placement_kind_view& right) const
    {
        return left < right;
    }
};

/**
 * Placements that failed, so that a demand which is still waiting is compared only with the workers
 * that have changed since. A demand of the same kind that is at least as large fails too.
 */
struct failed_placements {
    std::map<placement_kind, std::vector<failed_placement>, placement_kind_less> by_kind;
    /**
     * Change numbers of steps with a limit of tasks per worker, by job, and by step, whether the
     * run would have oversubscribed the worker and whether it would have started slowed.
     */
    std::map<submission_id, std::map<std::tuple<std::size_t, bool, bool>, std::uint64_t>> by_job;
};

/** Records that no worker could run the request at the time of `change`. */
void record_failure(failed_placements& failed, const placement_request& request,
                    std::uint64_t change);
/**
 * Returns the newest change number at which no worker could run the request, or 0 where none is
 * known.
 */
std::uint64_t last_failure(const failed_placements& failed, const placement_request& request);

} // namespace galenaturn::schedule
