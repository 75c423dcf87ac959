#include "queuetable.h"

namespace galenaturn::controld {

const wire::queue_settings* find_queue(const queue_table& table, const std::string& host,
                                       const std::string& path)
{
    const wire::queue_settings* best = nullptr;
    for (const auto& queue : table.queues) {
        if (queue.host != host || !path.starts_with(queue.path_prefix))
            continue;
        if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())
            best = &queue;
    }
    return best;
}

} // namespace galenaturn::controld
