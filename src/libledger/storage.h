#pragma once

#include "diskfolder.h"
#include "logfile.h"
#include "replica.h"

namespace galenaturn::ledger {

/** Content of a data folder when it was opened. */
struct stored_ledger {
    /** Empty in a new folder. */
    voter_id voter;
    hard_state hard;
    replica_log log;
    /** The latest snapshot, if any. */
    std::optional<state_snapshot> snapshot;
};

/**
 * The data folder of one voter: the file `identity` with the voter's id, `image-N` with the
 * snapshot of the state up to log index N, and `log-N` with the log; its N counts rewrites of the
 * log. Only one process can have the folder open. After a failed write or sync all later ones fail
 * too. A folder that a killed process or a loss of power left half written is opened and mended.
 */
class storage {
public:
    /** Opens and locks `path`; creates it if it does not exist. Adds problems to `found`. */
    static result<storage> open(const std::string& path, findings& found);
    static result<storage> open(std::unique_ptr<disk_folder> folder, findings& found);

    /** Returns the content of the folder when it was opened. */
    [[nodiscard]] stored_ledger& stored() { return stored_; }

    /** Stores the voter's id in a new folder. */
    result<void> write_identity(const voter_id& voter);
    /** Appends batches as one record with one sync; they are durable when this returns. */
    result<void> append(const std::vector<log_batch>& batches);
    /** Replaces the stored snapshot; the new one is durable when this returns. */
    result<void> write_snapshot(const state_snapshot& snapshot);
    /** Replaces the log by one that starts with `batch`; it is durable when this returns. */
    result<void> rewrite_log(log_batch batch);

    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }

private:
    storage() = default;
    result<void> load(findings& found);
    result<void> load_identity(findings& found);
    /** The identity is written before the first record, so a log without one may lack it. */
    result<void> require_identity(findings& found) const;
    result<void> load_snapshot(findings& found);
    result<void> load_log(findings& found);
    result<void> align_log_with_snapshot(findings& found);
    result<void> open_log();
    result<void> note_failure(result<void> outcome);
    /** Returns the last file name with `prefix` that is not a temporary file. */
    [[nodiscard]] std::string newest_file(const std::string& prefix) const;
    [[nodiscard]] std::string path_of(const std::string& name) const;
    void remove_other_files(const std::string& prefix, const std::string& kept);

    std::unique_ptr<disk_folder> folder_;
    std::unique_ptr<append_file> log_file_;
    std::string log_name_;
    std::uint64_t log_number_{0};
    std::uint64_t sequence_{0};
    std::uint64_t syncs_{0};
    std::uint64_t bytes_written_{0};
    bool failed_{false};
    stored_ledger stored_;
};

} // namespace galenaturn::ledger
