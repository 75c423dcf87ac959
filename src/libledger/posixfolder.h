#pragma once

#include "diskfolder.h"

namespace galenaturn::ledger {

/** Owns a file descriptor and closes it in the destructor. */
class posix_file : public append_file {
public:
    explicit posix_file(int descriptor) : descriptor_{descriptor} {}
    posix_file(const posix_file&) = delete;
    posix_file& operator=(const posix_file&) = delete;
    ~posix_file() override;

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] int descriptor() const { return descriptor_; }

    result<void> write(std::string_view data) override;
    result<void> sync() override;

private:
    int descriptor_{-1};
};

/** A folder of the file system, locked against other processes while it is open. */
class posix_folder : public disk_folder {
public:
    /**
     * Opens and locks a folder; creates it if it does not exist. Adds problems to `found`. Errors:
     * folder_unusable, folder_locked.
     */
    static result<std::unique_ptr<disk_folder>> open(const std::string& path, findings& found);

    [[nodiscard]] std::string path() const override { return path_; }
    [[nodiscard]] std::vector<std::string> names() const override;
    [[nodiscard]] result<std::string> read(const std::string& name) const override;
    result<std::unique_ptr<append_file>> open_for_append(const std::string& name) override;
    result<void> truncate(const std::string& name, std::size_t size) override;
    result<void> rename(const std::string& from, const std::string& to) override;
    void remove(const std::string& name) override;
    result<void> sync() override;

private:
    posix_folder(std::string path, std::unique_ptr<posix_file> lock);
    [[nodiscard]] std::string path_of(const std::string& name) const { return path_ + "/" + name; }

    std::string path_;
    std::unique_ptr<posix_file> lock_;
};

} // namespace galenaturn::ledger
