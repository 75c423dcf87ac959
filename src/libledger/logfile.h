#pragma once

#include "ledgererrors.h"
#include "replicalog.h"

#include <optional>
#include <string>
#include <vector>

namespace galenaturn::ledger {

/** Start of a log: the index of the snapshot before it, or 0. Written first in each log file. */
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

/** Changes that one step of the replica makes to the log file, in the order of the members. */
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
 * Encodes batches as one record of a log file: header with checksum, then the batches. Each record
 * is synced before the next one is written, so only the last one can be incomplete.
 */
std::string encode_record(std::uint64_t sequence, const std::vector<log_batch>& batches);

/** Content of a log file. */
struct log_content {
    hard_state hard;
    replica_log log;
    std::uint64_t last_sequence{0};
    /** Size of the complete records; the rest was never synced and is to be truncated. */
    std::size_t valid_bytes{0};
};

/** Returns a whole log as the first batch of a new log file. */
log_batch whole_log_batch(const replica_log& log, const hard_state& hard);

/**
 * Reads a log file. Ignores an incomplete last record, as a crash between write and sync leaves it.
 * Damage before a valid record is an error: returns corrupted and reports its offset in `found`.
 * Entries that do not continue the log but follow `snapshot` replace the log before them: a
 * received snapshot may have been stored without the log that begins after it.
 */
result<log_content> read_log(std::string_view data, const std::string& file, findings& found,
                             const std::optional<log_start>& snapshot = std::nullopt);

} // namespace galenaturn::ledger
