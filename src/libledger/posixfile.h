#pragma once

#include "ledgererrors.h"

#include <string>
#include <string_view>
#include <vector>

namespace galenaturn::ledger {

/** Owns a file descriptor and closes it in the destructor. */
class posix_file {
public:
    posix_file() = default;
    explicit posix_file(int descriptor) : descriptor_{descriptor} {}
    posix_file(posix_file&& other) noexcept;
    posix_file& operator=(posix_file&& other) noexcept;
    posix_file(const posix_file&) = delete;
    posix_file& operator=(const posix_file&) = delete;
    ~posix_file();

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] int descriptor() const { return descriptor_; }

    /** Writes all of `data`. Error: write_failed. */
    result<void> write(std::string_view data);
    /** Flushes the data to the disk (fdatasync). Error: sync_failed. */
    result<void> sync();

private:
    int descriptor_{-1};
};

/** Opens a file for appending; creates it if it does not exist. */
result<posix_file> open_for_append(const std::string& path);
/** Returns the whole content of a file. */
result<std::string> read_file(const std::string& path);
/** Syncs a folder, so that created, renamed and removed files in it are durable. */
result<void> sync_folder(const std::string& path);
/** Replaces a file atomically: writes and syncs a temporary file, renames it, syncs the folder. */
result<void> replace_file(const std::string& folder, const std::string& name,
                          std::string_view data);
/** Locks a file against other processes until it is closed; creates it if it does not exist. */
result<posix_file> lock_file(const std::string& path);
/** Returns the names of the files in a folder, sorted. */
std::vector<std::string> list_folder(const std::string& path);

} // namespace galenaturn::ledger
