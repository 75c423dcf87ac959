#pragma once

#include "ledgererrors.h"
#include "replicalog.h"

#include <optional>
#include <string>
#include <vector>

namespace galenaturn::ledger {

/** Where a log begins: behind an image, or at 0. First in each log file. */
struct log_start {
    log_index base;
    term base_term;
    voter_set voters;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(base, base_term, voters);
    }
};

/** One step's change of a log file. */
struct log_batch {
    std::optional<log_start> start;
    std::optional<hard_state> hard;
    std::optional<log_index> truncate_after;
    std::vector<log_entry> entries;

    [[nodiscard]] bool empty() const
    {
        return !start && !hard && !truncate_after && entries.empty();
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(start, hard, truncate_after, entries);
    }
};

/**
 * Returns batches as they stand in a log file: header with checksum, then the batches. Each record
 * is synced before the next one is written; thus only the last one can be torn.
 */
std::string encode_record(std::uint64_t sequence, const std::vector<log_batch>& batches);

/** What a log file holds. */
struct log_content {
    hard_state hard;
    replica_log log;
    std::uint64_t last_sequence{0};
    /** Bytes that hold whole records; what follows was never synced and is to be cut off. */
    std::size_t valid_bytes{0};
};

/**
 * Reads a log file. A torn end, as a crash between write and sync leaves it, is left out. Damage
 * that whole records follow is an error: corrupted, with the place of the damage in `found`.
 */
result<log_content> read_log(std::string_view data, const std::string& file, findings& found);

} // namespace galenaturn::ledger
