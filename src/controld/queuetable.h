#pragma once

#include <galenaturn/messages.h>

#include <functional>
#include <string>
#include <vector>

namespace galenaturn::controld {

/** The published queue settings in effect, and their version. */
struct queue_table {
    std::uint64_t version{0};
    std::vector<wire::queue_settings> queues;
};

/** Decodes the document that an operator published; it was validated before publication. */
using queue_reader = std::function<queue_table(const std::string& document)>;

/** Returns the queue with the longest prefix of `path` at `host`, or null. */
const wire::queue_settings* find_queue(const queue_table& table, const std::string& host,
                                       const std::string& path);

} // namespace galenaturn::controld
