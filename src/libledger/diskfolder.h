#pragma once

#include "ledgererrors.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenaturn::ledger {

/** A file that is open for appending. */
class append_file {
public:
    append_file() = default;
    append_file(const append_file&) = delete;
    append_file& operator=(const append_file&) = delete;
    virtual ~append_file() = default;

    /** Writes all of `data`. Error: write_failed. */
    virtual result<void> write(std::string_view data) = 0;
    /** Flushes data and size to the disk. Error: sync_failed. */
    virtual result<void> sync() = 0;
};

/**
 * The files of one folder. What is written to a file is durable when the file has been synced;
 * created, renamed and removed names are when the folder has been synced.
 */
class disk_folder {
public:
    disk_folder() = default;
    disk_folder(const disk_folder&) = delete;
    disk_folder& operator=(const disk_folder&) = delete;
    virtual ~disk_folder() = default;

    /** Returns where the folder is, for messages. */
    [[nodiscard]] virtual std::string path() const = 0;
    /** Returns the names of the files, sorted. */
    [[nodiscard]] virtual std::vector<std::string> names() const = 0;
    /** Returns the whole content of a file. Error: folder_unusable. */
    [[nodiscard]] virtual result<std::string> read(const std::string& name) const = 0;
    /** Opens a file for appending; creates it if it does not exist. Error: write_failed. */
    virtual result<std::unique_ptr<append_file>> open_for_append(const std::string& name) = 0;
    /** Cuts a file off after `size` bytes. Error: write_failed. */
    virtual result<void> truncate(const std::string& name, std::size_t size) = 0;
    /** Renames a file, replacing another one of the new name. Error: write_failed. */
    virtual result<void> rename(const std::string& from, const std::string& to) = 0;
    /** Removes a file if it exists. */
    virtual void remove(const std::string& name) = 0;
    /** Flushes the names to the disk. Error: sync_failed. */
    virtual result<void> sync() = 0;
};

/** End of the names of files that are not complete yet. */
inline constexpr std::string_view temporary_suffix = ".new";

/** Replaces a file atomically: writes and syncs a temporary file, renames it, syncs the folder. */
result<void> replace_file(disk_folder& folder, const std::string& name, std::string_view data);

} // namespace galenaturn::ledger
