#include "queuesizes.h"

namespace galenaturn::schedule {

namespace {

/** Weight of one job in the moving average over all jobs; a group's is larger by its share. */
constexpr double outcome_weight = 0.02;
/** Step of the estimate of a group's least work, as a share of the average work. */
constexpr double min_work_step = 0.1;
/** A group is underserved below this share of what all jobs get. */
constexpr double min_served_ratio = 0.75;

} // namespace

void count_arrival(queue_sizes& queue, double work)
{
    ++queue.jobs;
    queue.average_work += (work - queue.average_work) / static_cast<double>(queue.jobs);
    for (auto& group : queue.largest) {
        // Moves up for a share of the jobs and down for the others, and so towards that quantile.
        const auto step = queue.average_work * min_work_step;
        group.min_work += work > group.min_work ? step * (1 - group.share) : -step * group.share;
    }
}

void count_outcome(queue_sizes& queue, double work, bool useful)
{
    const double outcome = useful ? 1 : 0;
    queue.served += outcome_weight * (outcome - queue.served);
    for (auto& group : queue.largest) {
        if (work >= group.min_work)
            group.served += outcome_weight / group.share * (outcome - group.served);
    }
}

bool is_underserved(const queue_sizes& queue, double work)
{
    for (const auto& group : queue.largest) {
        if (work >= group.min_work && group.served < min_served_ratio * queue.served)
            return true;
    }
    return false;
}

} // namespace galenaturn::schedule
