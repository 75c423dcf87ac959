#pragma once

#include <galenaturn/ledger.h>

#include <deque>
#include <vector>

namespace galenaturn::ledger {

/** One write to the disk: a snapshot, a new log, or batches for the log. */
struct disk_write {
    std::optional<state_snapshot> snapshot;
    std::optional<log_batch> new_log;
    std::vector<log_batch> batches;
};

/** A disk whose writes are durable once synced; a crash keeps a prefix of those being synced. */
class fake_disk {
public:
    void queue(disk_write write);
    [[nodiscard]] bool idle() const { return queued_.empty(); }
    [[nodiscard]] bool syncing() const { return !in_flight_.empty(); }
    /** Starts to sync all queued writes. */
    void begin_sync();
    void end_sync();
    /** Loses all unsynced writes except for the first `kept` parts of the running sync. */
    void crash(std::size_t kept);
    /** Returns the number of parts of the running sync. */
    [[nodiscard]] std::size_t parts_in_flight() const { return in_flight_.size(); }

    [[nodiscard]] const hard_state& hard() const { return hard_; }
    [[nodiscard]] const replica_log& log() const { return log_; }
    [[nodiscard]] const std::optional<state_snapshot>& snapshot() const { return snapshot_; }
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

private:
    void carry_out(const disk_write& write);
    void carry_out(const log_batch& batch);

    std::deque<disk_write> queued_;
    std::deque<disk_write> in_flight_;
    hard_state hard_;
    replica_log log_;
    std::optional<state_snapshot> snapshot_;
    std::uint64_t syncs_{0};
};

} // namespace galenaturn::ledger
