#pragma once

#include "logentry.h"
#include "voterset.h"

#include <deque>
#include <vector>

namespace galenaturn::ledger {

/** The log in memory: the entries after `base`, the index up to which it was compacted. */
class replica_log {
public:
    replica_log() = default;
    /** Creates a log that starts after `base`, where `voters` was in force. */
    replica_log(log_index base, term base_term, voter_set voters);

    [[nodiscard]] log_index base() const { return base_; }
    [[nodiscard]] term base_term() const { return base_term_; }
    [[nodiscard]] log_index last_index() const;
    [[nodiscard]] term last_term() const;
    /** Returns whether term_of(index) is defined: `index` is the base or that of an entry. */
    [[nodiscard]] bool has_term_of(log_index index) const;
    [[nodiscard]] term term_of(log_index index) const;
    [[nodiscard]] const log_entry& at(log_index index) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t payload_bytes() const { return bytes_; }

    void append(log_entry entry);
    /** Removes every entry after `index`. */
    void truncate_after(log_index index);
    /** Removes every entry up to `index`, which becomes the base. */
    void compact(log_index index);

    /** Returns the voters in force: those of the last voter_set entry, committed or not. */
    [[nodiscard]] const voter_set& voters() const { return configurations_.back().set; }
    /** Returns the index of the last voter_set entry. */
    [[nodiscard]] log_index voters_index() const { return configurations_.back().index; }
    /** Returns the voters in force at `index`. */
    [[nodiscard]] const voter_set& voters_at(log_index index) const;

private:
    struct configuration {
        log_index index;
        voter_set set;
    };

    log_index base_;
    term base_term_;
    std::deque<log_entry> entries_;
    std::size_t bytes_{0};
    std::vector<configuration> configurations_{configuration{}};
};

} // namespace galenaturn::ledger
