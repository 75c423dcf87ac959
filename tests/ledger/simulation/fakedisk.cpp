#include "fakedisk.h"

#include <utility>

namespace galenaturn::ledger {

void fake_disk::queue(disk_write write)
{
    // Each batch is a part of its own, so that a crash can occur between any two batches.
    for (auto& batch : std::exchange(write.batches, {})) {
        disk_write part;
        part.batches.push_back(std::move(batch));
        queued_.push_back(std::move(part));
    }
    if (write.snapshot || write.new_log)
        queued_.push_back(std::move(write));
}

void fake_disk::begin_sync()
{
    in_flight_ = std::exchange(queued_, {});
    ++syncs_;
}

void fake_disk::end_sync()
{
    for (const auto& part : std::exchange(in_flight_, {}))
        carry_out(part);
}

void fake_disk::crash(std::size_t kept)
{
    for (std::size_t part = 0; part < kept && part < in_flight_.size(); ++part)
        carry_out(in_flight_[part]);
    in_flight_.clear();
    queued_.clear();
    // As storage::align_log_with_snapshot does when it opens a folder.
    if (snapshot_ && (!log_.has_term_of(snapshot_->index) ||
                      log_.term_of(snapshot_->index) != snapshot_->index_term))
        log_ = replica_log{snapshot_->index, snapshot_->index_term, snapshot_->voters};
    if (snapshot_)
        log_.compact(snapshot_->index);
}

void fake_disk::carry_out(const disk_write& write)
{
    if (write.snapshot)
        snapshot_ = write.snapshot;
    if (write.new_log)
        carry_out(*write.new_log);
    for (const auto& batch : write.batches)
        carry_out(batch);
}

void fake_disk::carry_out(const log_batch& batch)
{
    if (batch.start)
        log_ = replica_log{batch.start->base, batch.start->base_term, batch.start->voters};
    if (batch.hard)
        hard_ = *batch.hard;
    if (batch.truncate_after)
        log_.truncate_after(*batch.truncate_after);
    for (const auto& entry : batch.entries)
        log_.append(entry);
}

} // namespace galenaturn::ledger
