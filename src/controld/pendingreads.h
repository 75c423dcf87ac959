#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace galenaturn::controld {

/**
 * Reads that wait until a quorum has confirmed, after they arrived, that this process leads. One
 * round of heartbeats confirms all reads that have arrived since the previous one began.
 */
class pending_reads {
public:
    using answer = std::function<void(bool confirmed)>;

    /** Adds a read. Returns false if too many wait. */
    bool add(answer read);
    /** Returns whether reads wait for a round that has not begun, and no other round is awaited. */
    [[nodiscard]] bool needs_round() const { return awaited_.empty() && !arrived_.empty(); }
    /** Lets all reads that have arrived wait for this round. */
    void begin(std::uint64_t round);
    /** Answers the reads that this round confirms. */
    void confirm(std::uint64_t round);
    /** Answers all reads as not confirmed. */
    void refuse_all();

private:
    std::vector<answer> arrived_;
    std::vector<answer> awaited_;
    std::uint64_t awaited_round_{0};
};

} // namespace galenaturn::controld
