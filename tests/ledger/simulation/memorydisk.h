#pragma once

#include <galenaturn/ledger.h>

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace galenaturn::ledger {

/** Thrown by the operation at which the process is killed. */
struct killed_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** How much of the operation at which the process is killed has been carried out. */
enum class last_operation : std::uint8_t { missing, torn, whole };

/** What a loss of power leaves of the changes that were not synced. */
enum class power_loss : std::uint8_t {
    /** Only the process is killed: its files remain as they were. */
    none,
    everything_unsynced,
    /** Data remains; created, renamed and removed names do not. */
    names,
    /** Names remain; data does not. */
    data,
    /** Names remain; half of each unsynced write does. */
    half_of_data,
};

/**
 * A disk in memory that counts operations. It outlives the process that uses it; changes become
 * durable as `disk_folder` says.
 */
class memory_disk {
public:
    memory_disk() = default;
    memory_disk(const memory_disk& other);
    memory_disk& operator=(const memory_disk&) = delete;
    ~memory_disk() = default;

    /** Returns the folder as a starting process sees it. */
    std::unique_ptr<disk_folder> open();
    /** Kills the process at the operation after `operations` further ones. */
    void kill_after(std::size_t operations, last_operation last);
    /** Lets the process run on, after a loss of power if any. */
    void restart(power_loss loss);
    /** Returns the number of operations since the last restart. */
    [[nodiscard]] std::size_t operations() const { return operations_; }

private:
    friend class memory_file;
    friend class memory_folder;

    struct write_or_cut {
        std::size_t offset{0};
        std::string data;
        bool is_cut{false};
    };
    struct file {
        std::string synced;
        std::vector<write_or_cut> unsynced;

        [[nodiscard]] std::string content() const;
    };
    using name_table = std::map<std::string, std::shared_ptr<file>>;

    /** Counts an operation. Returns how much of it is to be carried out. */
    last_operation begin_operation();
    /** Throws killed_error if the process is killed at this operation. */
    void end_operation() const;

    name_table names_;
    name_table durable_names_;
    std::size_t operations_{0};
    std::optional<std::size_t> kill_at_;
    last_operation kill_mode_{last_operation::whole};
};

} // namespace galenaturn::ledger
