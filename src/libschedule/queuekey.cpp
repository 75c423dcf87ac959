#include "stewardstate.h"

#include <algorithm>

namespace galenaturn::schedule {

namespace {

/** Latest start of tasks without a deadline, after their submission. */
constexpr std::chrono::hours default_start_limit{1};
constexpr std::chrono::milliseconds urgent_start_limit{1600};
} // namespace

queue_key make_queue_key(const wire::task_record& record, duration run_time)
{
    queue_key key;
    key.id = record.id;
    if (!record.urgent)
        key.rank = record.task_class == work_class::interactive ? 1
                   : record.task_class == work_class::watcher   ? 2
                                                                : 3;
    key.latest_start =
        record.submitted + (record.urgent ? std::chrono::milliseconds{urgent_start_limit}
                                          : std::chrono::milliseconds{default_start_limit});
    if (record.deadline != wall_time{})
        key.latest_start = std::min(
            key.latest_start,
            record.deadline - std::chrono::duration_cast<std::chrono::milliseconds>(run_time));
    return key;
}

} // namespace galenaturn::schedule
