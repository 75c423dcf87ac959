#include "rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace galenaturn::route {

namespace {

std::uint64_t score(const upstream_id& upstream, const process_id& process)
{
    const auto seed = XXH64(process.value().data(), process.value().size(), 0);
    return XXH64(upstream.value().data(), upstream.value().size(), seed);
}

} // namespace

std::size_t home_entry_index(const upstream_id& upstream, std::span<const process_id> processes)
{
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t index = 0; index < processes.size(); ++index) {
        const auto candidate = score(upstream, processes[index]);
        if (index == 0 || candidate > best_score) {
            best = index;
            best_score = candidate;
        }
    }
    return best;
}

std::size_t idle_connection_limit(std::uint32_t slots, std::uint32_t connections,
                                  std::size_t entries)
{
    if (connections <= slots || entries == 0)
        return 0;
    return (connections - slots) / entries;
}

} // namespace galenaturn::route
