#include "fakedisk.h"

#include <utility>

namespace galenaturn::ledger {

void fake_disk::queue(disk_write write)
{
    // Batches are single parts, so that a crash may come between any two of them.
    for (auto& batch : std::exchange(write.batches, {})) {
        disk_write part;
        part.batches.push_back(std::move(batch));
        queued_.push_back(std::move(part));
    }
    if (write.image || write.new_log)
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
    for (std::size_t at = 0; at < kept && at < in_flight_.size(); ++at)
        carry_out(in_flight_[at]);
    in_flight_.clear();
    queued_.clear();
    // As storage does when it opens a folder.
    if (image_ && (!log_.knows(image_->index) || log_.term_of(image_->index) != image_->index_term))
        log_ = replica_log{image_->index, image_->index_term, image_->voters};
    if (image_)
        log_.compact(image_->index);
}

void fake_disk::carry_out(const disk_write& write)
{
    if (write.image)
        image_ = write.image;
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
    if (batch.cut_after)
        log_.cut_after(*batch.cut_after);
    for (const auto& entry : batch.entries)
        log_.append(entry);
}

} // namespace galenaturn::ledger
