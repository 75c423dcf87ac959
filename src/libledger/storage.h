#pragma once

#include "logfile.h"
#include "posixfile.h"
#include "replica.h"

namespace galenaturn::ledger {

/** What a data folder held when it was opened. */
struct stored_ledger {
    /** Empty in a new folder. */
    voter_id voter;
    hard_state hard;
    replica_log log;
    /** The newest image, if any. */
    std::optional<state_snapshot> snapshot;
};

/**
 * The data folder of one voter: `identity`, one `image-N` with the state up to log index N, and one
 * `log-N` with what follows. Only one process may have it open. After the first failed write or
 * sync every later one fails too.
 */
class storage {
public:
    /** Opens and locks `folder`, made where it is missing. Problems go to `found`. */
    static result<storage> open(const std::string& folder, findings& found);

    /** Returns what the folder held. */
    [[nodiscard]] stored_ledger& stored() { return stored_; }

    /** Gives a new folder its voter. */
    result<void> write_identity(const voter_id& voter);
    /** Appends batches as one record with one sync; they last when this returns. */
    result<void> append(const std::vector<log_batch>& batches);
    /** Makes `image` the newest image; it lasts when this returns. */
    result<void> write_snapshot(const state_snapshot& snapshot);
    /** Replaces the log by one that begins with `batch`; it lasts when this returns. */
    result<void> rewrite_log(log_batch batch);

    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }

private:
    storage() = default;
    result<void> load(findings& found);
    result<void> load_identity(findings& found);
    result<void> load_snapshot(findings& found);
    result<void> load_log(findings& found);
    result<void> align_log_with_snapshot(findings& found);
    result<void> open_log();
    result<void> note_failure(result<void> outcome);
    void remove_other_files(const std::string& prefix, const std::string& kept);

    std::string folder_;
    posix_file lock_;
    posix_file log_file_;
    std::string log_name_;
    std::uint64_t log_number_{0};
    std::uint64_t sequence_{0};
    std::uint64_t syncs_{0};
    std::uint64_t bytes_written_{0};
    bool failed_{false};
    stored_ledger stored_;
};

} // namespace galenaturn::ledger
